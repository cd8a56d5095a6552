package ledger

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxConflicts is the number of attempts after which a change is left to the VM that
	// changed the balance first each time.
	maxConflicts = 8
	// conflictBackoff is the maximum delay before a retry, multiplied by the number of
	// conflicts so far. An attempt takes 10 to 40 ms.
	conflictBackoff = 20 * time.Millisecond
	// conflictsPerBackoff is the number of conflicts after which a retry is delayed. The
	// others follow at once, since the balance that a conflict reports is out of date after
	// a delay if another VM keeps changing it.
	conflictsPerBackoff = 2
	// minTimeLeft is the least time before a change's deadline at which the change is
	// still sent. A transaction takes 5 ms in the region of the store.
	minTimeLeft = 10 * time.Millisecond
)

// batchItem is one program's part of a transaction.
type batchItem struct {
	entry   *entry
	changes []*change
	// result is that of the changes, newBalance is the balance after them.
	result     applied
	newBalance Balance
	conflicts  int // attempts that failed because another VM changed the balance
}

// commitBatch commits the changes in one transaction and retries after each conflict.
func (k *Keeper) commitBatch(batch []*batchItem) {
	for len(batch) > 0 {
		batch = k.prepareBatch(batch)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), earliestDeadline(batch))
		version, err := k.commitTx(ctx, batch)
		isExpired := ctx.Err() != nil
		cancel()
		var conflict *rowstore.ConflictError
		var rejected *rowstore.RejectedError
		switch {
		case err == nil:
			for _, item := range batch {
				k.setBalance(item.entry, item.newBalance, version)
				k.reportOutcomes(item)
			}
			return
		case errors.As(err, &conflict):
			batch = k.resolveConflict(batch, conflict)
		case errors.As(err, &rejected) && len(batch) > 1:
			for _, item := range batch { // only the one that the store does not accept fails
				k.commitBatch([]*batchItem{item})
			}
			return
		default:
			for _, item := range batch {
				k.handleFailure(item, err, isExpired)
			}
			return
		}
	}
}

// prepareBatch computes the balances after the changes, and completes the items that need
// no transaction.
func (k *Keeper) prepareBatch(batch []*batchItem) []*batchItem {
	var remaining []*batchItem
	now := time.Now()
	for _, item := range batch {
		item.dropStale(now)
		k.applyTo(item, now)
		if !item.result.changed && (item.entry.isKnown || len(item.changes) == 0) {
			k.reportOutcomes(item)
			continue
		}
		remaining = append(remaining, item)
	}
	return remaining
}

// applyTo computes an item's balance after its changes.
func (k *Keeper) applyTo(item *batchItem, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	item.newBalance = item.entry.balance.Clone()
	item.result = applyChanges(&item.newBalance, item.changes, now, k.hasEnded)
}

// dropStale fails the reservations of turns that have ended, and the changes whose
// deadline is too close.
func (item *batchItem) dropStale(now time.Time) {
	settled := make(map[structs.RequestID]bool)
	for _, c := range item.changes {
		if c.isSettlement {
			settled[c.reservation.Turn] = true
		}
	}
	kept := item.changes[:0:0]
	for _, c := range item.changes {
		switch {
		case !c.deadline.IsZero() && now.Add(minTimeLeft).After(c.deadline):
			c.notify(context.DeadlineExceeded)
		case !c.isSettlement && settled[c.reservation.Turn]:
			c.notify(&WithdrawnError{Turn: c.reservation.Turn})
		default:
			kept = append(kept, c)
		}
	}
	item.changes = kept
}

func (k *Keeper) commitTx(ctx context.Context, batch []*batchItem) (uint64, error) {
	var tx rowstore.Tx
	for _, item := range batch {
		item.newBalance.Writer = k.opts.Self
		value, err := item.newBalance.encode()
		if err != nil {
			return 0, errors.Wrap(err, "encode budget")
		}
		tx.Expect = append(tx.Expect, rowstore.Expectation{Key: item.entry.key, Version: item.entry.version})
		tx.Put = append(tx.Put, rowstore.Put{Key: item.entry.key, Value: value})
		for _, c := range item.changes {
			tx.Expect = append(tx.Expect, c.rows.Expect...)
			tx.Put = append(tx.Put, c.rows.Put...)
		}
	}
	return k.opts.Store.Commit(rowstore.WithRelayRegions(ctx, batchRelayRegions(batch)), tx)
}

// resolveConflict loads the rows that differ from those expected, and returns the items
// to retry at once. Programs that another VM changes repeatedly are retried later in a
// transaction of their own, so that they don't delay other programs.
func (k *Keeper) resolveConflict(batch []*batchItem, conflict *rowstore.ConflictError) []*batchItem {
	var remaining []*batchItem
	for _, item := range batch {
		row := conflict.Find(item.entry.key)
		conflicted := row.Version != item.entry.version
		if err := k.loadRow(item, row); err != nil {
			k.handleFailure(item, err, false)
			continue
		}
		item.dropStored(conflict)
		if conflicted {
			item.conflicts++
		}
		switch {
		case item.conflicts >= maxConflicts && (item.rival(k.opts.Self) != "" || !item.isAwaited()):
			k.failContended(item)
		case conflicted && item.conflicts > 1:
			k.retryLater(item)
		default:
			remaining = append(remaining, item)
		}
	}
	return remaining
}

