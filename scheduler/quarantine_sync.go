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
	// syncInterval is the time between two exchanges of crash reports.
	syncInterval = 2 * time.Second
	syncTimeout  = 2 * time.Second
)

// crashRow is the table row of one failure domain. Written is the writer's wall clock
// time, from which a reader computes the age of the reports, so that old ones don't
// count as new.
type crashRow struct {
	Written time.Time           `msgpack:"w"`
	Reports []quarantine.Report `msgpack:"r"`
}

// quarantineSync exchanges crash reports with the other schedulers through the
// platform's table.
type quarantineSync struct {
	s                *Scheduler
	table            backing.Table
	importedVersions map[string]uint64 // row key -> version imported last
	writtenDigest    uint64            // digest of the reports written last
}

// syncQuarantine exchanges crash reports until ctx ends.
func (s *Scheduler) syncQuarantine(ctx context.Context) error {
	syncer := &quarantineSync{s: s, table: s.opts.Table, importedVersions: make(map[string]uint64)}
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		if err := syncer.syncOnce(syncCtx); err != nil && ctx.Err() == nil {
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

// syncOnce imports the rows of all domains, then writes the row of its own domain if
// this process has new reports.
func (h *quarantineSync) syncOnce(ctx context.Context) error {
	rows, err := h.table.List(ctx, quarantinePrefix)
	if err != nil {
		return errors.Wrap(err, "read crash reports")
	}
	key := quarantinePrefix + string(h.s.opts.Settings.Domain)
	ownRow := backing.Row{Key: key}
	for _, row := range rows {
		if row.Key == key {
			ownRow = row
		}
		if err := h.importRow(ctx, row); err != nil {
			return err
		}
	}
	return h.writeOwnRow(ctx, ownRow)
}

func (h *quarantineSync) importRow(ctx context.Context, row backing.Row) error {
	if h.importedVersions[row.Key] == row.Version {
		return nil
	}
	var shared crashRow
	if err := msgpack.Unmarshal(row.Value, &shared); err != nil {
		return errors.Wrapf(err, "decode crash reports of row %s", row.Key)
	}
	h.importedVersions[row.Key] = row.Version
	reports := addAge(shared.Reports, time.Since(shared.Written))
	return h.s.runOnLoop(ctx, func(l *loop) { l.quarantine.Import(structs.Now(), reports) })
}

// addAge adds the time since reports were written to their ages. Reports of builds that state
// no ages are dropped once they are as old as quarantine.DefaultPeriod, the length of a
// quarantine.
func addAge(reports []quarantine.Report, age time.Duration) []quarantine.Report {
	var kept []quarantine.Report
	for _, r := range quarantine.AddAge(reports, age) {
		if len(r.Crashes) > 0 || r.Remaining > 0 || age < quarantine.DefaultPeriod {
			kept = append(kept, r)
		}
	}
	return kept
}

func (h *quarantineSync) writeOwnRow(ctx context.Context, own backing.Row) error {
	reports, err := queryLoop(ctx, h.s, func(l *loop) []quarantine.Report { return l.quarantine.Export(structs.Now()) })
	if err != nil {
		return err
	}
	digest := quarantine.Digest(reports)
	if len(reports) == 0 || digest == h.writtenDigest {
		return nil
	}
	value, err := msgpack.Marshal(crashRow{Written: time.Now(), Reports: reports})
	if err != nil {
		return errors.Wrap(err, "encode crash reports")
	}
	rows, err := h.table.Commit(ctx, backing.Txn{
		Require: []backing.Condition{{Key: own.Key, Version: own.Version}},
		Writes:  []backing.Write{{Key: own.Key, Value: value}},
	})
	if err != nil {
		return errors.Wrap(err, "write crash reports") // after a conflict, the next round reads the row again
	}
	h.writtenDigest = digest
	for _, row := range rows {
		h.importedVersions[row.Key] = row.Version
	}
	return nil
}
