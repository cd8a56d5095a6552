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
	// maxWriters bounds the transactions of a partition in progress at this
	// VM. Programs that come meanwhile share the next one, so that a slow or
	// overloaded store gets larger transactions rather than more of them.
	maxWriters = 4
	// maxEntries and maxBytes bound a transaction; the store takes 100 entries
	// and 1 MB in base64.
	maxEntries = 96
	maxBytes   = 640 << 10
	// maxRounds bounds the transactions that other VMs may outrun.
	maxRounds = 8
	// contendedPause is the longest pause after the second round that another
	// VM has won; it grows with each. A round takes 10 to 40 ms.
	contendedPause = 20 * time.Millisecond
	// minLeft is the least time that a change must have left to be sent; a
	// transaction takes 5 ms near the store.
	minLeft = 10 * time.Millisecond
)

// group is the commit queue of one partition.
type group struct {
	queue   []*entry
	writers int
}

// work is one program's part of a transaction.
type work struct {
	entry   *entry
	changes []*change
	// outcomes are those of the changes, next is the book after them.
	outcomes []outcome
	next     Book
	rounds   int // lost to other VMs
}

// enqueue hands an entry with waiting changes to its group. The caller holds the
// lock.
func (k *Keeper) enqueue(e *entry) {
	if e.writing || e.queued || len(e.waiting) == 0 {
		return
	}
	if e.timer != nil {
		e.timer.Stop()
		e.timer = nil
	}
	g := k.groups[e.key.Partition]
	if g == nil {
		g = &group{}
		k.groups[e.key.Partition] = g
	}
	e.queued = true
	g.queue = append(g.queue, e)
	if g.writers < maxWriters {
		g.writers++
		go k.write(g)
	}
}

// write commits what is queued, until nothing is.
func (k *Keeper) write(g *group) {
	for {
		batch := k.take(g)
		if len(batch) == 0 {
			return
		}
		k.apply(batch)
	}
}

// take returns the changes of the next transaction.
func (k *Keeper) take(g *group) []*work {
	k.mu.Lock()
	defer k.mu.Unlock()
	var batch []*work
	room := room{entries: maxEntries, bytes: maxBytes}
	for len(g.queue) > 0 {
		e := g.queue[0]
		if len(e.waiting) == 0 { // withdrawn meanwhile
			g.queue, e.queued = g.queue[1:], false
			continue
		}
		changes := room.fit(e.waiting, len(batch) == 0)
		if len(changes) == 0 {
			break
		}
		g.queue = g.queue[1:]
		e.queued, e.writing, e.tried, e.pending = false, true, true, changes
		e.waiting = e.waiting[len(changes):]
		batch = append(batch, &work{entry: e, changes: changes})
	}
	if len(batch) == 0 {
		g.writers--
	}
	return batch
}

// room is what a transaction still takes.
type room struct{ entries, bytes int }

// fit returns the first of the changes that fit, at least one if alone.
func (r *room) fit(changes []*change, alone bool) []*change {
	const bookEntries = 2 // expected and put
	left := room{entries: r.entries - bookEntries, bytes: r.bytes}
	count := 0
	for _, c := range changes {
		next := left
		next.entries -= len(c.rows.Expect) + len(c.rows.Put)
		for _, put := range c.rows.Put {
			next.bytes -= len(put.Value)
		}
		if (next.entries < 0 || next.bytes < 0) && (count > 0 || !alone) {
			break
		}
		left = next
		count++
	}
	if count > 0 {
		*r = left
	}
	return changes[:count]
}

// apply makes the changes in one transaction, again after each conflict.
func (k *Keeper) apply(batch []*work) {
	for len(batch) > 0 {
		batch = k.plan(batch)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), deadlineOf(batch))
		version, err := k.commit(ctx, batch)
		expired := ctx.Err() != nil
		cancel()
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			for _, w := range batch {
				k.remember(w.entry, w.next, version)
				k.deliver(w)
			}
			return
		case errors.As(err, &conflict):
			batch = k.reload(batch, conflict)
		default:
			for _, w := range batch {
				k.giveUp(w, err, expired)
			}
			return
		}
	}
}

