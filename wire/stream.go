package wire

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// creditBatch is the number of received replies after which their credits are
// returned to the server.
const creditBatch = streamCredits / 2

// clientConn is the client's side of one connection.
type clientConn struct {
	addr string
	conn *conn

	mu         sync.Mutex
	lastNumber uint64
	streams    map[uint64]*Stream
}

// Stream receives the replies to one request. Recv and Close must be called
// from one goroutine.
type Stream struct {
	peer     *clientConn
	id       uint64
	ctx      context.Context
	frames   chan frame
	consumed int
	finalErr error // set once the last frame was taken
}

func (p *clientConn) openStream(ctx context.Context, class TrafficClass, body []byte) (*Stream, error) {
	s := &Stream{peer: p, ctx: ctx, frames: make(chan frame, streamCredits+1)}
	p.mu.Lock()
	p.lastNumber++
	s.id = streamID(p.lastNumber, class)
	p.streams[s.id] = s
	p.mu.Unlock()
	if !p.conn.send(frame{kind: frameRequest, stream: s.id, body: body}) {
		p.removeStream(s.id)
		return nil, &NotSentError{Addr: p.addr, Cause: p.conn.err()}
	}
	select {
	case <-p.conn.closed: // closeStreams may have run before the stream was added
		p.removeStream(s.id)
		return nil, &IncompleteReplyError{Addr: p.addr, Cause: p.conn.err()}
	default:
		return s, nil
	}
}

func (p *clientConn) removeStream(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, id)
}

func (p *clientConn) handle(f frame) {
	switch f.kind {
	case frameReply, frameEnd, frameRefusal:
	default:
		p.conn.close(&MalformedFrameError{Field: "kind", Value: uint64(f.kind)})
		return
	}
	if !p.deliver(f) {
		p.conn.close(&MalformedFrameError{Field: "credits", Value: streamCredits})
	}
}

// deliver passes a frame to its stream, unless the stream was cancelled. It reports
// false when the server exceeded the stream's credits. The lock keeps closeStreams
// from closing the channel during the send.
func (p *clientConn) deliver(f frame) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[f.stream]
	if s == nil {
		return true
	}
	if f.kind != frameReply {
		delete(p.streams, f.stream)
	}
	select {
	case s.frames <- f:
		return true
	default:
		return false
	}
}

// closeStreams ends all streams after the connection was closed.
func (p *clientConn) closeStreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.streams {
		delete(p.streams, id)
		close(s.frames)
	}
}

// Recv decodes the next reply into out. It returns io.EOF after the last one,
// *structs.Refusal when the server refused the request, *IncompleteReplyError
// when the connection was lost or a reply does not decode, and the context's
// error when the context ended first.
func (s *Stream) Recv(out any) error {
	if s.finalErr != nil {
		return s.finalErr
	}
	select {
	case f, open := <-s.frames:
		if !open {
			s.finalErr = &IncompleteReplyError{Addr: s.peer.addr, Cause: s.peer.conn.err()}
			return s.finalErr
		}
		return s.decodeFrame(f, out)
	case <-s.ctx.Done():
		s.Close()
		s.finalErr = s.ctx.Err()
		return s.finalErr
	}
}

func (s *Stream) decodeFrame(f frame, out any) error {
	switch f.kind {
	case frameEnd:
		s.finalErr = io.EOF
		return s.finalErr
	case frameRefusal:
		var refusal structs.Refusal
		if err := msgpack.Unmarshal(f.body, &refusal); err != nil {
			s.finalErr = &IncompleteReplyError{Addr: s.peer.addr, Cause: errors.Wrap(err, "decode refusal")}
			return s.finalErr
		}
		s.finalErr = &refusal
		return s.finalErr
	}
	s.returnCredits()
	if err := msgpack.Unmarshal(f.body, out); err != nil {
		s.Close()
		s.finalErr = &IncompleteReplyError{Addr: s.peer.addr, Cause: errors.Wrap(err, "decode reply")}
		return s.finalErr
	}
	return nil
}

func (s *Stream) returnCredits() {
	s.consumed++
	if s.consumed < creditBatch {
		return
	}
	body, err := msgpack.Marshal(s.consumed)
	if err != nil {
		return
	}
	s.consumed = 0
	s.peer.conn.send(frame{kind: frameCredit, stream: s.id, body: body})
}

// Close cancels the request unless it has ended. It is idempotent.
func (s *Stream) Close() error {
	if s.finalErr != nil {
		return nil
	}
	s.finalErr = &ClosedError{}
	s.peer.mu.Lock()
	_, open := s.peer.streams[s.id]
	delete(s.peer.streams, s.id)
	s.peer.mu.Unlock()
	if open {
		s.peer.conn.send(frame{kind: frameCancel, stream: s.id})
	}
	return nil
}
