package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	maxEventBytes = 1 << 20
	maxDrainBytes = 4 << 10
	drainTimeout  = 100 * time.Millisecond
)

// stream reads the server-sent events of one response. Recv must be called from one
// goroutine at a time; Close is safe for concurrent use.
type stream struct {
	target    structs.TargetID
	body      io.ReadCloser
	cancel    context.CancelFunc
	lines     *bufio.Scanner
	received  int64
	usage     *structs.Usage
	err       error
	isEnded   atomic.Bool
	isClosed  atomic.Bool
	closeOnce sync.Once
}

func newStream(id structs.TargetID, body io.ReadCloser, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &stream{target: id, body: body, cancel: cancel, lines: lines}
}

// Recv returns the next chunk of the response, and io.EOF after the last one.
func (s *stream) Recv() (target.Chunk, error) {
	if s.isEnded.Load() {
		return target.Chunk{}, io.EOF
	}
	if s.err != nil {
		return target.Chunk{}, s.err
	}
	for s.lines.Scan() {
		s.received += int64(len(s.lines.Bytes())) + 1
		data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		chunk, isReady, err := s.event(bytes.TrimSpace(data))
		if err != nil {
			return target.Chunk{}, s.fail(err)
		}
		if isReady {
			return chunk, nil
		}
	}
	return target.Chunk{}, s.fail(s.scanError())
}

func (s *stream) scanError() error {
	if err := s.lines.Err(); err != nil {
		return err
	}
	return &MissingPartError{Missing: "[DONE]"}
}

func (s *stream) fail(cause error) error {
	if s.isClosed.Load() {
		cause = &ClosedError{}
	}
	var engineErr *EngineError
	s.err = &target.IncompleteResponseError{
		Target: s.target, Received: s.received, IsAlive: errors.As(cause, &engineErr) || target.IsInvalidResponse(cause), Cause: cause,
	}
	s.cancel()
	return s.err
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Type string `json:"type"`
	} `json:"error"`
}

// event parses the data of one event. isReady is unset for an event without content. The
// response ends with [DONE], which must follow the usage.
func (s *stream) event(data []byte) (chunk target.Chunk, isReady bool, err error) {
	if string(data) == "[DONE]" {
		if s.usage == nil {
			return target.Chunk{}, false, &MissingPartError{Missing: "usage"}
		}
		s.isEnded.Store(true)
		return target.Chunk{Usage: *s.usage, IsLast: true}, true, nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return target.Chunk{}, false, errors.Wrap(err, "decode event")
	}
	if e.Error != nil {
		return target.Chunk{}, false, &EngineError{Type: e.Error.Type[:min(len(e.Error.Type), maxErrorTypeBytes)]}
	}
	if e.Usage != nil {
		s.usage = &structs.Usage{
			PromptTokens: e.Usage.PromptTokens,
			CachedTokens: e.Usage.Details.CachedTokens,
			OutputTokens: e.Usage.CompletionTokens,
		}
	}
	if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
		return target.Chunk{}, false, nil
	}
	return target.Chunk{Data: []byte(e.Choices[0].Delta.Content)}, true, nil
}

// Close cancels a response that has not ended. After the end it reads the rest of the
// HTTP framing, for a bounded time and size, so that the connection can be reused.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		s.isClosed.Store(true)
		defer s.cancel()
		if !s.isEnded.Load() {
			return
		}
		timer := time.AfterFunc(drainTimeout, s.cancel)
		defer timer.Stop()
		_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
		_ = s.body.Close()
	})
	return nil
}
