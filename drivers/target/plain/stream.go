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

const readBufferBytes = 32 << 10

// stream reads one response. Recv must be called from one goroutine at a time; Close is
// safe for concurrent use.
type stream struct {
	target     structs.TargetID
	resp       *http.Response
	cancel     context.CancelFunc
	isUnframed bool // neither a length nor chunks, so the end can't be verified
	isHeadSent bool
	isEnded    bool
	received   int64
	err        error
	isClosed   atomic.Bool
	closeOnce  sync.Once
}

func newStream(id structs.TargetID, method string, resp *http.Response, cancel context.CancelFunc) *stream {
	isFramed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &stream{
		target:     id,
		resp:       resp,
		cancel:     cancel,
		isUnframed: !isFramed && method != http.MethodHead,
	}
}

// Recv returns the status and header first, then the body, then a chunk with IsLast, and
// io.EOF after it.
func (s *stream) Recv() (target.Chunk, error) {
	switch {
	case s.isEnded:
		return target.Chunk{}, io.EOF
	case s.err != nil:
		return target.Chunk{}, s.err
	case !s.isHeadSent:
		s.isHeadSent = true
		return target.Chunk{Status: s.resp.StatusCode, Header: responseHeader(s.resp.Header)}, nil
	}
	buf := make([]byte, readBufferBytes)
	n, err := s.resp.Body.Read(buf)
	s.received += int64(n)
	if err != nil {
		return s.finish(buf[:n], err)
	}
	return target.Chunk{Data: buf[:n]}, nil
}

// finish handles the error that ends the body. Data read along with a failure is returned
// before the failure.
func (s *stream) finish(data []byte, err error) (target.Chunk, error) {
	if err == io.EOF && !s.isUnframed {
		s.isEnded = true
		return target.Chunk{Data: data, IsLast: true}, nil
	}
	if err == io.EOF {
		err = &UnframedResponseError{}
	}
	if s.isClosed.Load() {
		err = &ClosedError{}
	}
	s.err = &target.IncompleteResponseError{Target: s.target, Received: s.received, IsAlive: target.IsInvalidResponse(err), Cause: err}
	s.cancel()
	if len(data) > 0 {
		return target.Chunk{Data: data}, nil
	}
	return target.Chunk{}, s.err
}

// Close cancels a response that has not ended.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		s.isClosed.Store(true)
		s.cancel()
		_ = s.resp.Body.Close()
	})
	return nil
}