func (k *Keeper) loadRow(item *batchItem, row rowstore.Row) error {
	var balance Balance
	if row.Version != 0 {
		var err error
		if balance, err = decodeBalance(row.Value); err != nil {
			return errors.Wrap(err, "decode budget")
		}
	}
	k.setBalance(item.entry, balance, row.Version)
	return nil
}

// dropStored finds the changes that an earlier attempt without a response has applied: a
// turn's rows are written only by the turn's own transaction. A turn whose row holds
// other content can no longer be stored.
func (item *batchItem) dropStored(conflict *rowstore.ConflictError) {
	kept := item.changes[:0:0]
	for _, c := range item.changes {
		switch c.storedStateIn(conflict) {
		case storedSame:
			c.rows = rowstore.Tx{}
		case storedDifferent:
			c.notify(&DuplicateTurnError{Turn: c.reservation.Turn})
			continue
		}
		kept = append(kept, c)
	}
	item.changes = kept
}

type storedState int

const (
	notStored storedState = iota
	storedSame
	storedDifferent
)

func (c *change) storedStateIn(conflict *rowstore.ConflictError) storedState {
	for _, put := range c.rows.Put {
		row := conflict.Find(put.Key)
		switch {
		case row.Version == 0:
		case bytes.Equal(row.Value, put.Value):
			return storedSame
		default:
			return storedDifferent
		}
	}
	return notStored
}

// retryLater retries an item without delaying other programs.
func (k *Keeper) retryLater(item *batchItem) {
	var delay time.Duration
	if item.conflicts%conflictsPerBackoff == 0 {
		delay = rand.N(conflictBackoff * time.Duration(min(item.conflicts, maxConflicts)))
	}
	time.AfterFunc(delay, func() { k.commitBatch([]*batchItem{item}) })
}

func (k *Keeper) setBalance(e *entry, balance Balance, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.balance, e.version, e.isKnown = balance, version, true
}

// handleFailure completes the changes whose deadline has passed or, if the transaction
// failed before its own deadline, every change that somebody waits for. It requeues the
// others. It is unknown whether the store applied the transaction, so the balance is
// reloaded before it is used again.
func (k *Keeper) handleFailure(item *batchItem, err error, isExpired bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := item.entry
	e.isKnown = false
	now := time.Now()
	var retry []*change
	for _, c := range item.changes {
		switch {
		case c.done != nil && isExpired && now.Before(c.deadline):
			retry = append(retry, c)
		case c.done != nil:
			c.notify(err)
		case now.Before(c.createdAt.Add(settleTimeout)):
			k.requeueLater(e, c)
		default:
			k.opts.Log.Warn("settlement abandoned, the turn counts with its maximum", "program", e.key.Key,
				"turn", string(c.reservation.Turn), "tokens", c.tokens, "cause", err.Error())
		}
	}
	e.waiting = append(retry, e.waiting...)
	k.endTransaction(e)
}

func (k *Keeper) requeueLater(e *entry, c *change) {
	e.retrying++
	time.AfterFunc(settleDelay, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		e.retrying--
		e.waiting = append(e.waiting, c)
		k.enqueue(e)
	})
}

// endTransaction marks an entry's transaction as ended. The caller holds the lock.
func (k *Keeper) endTransaction(e *entry) {
	e.isWriting, e.inFlight = false, nil
	k.enqueue(e)
}

func (k *Keeper) reportOutcomes(item *batchItem) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := item.entry
	now := time.Now()
	for _, r := range item.result.charged {
		k.opts.Log.Warn("turn not settled, it counts with its maximum", "program", e.key.Key, "turn", string(r.Turn), "tokens", r.Tokens,
			"owner", string(r.Owner), "age_ms", now.UnixMilli()-r.CreatedAt)
	}
	for i, c := range item.changes {
		if c.isSettlement {
			k.logSettlement(e, c, item.result.outcomes[i].settled)
		}
		var reservedErr *BudgetReservedError
		if errors.As(item.result.outcomes[i].err, &reservedErr) && now.Before(c.blockUntil) {
			k.blockReservation(e, c, reservedErr)
			continue
		}
		c.notify(item.result.outcomes[i].err)
	}
	k.endTransaction(e)
}

// logSettlement logs a settlement that found no reservation of its turn.
func (k *Keeper) logSettlement(e *entry, c *change, settled settlement) {
	var message string
	switch settled {
	case settledCharge:
		message = "turn settled late, its tokens replace its maximum"
	case settledUnreserved:
		message = "turn without a reservation counted"
	case settledTooLate:
		if c.tokens == 0 {
			return
		}
		message = "settlement not counted, the turn may have been counted before"
	default:
		return
	}
	k.opts.Log.Warn(message, "program", e.key.Key, "turn", string(c.reservation.Turn), "tokens", c.tokens)
}

// DuplicateTurnError reports that the store has a turn with the same ID and other
// content.
type DuplicateTurnError struct{ Turn structs.RequestID }

// Error implements error.
func (e *DuplicateTurnError) Error() string {
	return "turn " + string(e.Turn) + " is stored with other content"
}
