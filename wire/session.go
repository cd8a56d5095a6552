package wire

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// maxRunning bounds the requests that run at a time on one connection.
const maxRunning = 4096

// serverConn is the server's side of one connection.
type serverConn struct {
	server *Server
	conn   *conn
	ctx    context.Context

	mu      sync.Mutex
	running map[uint64]*ReplyWriter
}

// ReplyWriter sends the replies of one request.
type ReplyWriter struct {
	session *serverConn
	stream  uint64
	ctx     context.Context
	cancel  context.CancelFunc
	credits chan struct{}
}

// Send sends one reply. It waits while the caller has not taken earlier ones,
// and fails when the request's context has ended.
func (w *ReplyWriter) Send(reply any) error {
	body, err := msgpack.Marshal(reply)
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	if len(body) > w.session.conn.max {
		return &FrameTooLargeError{Length: uint64(len(body)), Max: uint64(w.session.conn.max)}
	}
	select {
	case <-w.credits:
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
	if !w.session.conn.send(frame{kind: frameReply, stream: w.stream, body: body}) {
		return w.session.conn.err()
	}
	return nil
}

func (s *serverConn) handle(f frame) {
	switch f.kind {
	case frameRequest:
		s.open(f)
	case frameCancel:
		if w := s.find(f.stream); w != nil {
			w.cancel()
		}
	case frameCredit:
		s.credit(f)
	default:
		s.conn.close(&MalformedFrameError{Field: "kind", Value: uint64(f.kind)})
	}
}

func (s *serverConn) find(stream uint64) *ReplyWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[stream]
}

func (s *serverConn) credit(f frame) {
	var count int
	if err := msgpack.Unmarshal(f.body, &count); err != nil {
		s.conn.close(errors.Wrap(err, "decode credit"))
		return
	}
	w := s.find(f.stream)
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

func (s *serverConn) open(f frame) {
	var req request
	if err := msgpack.Unmarshal(f.body, &req); err != nil {
		s.conn.close(errors.Wrap(err, "decode request"))
		return
	}
	handler, known := s.server.handlers[req.Method]
	if !known {
		s.refuse(f.stream, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "method %q does not exist", req.Method))
		return
	}
	if !s.server.admit() {
		s.refuse(f.stream, structs.Refuse(structs.RefusedNotReady, structs.RunNo, "the process is stopping"))
		return
	}
	w := s.register(f.stream, req)
	if w == nil {
		s.server.requests.Done()
		s.refuse(f.stream, structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "too many requests on one connection"))
		return
	}
	go s.run(handler, &Request{Method: req.Method, Peer: s.conn.net.RemoteAddr().String(), body: req.Body}, w)
}

func (s *serverConn) register(stream uint64, req request) *ReplyWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= maxRunning {
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
	s.running[stream] = w
	return w
}

func (s *serverConn) run(handler Handler, req *Request, w *ReplyWriter) {
	defer s.server.requests.Done()
	err := handler(w.ctx, req, w)
	s.mu.Lock()
	delete(s.running, w.stream)
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
	s.refuse(w.stream, refusal)
}

func (s *serverConn) refuse(stream uint64, refusal *structs.Refusal) {
	body, err := msgpack.Marshal(refusal)
	if err != nil {
		s.conn.close(errors.Wrap(err, "encode refusal"))
		return
	}
	s.conn.send(frame{kind: frameRefuse, stream: stream, body: body})
}
