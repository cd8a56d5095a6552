package wire

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/connlimit"
	"github.com/endivecourse/endivecourse/structs"
)

// maxRequestsPerConn is the maximum number of requests that run concurrently
// on one connection.
const maxRequestsPerConn = 4096

// serverConn is the server's side of one connection.
type serverConn struct {
	server *Server
	conn   *conn
	ctx    context.Context

	mu      sync.Mutex
	writers map[uint64]*ReplyWriter
}

// ReplyWriter sends the replies of one request.
type ReplyWriter struct {
	session *serverConn
	stream  uint64
	ctx     context.Context
	cancel  context.CancelFunc
	credits chan struct{}
}

// Send sends one reply. It waits for a credit while the caller has not received
// earlier replies, and fails when the request's context is done.
func (w *ReplyWriter) Send(reply any) error {
	body, err := msgpack.Marshal(reply)
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	f := frame{kind: frameReply, stream: w.stream, body: body}
	if len(body) > freeReplyBytes {
		if !w.session.server.opts.Sent.Take(len(body)) {
			return structs.Refuse(structs.RefusedQueueFull, structs.RunUnknown, "no memory for a reply of %d bytes", len(body))
		}
		defer w.session.server.opts.Sent.Give(len(body))
		f.sent = make(chan struct{})
	}
	if len(body) > w.session.conn.maxBody {
		return &FrameTooLargeError{Length: uint64(len(body)), Max: uint64(w.session.conn.maxBody)}
	}
	select {
	case <-w.credits:
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
	if !w.session.conn.send(f) {
		return w.session.conn.err()
	}
	if f.sent == nil {
		return nil
	}
	select {
	case <-f.sent:
		return nil
	case <-w.session.conn.closed:
		return w.session.conn.err()
	}
}

// freeReplyBytes is the size up to which a reply counts for no budget and its handler does not
// wait until it is written.
const freeReplyBytes = 16 << 10

func (s *serverConn) handle(f frame) {
	if f.kind == frameRequest {
		s.startRequest(f)
		return
	}
	defer s.server.opts.Received.Give(f.taken)
	switch f.kind {
	case frameCancel:
		if w := s.replyWriter(f.stream); w != nil {
			w.cancel()
		}
	case frameCredit:
		s.addCredits(f)
	default:
		s.conn.close(&MalformedFrameError{Field: "kind", Value: uint64(f.kind)})
	}
}

func (s *serverConn) replyWriter(stream uint64) *ReplyWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writers[stream]
}

func (s *serverConn) addCredits(f frame) {
	var count int
	if err := msgpack.Unmarshal(f.body, &count); err != nil {
		s.conn.close(errors.Wrap(err, "decode credit"))
		return
	}
	w := s.replyWriter(f.stream)
	if w == nil {
		return
	}
	for range min(count, streamCredits) {
		select {
		case w.credits <- struct{}{}:
		default:
			return
		}
	}
}

func (s *serverConn) startRequest(f frame) {
	handler, req, refusal := s.admitRequest(f)
	if refusal != nil {
		s.server.opts.Received.Give(f.taken)
		s.sendRefusal(f.stream, refusal)
		return
	}
	w := s.newReplyWriter(f.stream, *req)
	if w == nil {
		s.server.opts.Received.Give(f.taken)
		s.server.endRequest()
		s.sendRefusal(f.stream, structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "too many requests on one connection"))
		return
	}
	if guarded, isGuarded := s.conn.netConn.(*connlimit.Conn); isGuarded {
		guarded.Accept()
	}
	go func() {
		defer s.server.opts.Received.Give(f.taken)
		s.runHandler(handler, &Request{Method: req.Method, Peer: s.conn.netConn.RemoteAddr().String(), body: req.Body}, w)
	}()
}

// admitRequest decodes a request and begins it, unless it has to be refused.
func (s *serverConn) admitRequest(f frame) (Handler, *request, *structs.Refusal) {
	var req request
	if err := msgpack.Unmarshal(f.body, &req); err != nil {
		refusal := structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "decode request: %v", err)
		s.conn.close(errors.Wrap(err, "decode request"))
		return nil, nil, refusal
	}
	handler, found := s.server.handlers[req.Method]
	if !found {
		return nil, nil, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "method %q does not exist", req.Method)
	}
	if refusal := s.server.beginRequest(); refusal != nil {
		return nil, nil, refusal
	}
	return handler, &req, nil
}

func (s *serverConn) newReplyWriter(stream uint64, req request) *ReplyWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.writers) >= s.server.maxRequestsOfConn() {
		return nil
	}
	w := &ReplyWriter{session: s, stream: stream, credits: make(chan struct{}, streamCredits)}
	for range streamCredits {
		w.credits <- struct{}{}
	}
	if req.Timeout > 0 {
		w.ctx, w.cancel = context.WithTimeout(s.ctx, req.Timeout)
	} else {
		w.ctx, w.cancel = context.WithCancel(s.ctx)
	}
	s.writers[stream] = w
	return w
}

func (s *serverConn) runHandler(handler Handler, req *Request, w *ReplyWriter) {
	defer s.server.endRequest()
	err := handler(w.ctx, req, w)
	s.mu.Lock()
	delete(s.writers, w.stream)
	s.mu.Unlock()
	w.cancel()
	if err == nil {
		s.conn.send(frame{kind: frameEnd, stream: w.stream})
		return
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		refusal = structs.Refuse(structs.RefusedInvariant, structs.RunUnknown, "%s: %v", req.Method, err)
	}
	s.sendRefusal(w.stream, refusal)
}

func (s *serverConn) sendRefusal(stream uint64, refusal *structs.Refusal) {
	body, err := msgpack.Marshal(refusal)
	if err != nil {
		s.conn.close(errors.Wrap(err, "encode refusal"))
		return
	}
	s.conn.send(frame{kind: frameRefusal, stream: stream, body: body})
}
