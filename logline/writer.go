// Package logline writes structured logs without ever blocking the code that
// logs: lines are buffered up to a maximum size, and are dropped and counted when
// the buffer is full.
package logline

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes is the capacity of the buffer, about 2,000 lines.
	maxPendingBytes = 512 << 10
	// flushPeriod is the maximum time that a line waits to be written together
	// with others.
	flushPeriod = 100 * time.Millisecond
)

// Writer buffers lines for a writer that may be slow.
type Writer struct {
	out     io.Writer
	dropped atomic.Uint64
	wake    chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
}

// NewWriter returns a Writer. Its Run method writes the lines to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, wake: make(chan struct{}, 1)} }

// Write buffers one line. It never fails and never waits for out.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last flush.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until ctx is done, then writes the remaining ones.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return w.Flush()
		}
		timer := time.NewTimer(flushPeriod)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// Flush writes all buffered lines and, if lines were dropped, a line with their
// number.
func (w *Writer) Flush() error {
	w.mu.Lock()
	lines := w.pending
	w.pending, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	if dropped := w.dropped.Swap(0); dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	}
	_, err := w.out.Write(lines)
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
	return err
}

// New returns a logger that writes JSON lines to w.
func New(w *Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
