package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	quarantinePrefix = "quarantine/"
	// shareInterval is the time between two exchanges of crash reports.
	shareInterval = 2 * time.Second
	shareTimeout  = 2 * time.Second
)

// sharedCrashes is the row of one failure domain. Written is the wall clock of
// its writer, so that a reader does not take old reports for new ones.
type sharedCrashes struct {
	Written time.Time           `msgpack:"w"`
	Reports []quarantine.Report `msgpack:"r"`
}

// sharer exchanges crash reports with the other schedulers through the
// platform's table.
type sharer struct {
	s       *Scheduler
	table   backing.Table
	read    map[string]uint64 // versions of the rows that were taken in
	written uint64            // digest of what the own row holds
}

// shareQuarantine exchanges crash reports until ctx ends.
func (s *Scheduler) shareQuarantine(ctx context.Context) error {
	share := &sharer{s: s, table: s.opts.Table, read: make(map[string]uint64)}
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		roundCtx, cancel := context.WithTimeout(ctx, shareTimeout)
		if err := share.round(roundCtx); err != nil && ctx.Err() == nil {
			s.log.Debug("crash reports not exchanged", "error", err)
		}
		cancel()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// round takes the rows of all domains in and writes the own domain's row when
// this process knows more.
func (h *sharer) round(ctx context.Context) error {
	rows, err := h.table.List(ctx, quarantinePrefix)
	if err != nil {
		return errors.Wrap(err, "read crash reports")
	}
	key := quarantinePrefix + string(h.s.opts.Settings.Domain)
	own := backing.Row{Key: key}
	for _, row := range rows {
		if row.Key == key {
			own = row
		}
		if err := h.take(ctx, row); err != nil {
			return err
		}
	}
	return h.write(ctx, own)
}

func (h *sharer) take(ctx context.Context, row backing.Row) error {
	if h.read[row.Key] == row.Version {
		return nil
	}
	var shared sharedCrashes
	if err := msgpack.Unmarshal(row.Value, &shared); err != nil {
		return errors.Wrapf(err, "decode %s", row.Key)
	}
	h.read[row.Key] = row.Version
	reports := aged(shared.Reports, time.Since(shared.Written))
	return h.s.ask(ctx, func(l *loop) { l.quarantine.Import(structs.Now(), reports) })
}

// aged shortens reports by their age. Suspicions are dropped once they are
// older than any quarantine.
func aged(reports []quarantine.Report, age time.Duration) []quarantine.Report {
	age = max(age, 0)
	var kept []quarantine.Report
	for _, r := range reports {
		if r.Remaining > age {
			r.Remaining -= age
			kept = append(kept, r)
		} else if r.Remaining == 0 && age < quarantine.DefaultPeriod {
			kept = append(kept, r)
		}
	}
	return kept
}

func (h *sharer) write(ctx context.Context, own backing.Row) error {
	var reports []quarantine.Report
	if err := h.s.ask(ctx, func(l *loop) { reports = l.quarantine.Export(structs.Now()) }); err != nil {
		return err
	}
	digest := quarantine.Digest(reports)
	if len(reports) == 0 || digest == h.written {
		return nil
	}
	value, err := msgpack.Marshal(sharedCrashes{Written: time.Now(), Reports: reports})
	if err != nil {
		return errors.Wrap(err, "encode crash reports")
	}
	rows, err := h.table.Commit(ctx, backing.Txn{
		Require: []backing.Condition{{Key: own.Key, Version: own.Version}},
		Writes:  []backing.Write{{Key: own.Key, Value: value}},
	})
	if err != nil {
		return errors.Wrap(err, "write crash reports") // read again in the next round
	}
	h.written = digest
	for _, row := range rows {
		h.read[row.Key] = row.Version
	}
	return nil
}
