package edge

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/rowstore/storepath"
	"github.com/endivecourse/endivecourse/structs"
)

// Targets may crash for reasons of their own while they run the same request. A request in
// quarantine is therefore tried once more after some seconds, at one VM of the fleet at a time,
// and leaves the quarantine at all VMs if it is answered. The store counts the trials, so that
// VMs that do not hear of each other never exceed their number together.

const (
	trialTable = "trials"
	// maxTrials is the number of times that a request in quarantine may reach a target.
	maxTrials = 3
	// trialTime is the time in which a trial ends; no caller waits longer for a response.
	trialTime = 30 * time.Second
	// trialTimeout bounds the calls to the store that decide about a trial.
	trialTimeout = 600 * time.Millisecond
	// trialRetryAfter is the time after which a VM that got no trial may get one.
	trialRetryAfter = time.Second
)

// trialRow is the row of a request in quarantine.
type trialRow struct {
	Count   int   `msgpack:"n"` // trials so far
	Crashes int   `msgpack:"c"` // crashes of the request at the last trial
	At      int64 `msgpack:"a"` // of the last trial, in milliseconds of the store's clock
}

// mayTry reports whether another trial may begin, at now by the store's clock. The next one
// waits until the one before has ended: by another crash, or after trialTime.
func (r *trialRow) mayTry(now int64, crashes int) bool {
	age := time.Duration(now-r.At) * time.Millisecond
	if r.Count == 0 || age > quarantine.DefaultPeriod {
		return true
	}
	return r.Count < maxTrials && (crashes > r.Crashes || age > trialTime)
}

// next returns the row after another trial.
func (r *trialRow) next(now int64, crashes int) trialRow {
	count := r.Count + 1
	if time.Duration(now-r.At)*time.Millisecond > quarantine.DefaultPeriod {
		count = 1
	}
	return trialRow{Count: count, Crashes: crashes, At: now}
}

// trials counts the trials of requests in quarantine in the store.
type trials struct {
	store *storepath.Router
	log   *slog.Logger
}

func trialKey(fingerprint uint64) rowstore.Key {
	return rowstore.Key{Table: trialTable, Key: strconv.FormatUint(fingerprint, 16)}
}

// begin takes a trial for a request with a number of crashes. It reports false if no trial may
// begin now.
func (t *trials) begin(ctx context.Context, fingerprint uint64, crashes int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	row, now, err := t.read(ctx, fingerprint)
	if err != nil {
		return false, err
	}
	var last trialRow
	if row.Version != 0 {
		if err := msgpack.Unmarshal(row.Value, &last); err != nil {
			return false, errors.Wrap(err, "decode trials")
		}
	}
	if !last.mayTry(now, crashes) {
		return false, nil
	}
	value, err := msgpack.Marshal(last.next(now, crashes))
	if err != nil {
		return false, errors.Wrap(err, "encode trials")
	}
	_, err = t.store.Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: row.Key, Version: row.Version}},
		Put:    []rowstore.Put{{Key: row.Key, Value: value}},
	})
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		return false, nil // another VM has taken the trial
	}
	return err == nil, err
}

// read returns a request's row and the store's clock.
func (t *trials) read(ctx context.Context, fingerprint uint64) (rowstore.Row, int64, error) {
	key := trialKey(fingerprint)
	page, err := t.store.Scan(ctx, rowstore.Range{Table: key.Table, From: key.Key, To: key.Key + "\x00"})
	if err != nil {
		return rowstore.Row{}, 0, err
	}
	for _, row := range page.Rows {
		if row.Key == key {
			return row, page.Clock, nil
		}
	}
	return rowstore.Row{Key: key}, page.Clock, nil
}

// end removes the row of a request that has been answered.
func (t *trials) end(fingerprint uint64) {
	t.change(fingerprint, func(rowstore.Row) (rowstore.Tx, error) {
		return rowstore.Tx{Delete: []rowstore.Key{trialKey(fingerprint)}}, nil
	})
}

// giveBack uncounts a trial that has reached no target.
func (t *trials) giveBack(fingerprint uint64) {
	t.change(fingerprint, func(row rowstore.Row) (rowstore.Tx, error) {
		var last trialRow
		if err := msgpack.Unmarshal(row.Value, &last); err != nil {
			return rowstore.Tx{}, errors.Wrap(err, "decode trials")
		}
		last.Count, last.Crashes = max(last.Count-1, 0), 0
		value, err := msgpack.Marshal(last)
		return rowstore.Tx{Put: []rowstore.Put{{Key: row.Key, Value: value}}}, errors.Wrap(err, "encode trials")
	})
}

// change changes the row of a request if there is one. If that fails, the trial counts for the
// rest of the quarantine's period.
func (t *trials) change(fingerprint uint64, newTx func(rowstore.Row) (rowstore.Tx, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	row, _, err := t.read(ctx, fingerprint)
	if err == nil && row.Version == 0 {
		return
	}
	var tx rowstore.Tx
	if err == nil {
		tx, err = newTx(row)
	}
	if err == nil {
		tx.Expect = []rowstore.Expectation{{Key: row.Key, Version: row.Version}}
		_, err = t.store.Commit(ctx, tx)
	}
	if err != nil {
		t.log.Warn("trial of a request stays counted", "fingerprint", fingerprint, "cause", err.Error())
	}
}

// checkQuarantine refuses a request in quarantine unless it is its turn to be tried.
func (x *exchange) checkQuarantine(ctx context.Context) *structs.Refusal {
	s := x.server
	s.mu.Lock()
	now := structs.Now()
	left, trial := s.quarantine.Remaining(now, x.fingerprint), s.quarantine.NextTrial(now, x.fingerprint)
	if left > 0 && trial.Wait == 0 {
		s.quarantine.DelayTrial(now, x.fingerprint, trialRetryAfter) // for the other requests of this VM
	}
	s.mu.Unlock()
	if left == 0 {
		return nil
	}
	if trial.Wait > 0 {
		return x.refuseQuarantined(trial, min(trial.Wait, left))
	}
	isGranted, err := s.trials.begin(ctx, x.fingerprint, trial.Crashes)
	if err != nil {
		s.log.Warn("no trial of a request in quarantine", "request", string(x.ID), "cause", err.Error())
	}
	if !isGranted {
		return x.refuseQuarantined(trial, trialRetryAfter)
	}
	s.log.Info("request in quarantine is tried once more", "request", string(x.ID), "crashes", trial.Crashes)
	x.isTrial = true
	return nil
}

// isQuarantined reports whether the request must not be sent to a target again.
func (x *exchange) isQuarantined() bool {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	return x.server.quarantine.Remaining(structs.Now(), x.fingerprint) > 0
}

func (x *exchange) refuseQuarantined(trial quarantine.Trial, after time.Duration) *structs.Refusal {
	refusal := structs.Refuse(structs.RefusedQuarantined, structs.RunNo, "%d targets crashed while they ran this request", trial.Crashes)
	refusal.RetryAfter = after
	return refusal
}
