package rowstore

import (
	"context"
	"sync"
	"time"
)

// progressKey is the key of the progress function in a context.
type progressKey struct{}

// WithProgress returns a context for a call; report is called with the number of bytes each
// time a part of the call's reply arrives, from the goroutine that reads it. The functions
// that are set already are called too.
func WithProgress(ctx context.Context, report func(bytes int)) context.Context {
	outer, _ := ctx.Value(progressKey{}).(func(int))
	if outer == nil {
		return context.WithValue(ctx, progressKey{}, report)
	}
	return context.WithValue(ctx, progressKey{}, func(bytes int) {
		report(bytes)
		outer(bytes)
	})
}

// ReportProgress reports that a part of a call's reply has arrived.
func ReportProgress(ctx context.Context, bytes int) {
	if report, ok := ctx.Value(progressKey{}).(func(int)); ok {
		report(bytes)
	}
}

// ReadStats says how a table was read: how long the first byte of the reply took, how long
// all others took after it, and how many bytes arrived. The bytes of further attempts of the
// same read are included.
type ReadStats struct {
	Wait     time.Duration
	Transfer time.Duration
	Bytes    int
}

// readRecorder measures one read of a table.
type readRecorder struct {
	start time.Time

	mu          sync.Mutex
	first, last time.Time
	bytes       int
}

func (r *readRecorder) record(bytes int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes == 0 {
		r.first = now
	}
	r.last = now
	r.bytes += bytes
}

func (r *readRecorder) stats() ReadStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes == 0 {
		return ReadStats{Wait: time.Since(r.start)}
	}
	return ReadStats{Wait: r.first.Sub(r.start), Transfer: r.last.Sub(r.first), Bytes: r.bytes}
}
