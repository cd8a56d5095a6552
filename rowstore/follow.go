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
	// Wait is how long one Watch call waits for a change.
	Wait time.Duration
	// Pause returns the pause after each successful call. It bounds the rate of calls
	// for a table that changes often.
	Pause func() time.Duration
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration
	Log        *slog.Logger
}

// TableUpdate is what Follow reports: either all rows or the changed ones.
type TableUpdate struct {
	Rows []Row
	// IsFull is true when Rows lists all rows that exist.
	IsFull  bool
	Version uint64
	// Age is the time since the store had no change after Version, as far as a VM that
	// passed the update on knows; 0 for the store's own reply.
	Age  time.Duration
	Read ReadStats
}

// Follow reports all rows in the partition "" of a table and then each change of the
// table, until ctx ends. When the store no longer has the history since the last update,
// Follow reports all rows again.
func Follow(ctx context.Context, s Store, opts FollowOptions, report func(TableUpdate)) error {
	var after uint64
	isSynced := false
	gap := readGap{log: opts.Log, table: opts.Table, readAt: time.Now()}
	for ctx.Err() == nil {
		recorder := &readRecorder{start: time.Now()}
		update, err := fetchNext(WithProgress(ctx, recorder.record), s, opts, isSynced, after)
		update.Read = recorder.stats()
		gap.record(ctx, err, update.Read)
		switch {
		case err == nil:
			isSynced, after = true, update.Version
			report(update)
			sleep(ctx, opts.Pause())
		case isHistoryGone(err):
			opts.Log.Info("store no longer has the history of a table, reading the whole table", "table", opts.Table, "after", after, "cause", err.Error())
			isSynced = false
		default:
			sleep(ctx, opts.RetryDelay)
		}
	}
	return ctx.Err()
}

// fetchNext reads the whole table unless isSynced is true, else the changes after a
// version.
func fetchNext(ctx context.Context, s Store, opts FollowOptions, isSynced bool, after uint64) (TableUpdate, error) {
	if !isSynced {
		all, err := scanPages(ctx, s, Range{Table: opts.Table})
		if err == nil && all.Version < after {
			err = &StaleReadError{Table: opts.Table, Version: all.Version, Known: after}
		}
		return TableUpdate{Rows: all.Rows, IsFull: true, Version: all.Version, Age: all.Age}, err
	}
	page, err := s.Watch(ctx, opts.Table, after, opts.Wait)
	// With a version below the last one, the next Watch would report old rows as new.
	return TableUpdate{Rows: page.Rows, Version: max(after, page.Version), Age: page.Age}, err
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