// plan computes the books after the changes, and ends the work that needs no
// transaction.
func (k *Keeper) plan(batch []*work) []*work {
	var rest []*work
	now := time.Now()
	for _, w := range batch {
		w.dropEnded(now)
		w.next = w.entry.book.Clone()
		var changed bool
		w.outcomes, changed = perform(&w.next, w.changes)
		if !changed && (w.entry.known || len(w.changes) == 0) {
			k.deliver(w)
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

// dropEnded ends the reservations of turns that have ended, and the changes that
// nobody waits for any more.
func (w *work) dropEnded(now time.Time) {
	settled := make(map[structs.RequestID]bool)
	for _, c := range w.changes {
		if c.settles {
			settled[c.reserve.Turn] = true
		}
	}
	kept := w.changes[:0:0]
	for _, c := range w.changes {
		switch {
		case !c.until.IsZero() && now.Add(minLeft).After(c.until):
			c.finish(context.DeadlineExceeded)
		case !c.settles && settled[c.reserve.Turn]:
			c.finish(&WithdrawnError{Turn: c.reserve.Turn})
		default:
			kept = append(kept, c)
		}
	}
	w.changes = kept
}

func (k *Keeper) commit(ctx context.Context, batch []*work) (uint64, error) {
	var tx rowstore.Tx
	for _, w := range batch {
		value, err := w.next.encode()
		if err != nil {
			return 0, errors.Wrap(err, "encode budget")
		}
		tx.Expect = append(tx.Expect, rowstore.Expectation{Key: w.entry.key, Version: w.entry.version})
		tx.Put = append(tx.Put, rowstore.Put{Key: w.entry.key, Value: value})
		for _, c := range w.changes {
			tx.Expect = append(tx.Expect, c.rows.Expect...)
			tx.Put = append(tx.Put, c.rows.Put...)
		}
	}
	return k.opts.Store.Commit(ctx, tx)
}

// reload takes the rows that the store has instead of those expected, and
// returns the work to be tried again at once. Programs that another VM changes
// time and again are put off, so that they hold up no others.
func (k *Keeper) reload(batch []*work, conflict *rowstore.ConflictError) []*work {
	var rest []*work
	for _, w := range batch {
		row := conflict.Find(w.entry.key)
		lost := row.Version != w.entry.version
		if err := k.reread(w, row); err != nil {
			k.giveUp(w, err, false)
			continue
		}
		w.noteStored(conflict)
		if lost {
			w.rounds++
		}
		switch {
		case w.rounds >= maxRounds:
			k.giveUp(w, &ContendedError{Program: w.entry.key.Key}, false)
		case lost && w.rounds > 1:
			k.putOff(w)
		default:
			rest = append(rest, w)
		}
	}
	return rest
}

func (k *Keeper) reread(w *work, row rowstore.Row) error {
	var book Book
	if row.Version != 0 {
		var err error
		if book, err = decodeBook(row.Value); err != nil {
			return errors.Wrap(err, "decode budget")
		}
	}
	k.remember(w.entry, book, row.Version)
	return nil
}

// noteStored finds the changes that an attempt without an answer has applied:
// the rows of a turn are written by its own transaction only. A turn whose row
// holds something else can't be stored any more.
func (w *work) noteStored(conflict *rowstore.ConflictError) {
	kept := w.changes[:0:0]
	for _, c := range w.changes {
		switch c.storedIn(conflict) {
		case storedSame:
			c.rows = rowstore.Tx{}
		case storedOther:
			c.finish(&DuplicateError{Turn: c.reserve.Turn})
			continue
		}
		kept = append(kept, c)
	}
	w.changes = kept
}

type stored int

const (
	storedNot stored = iota
	storedSame
	storedOther
)

func (c *change) storedIn(conflict *rowstore.ConflictError) stored {
	for _, put := range c.rows.Put {
		row := conflict.Find(put.Key)
		switch {
		case row.Version == 0:
		case bytes.Equal(row.Value, put.Value):
			return storedSame
		default:
			return storedOther
		}
	}
	return storedNot
}

// putOff tries the work again after a pause, without holding up others.
func (k *Keeper) putOff(w *work) {
	time.AfterFunc(rand.N(contendedPause*time.Duration(w.rounds)), func() { k.apply([]*work{w}) })
}

func (k *Keeper) remember(e *entry, book Book, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.book, e.version, e.known = book, version, true
}

// giveUp ends the changes whose time is over or, with a lasting error, all that
// somebody waits for; the others are tried again. Whether the store took them is
// unknown, so the book is read again before it is used.
func (k *Keeper) giveUp(w *work, err error, expired bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := w.entry
	e.known = false
	now := time.Now()
	var again []*change
	for _, c := range w.changes {
		switch {
		case c.done != nil && expired && now.Before(c.until):
			again = append(again, c)
		case c.done != nil:
			c.finish(err)
		case now.Before(c.started.Add(settleTimeout)):
			k.settleLater(e, c)
		default:
			k.opts.Log.Warn("settlement given up, the turn counts at its most", "program", e.key.Key,
				"turn", string(c.reserve.Turn), "tokens", c.tokens, "cause", err.Error())
		}
	}
	e.waiting = append(again, e.waiting...)
	k.leave(e)
}

func (k *Keeper) settleLater(e *entry, c *change) {
	time.AfterFunc(settleDelay, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		e.waiting = append(e.waiting, c)
		k.enqueue(e)
	})
}

// leave ends an entry's transaction. The caller holds the lock.
func (k *Keeper) leave(e *entry) {
	e.writing, e.pending = false, nil
	k.enqueue(e)
}

func (k *Keeper) deliver(w *work) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := w.entry
	now := time.Now()
	for i, c := range w.changes {
		if w.outcomes[i].granted {
			e.vouchers[turnOf(c.voucher)] = c.voucher
		}
		if c.settles {
			k.forgetName(e, c.reserve.Turn)
		}
		var busy *BusyError
		if errors.As(w.outcomes[i].err, &busy) && now.Before(c.hold) {
			k.park(e, c, busy)
			k.releaseVouchers(e, now, 0)
			continue
		}
		c.finish(w.outcomes[i].err)
	}
	k.leave(e)
}

// ContendedError says that other VMs changed a book in each round.
type ContendedError struct{ Program string }

// Error names the program.
func (e *ContendedError) Error() string {
	return "budget of program " + e.Program + " was changed by other VMs in every round"
}

// DuplicateError says that the store has a turn of the same ID with other
// content.
type DuplicateError struct{ Turn structs.RequestID }

// Error names the turn.
func (e *DuplicateError) Error() string {
	return "turn " + string(e.Turn) + " is stored with other content"
}
