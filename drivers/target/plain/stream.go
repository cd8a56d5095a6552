package plain

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

const readBytes = 32 << 10

// stream reads one answer. Recv is for one goroutine; Close may be called by
// any.
type stream struct {
	target    structs.TargetID
	resp      *http.Response
	cancel    context.CancelFunc
	unchecked bool // the end can't be told from a cut
	headSent  bool
	ended     bool
	received  int64
	failed    error
	closed    atomic.Bool
	once      sync.Once
}

func newStream(id structs.TargetID, method string, resp *http.Response, cancel context.CancelFunc) *stream {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &stream{
		target:    id,
		resp:      resp,
		cancel:    cancel,
		unchecked: !framed && method != http.MethodHead,
	}
}

// Recv returns the answer's head first, then its body, then a chunk with End,
// and io.EOF after it.
func (s *stream) Recv() (target.Chunk, error) {
	switch {
	case s.ended:
		return target.Chunk{}, io.EOF
	case s.failed != nil:
		return target.Chunk{}, s.failed
	case !s.headSent:
		s.headSent = true
		return target.Chunk{Status: s.resp.StatusCode, Header: answerHeader(s.resp.Header)}, nil
	}
	buf := make([]byte, readBytes)
	n, err := s.resp.Body.Read(buf)
	s.received += int64(n)
	if err != nil {
		return s.last(buf[:n], err)
	}
	return target.Chunk{Data: buf[:n]}, nil
}

// last handles the error that ends the body. Data that came with a failure is
// returned first.
func (s *stream) last(data []byte, err error) (target.Chunk, error) {
	if err == io.EOF && !s.unchecked {
		s.ended = true
		return target.Chunk{Data: data, IsLast: true}, nil
	}
	if err == io.EOF {
		err = &UnframedResponseError{}
	}
	if s.closed.Load() {
		err = &ClosedError{}
	}
	s.failed = &target.IncompleteResponseError{Target: s.target, Received: s.received, Cause: err}
	s.cancel()
	if len(data) > 0 {
		return target.Chunk{Data: data}, nil
	}
	return target.Chunk{}, s.failed
}

// Close cancels an answer that has not ended.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.closed.Store(true)
		s.cancel()
		_ = s.resp.Body.Close()
	})
	return nil
}
