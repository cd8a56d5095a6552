package wire

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// creditBatch is how many replies are taken before the server is told.
const creditBatch = streamCredits / 2

// clientConn is the client's side of one connection.
type clientConn struct {
	addr string
	conn *conn

	mu      sync.Mutex
	next    uint64
	streams map[uint64]*Stream
}

// Stream is the replies to one request. Recv and Close are called from one
// goroutine.
type Stream struct {
	peer   *clientConn
	id     uint64
	ctx    context.Context
	frames chan frame
	taken  int
	ended  error // set once the last frame was taken
}

func (p *clientConn) open(ctx context.Context, class TrafficClass, body []byte) (*Stream, error) {
	s := &Stream{peer: p, ctx: ctx, frames: make(chan frame, streamCredits+1)}
	p.mu.Lock()
	p.next++
	s.id = streamID(p.next, class)
	p.streams[s.id] = s
	p.mu.Unlock()
	if !p.conn.send(frame{kind: frameRequest, stream: s.id, body: body}) {
		p.forget(s.id)
		return nil, &NotSentError{Addr: p.addr, Cause: p.conn.err()}
	}
	select {
	case <-p.conn.closed: // the stream may have missed failAll
		p.forget(s.id)
		return nil, &IncompleteReplyError{Addr: p.addr, Cause: p.conn.err()}
	default:
		return s, nil
	}
}

func (p *clientConn) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, id)
}

func (p *clientConn) handle(f frame) {
	switch f.kind {
	case frameReply, frameEnd, frameRefuse:
	default:
		p.conn.close(&MalformedFrameError{Field: "kind", Value: uint64(f.kind)})
		return
	}
	p.mu.Lock()
	s := p.streams[f.stream]
	if f.kind != frameReply {
		delete(p.streams, f.stream)
	}
	p.mu.Unlock()
	if s == nil {
		return // cancelled before
	}
	select {
	case s.frames <- f:
	default:
		p.conn.close(&MalformedFrameError{Field: "credits", Value: streamCredits})
	}
}

// failAll ends all streams of a closed connection.
func (p *clientConn) failAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.streams {
		delete(p.streams, id)
		close(s.frames)
	}
}

// Recv decodes the next reply into out. It returns io.EOF after the last one,
// a *structs.Refusal when the handler refused, *BrokenError when the
// connection was lost, and the context's error when it ended first.
func (s *Stream) Recv(out any) error {
	if s.ended != nil {
		return s.ended
	}
	select {
	case f, open := <-s.frames:
		if !open {
			s.ended = &IncompleteReplyError{Addr: s.peer.addr, Cause: s.peer.conn.err()}
			return s.ended
		}
		return s.take(f, out)
	case <-s.ctx.Done():
		s.Close()
		s.ended = s.ctx.Err()
		return s.ended
	}
}

func (s *Stream) take(f frame, out any) error {
	switch f.kind {
	case frameEnd:
		s.ended = io.EOF
		return s.ended
	case frameRefuse:
		var refusal structs.Refusal
		if err := msgpack.Unmarshal(f.body, &refusal); err != nil {
			s.ended = &IncompleteReplyError{Addr: s.peer.addr, Cause: errors.Wrap(err, "decode refusal")}
			return s.ended
		}
		s.ended = &refusal
		return s.ended
	}
	s.giveCredit()
	if err := msgpack.Unmarshal(f.body, out); err != nil {
		s.Close()
		s.ended = &IncompleteReplyError{Addr: s.peer.addr, Cause: errors.Wrap(err, "decode reply")}
		return s.ended
	}
	return nil
}

func (s *Stream) giveCredit() {
	s.taken++
	if s.taken < creditBatch {
		return
	}
	body, err := msgpack.Marshal(s.taken)
	if err != nil {
		return
	}
	s.taken = 0
	s.peer.conn.send(frame{kind: frameCredit, stream: s.id, body: body})
}

// Close cancels the request if it has not ended. It is idempotent.
func (s *Stream) Close() error {
	if s.ended != nil {
		return nil
	}
	s.ended = &ClosedError{}
	s.peer.mu.Lock()
	_, open := s.peer.streams[s.id]
	delete(s.peer.streams, s.id)
	s.peer.mu.Unlock()
	if open {
		s.peer.conn.send(frame{kind: frameCancel, stream: s.id})
	}
	return nil
}
