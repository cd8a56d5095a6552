package rowstore

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
)

// FollowOptions configures Follow.
type FollowOptions struct {
	Table string
	// Wait is how long one Watch waits for a change.
	Wait time.Duration
	// Pause returns the least time between two calls, which bounds the calls a
	// busy table costs.
	Pause func() time.Duration
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration
	Log        *slog.Logger
}

// TableUpdate is what Follow reports: either all rows, or the changed ones.
type TableUpdate struct {
	Rows []Row
	// IsFull says that rows not listed do not exist.
	IsFull  bool
	Version uint64
}

// Follow reports all rows of a table's empty partition and then each change,
// until ctx ends. After lost history it reports all rows again.
func Follow(ctx context.Context, s Store, opts FollowOptions, report func(TableUpdate)) error {
	var after uint64
	known := false
	for ctx.Err() == nil {
		snapshot, err := next(ctx, s, opts, known, after)
		switch {
		case err == nil:
			known, after = true, snapshot.Version
			report(snapshot)
			sleep(ctx, opts.Pause())
		case isHistoryGone(err):
			opts.Log.Info("store history is gone, reading the table again", "table", opts.Table, "after", after)
			known = false
		default:
			sleep(ctx, opts.RetryDelay)
		}
	}
	return ctx.Err()
}

func next(ctx context.Context, s Store, opts FollowOptions, known bool, after uint64) (TableUpdate, error) {
	if !known {
		rows, version, err := ScanAll(ctx, s, Range{Table: opts.Table})
		return TableUpdate{Rows: rows, IsFull: true, Version: version}, err
	}
	page, err := s.Watch(ctx, opts.Table, after, opts.Wait)
	// A version below the known one would repeat old rows as if they were new.
	return TableUpdate{Rows: page.Rows, Version: max(after, page.Version)}, err
}

func isHistoryGone(err error) bool {
	var gone *HistoryGoneError
	return errors.As(err, &gone)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
