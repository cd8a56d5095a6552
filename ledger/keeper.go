package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	table = "budgets"
	// settleDelay is how long a settlement waits for the program's next turn
	// to share its transaction. It is below the 1 s after which a turn that
	// has ended must no longer count at its most.
	settleDelay = 700 * time.Millisecond
	// settleTimeout is when a settlement is given up; the tokens then count
	// at the reservation's most.
	settleTimeout = 20 * time.Second
	// reserveTimeout bounds a reservation's transaction.
	reserveTimeout = 3 * time.Second
	// busyHold is how long a reservation waits for the turns in progress that
	// may use up the budget; most turns end sooner.
	busyHold = 500 * time.Millisecond
	// bookLife is how long an unused book is kept in memory: as long as the
	// users' programs may come back.
	bookLife = 60 * time.Second
	// voucherLife is how long tokens stay reserved for a turn to come. Pauses
	// between turns are mostly below a second.
	voucherLife = 3 * time.Second
)

// Options configures a Keeper.
type Options struct {
	Store rowstore.Store
	// Partition maps a program to the store's partition of its row.
	Partition func(program string) string
	// FirstStart says that the whole deployment starts for the first time, so
	// that programs without a book are new.
	FirstStart bool
	Log        *slog.Logger
}

// Keeper reserves and settles tokens. Changes of programs of one partition that
// come together share a transaction.
type Keeper struct {
	opts    Options
	started time.Time

	mu     sync.Mutex
	books  map[string]*entry
	groups map[string]*group // by partition
}

// entry is one program's book as last read or written.
type entry struct {
	key     rowstore.Key
	book    Book
	version uint64
	known   bool // the row was read or written by this process
	tried   bool // a transaction was sent
	// waiting are the changes of the next transaction; parked are reservations
	// that wait for a settlement to make room.
	waiting []*change
	parked  []*change
	queued  bool      // in its group's queue
	writing bool      // in a transaction
	pending []*change // of that transaction
	timer   *time.Timer
	used    time.Time
	// vouchers are the reservations for the turns to come, by the turn that
	// they continue. A voucher is used by this process only.
	vouchers map[structs.RequestID]Reservation
	// names maps turns that use a voucher to its name in the book.
	names map[structs.RequestID]structs.RequestID
}

// NewKeeper makes a keeper without books.
func NewKeeper(opts Options) *Keeper {
	return &Keeper{opts: opts, started: time.Now(), books: make(map[string]*entry), groups: make(map[string]*group)}
}

// Program names a program of a client account.
type Program struct {
	Account structs.AccountID `msgpack:"a"`
	ID      structs.ProgramID `msgpack:"i"`
}

// Key names the program among those of all accounts.
func (p Program) Key() string { return string(p.Account) + "/" + string(p.ID) }

// Reserve starts a reservation for a turn that continues another, if previous is
// not empty. It is given up at the deadline of ctx. The channel gives nil once
// the store has it, or *SpentError, *BusyError or an error of the store.
func (k *Keeper) Reserve(ctx context.Context, p Program, r Reservation, budget int64, previous structs.RequestID) <-chan error {
	done := make(chan error, 1)
	if k.useVoucher(p, r, previous) {
		done <- nil
		return done
	}
	now := time.Now()
	c := &change{reserve: r, budget: budget, done: done, until: now.Add(reserveTimeout), hold: now.Add(busyHold)}
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(c.until) {
		c.until = deadline
	}
	k.add(p, c, true)
	return done
}

// Outlook reports whether a reservation will be granted, as far as this VM knows.
// It answers the load of short programs far from the store, whose turns may run
// while they are reserved. Programs that were stopped may come back to a VM that
// was started since; there, a program without a book is not taken for new.
func (k *Keeper) Outlook(p Program, r Reservation, budget int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.books[p.Key()]
	if e == nil || !e.known {
		if !k.opts.FirstStart && time.Since(k.started) < bookLife {
			return false
		}
	}
	var book Book
	if e != nil {
		book = e.book.Clone()
		perform(&book, e.pending)
		perform(&book, e.waiting)
	}
	return book.Reserve(r, budget) == nil
}

// useVoucher takes the reservation that was made as the previous turn ended.
func (k *Keeper) useVoucher(p Program, r Reservation, previous structs.RequestID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.books[p.Key()]
	if e == nil {
		return false
	}
	voucher, granted := e.vouchers[previous]
	if !granted || voucher.Tokens < r.Tokens {
		return false
	}
	delete(e.vouchers, previous)
	e.names[r.Turn] = voucher.Turn
	return true
}

// Settle ends a turn's reservation with the tokens that its caller got.
func (k *Keeper) Settle(p Program, turn structs.RequestID, tokens int64) {
	k.add(p, &change{reserve: Reservation{Turn: turn}, settles: true, tokens: tokens, started: time.Now()}, false)
}

// Finish stores the rows of a turn that has ended whole, settles it and, if the
// budget has room, reserves as many tokens for the turn that continues it, all
// in one transaction. It is given up at the deadline of ctx: a turn whose caller
// saw no end must not appear later. The channel gives nil once the store has it.
func (k *Keeper) Finish(ctx context.Context, p Program, r Reservation, budget, tokens int64, rows rowstore.Tx) <-chan error {
	done := make(chan error, 1)
	until, bounded := ctx.Deadline()
	if !bounded {
		until = time.Now().Add(settleTimeout)
	}
	voucher := Reservation{Turn: "after/" + r.Turn, Tokens: r.Tokens, At: time.Now().UnixMilli()}
	k.add(p, &change{reserve: r, budget: budget, settles: true, tokens: tokens, rows: rows, voucher: voucher, done: done, until: until}, true)
	return done
}

func (k *Keeper) add(p Program, c *change, urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entry(p.Key())
	e.used = time.Now()
	if name, renamed := e.names[c.reserve.Turn]; c.settles && renamed {
		c.reserve.Turn = name
	}
	if c.settles && e.withdraw(c.reserve.Turn) {
		return
	}
	e.waiting = append(e.waiting, c)
	if c.settles {
		urgent = e.unpark() || urgent
	}
	if urgent {
		k.enqueue(e)
		return
	}
	if e.timer == nil {
		e.timer = time.AfterFunc(settleDelay, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.enqueue(e)
		})
	}
}

func (k *Keeper) entry(key string) *entry {
	e := k.books[key]
	if e == nil {
		e = &entry{
			key:      rowstore.Key{Table: table, Partition: k.opts.Partition(key), Key: key},
			vouchers: make(map[structs.RequestID]Reservation),
			names:    make(map[structs.RequestID]structs.RequestID),
		}
		k.books[key] = e
	}
	return e
}

// withdraw drops the reservations of a turn that has ended, and reports whether
// the store can't have got any of them.
func (e *entry) withdraw(turn structs.RequestID) bool {
	found := false
	for _, list := range []*[]*change{&e.waiting, &e.parked} {
		kept := (*list)[:0:0]
		for _, c := range *list {
			if c.settles || c.reserve.Turn != turn {
				kept = append(kept, c)
				continue
			}
			found = true
			c.finish(&WithdrawnError{Turn: turn})
		}
		*list = kept
	}
	return found && !e.mayHold(turn)
}

// mayHold reports whether the stored book may have a reservation of the turn.
func (e *entry) mayHold(turn structs.RequestID) bool {
	for _, c := range e.pending {
		if !c.settles && c.reserve.Turn == turn {
			return true
		}
	}
	if e.known {
		return e.book.holds(turn)
	}
	return e.tried
}

// WithdrawnError says that a turn ended before its tokens were reserved.
type WithdrawnError struct{ Turn structs.RequestID }

// Error names the turn.
func (e *WithdrawnError) Error() string {
	return "turn " + string(e.Turn) + " ended before its tokens were reserved"
}

// park holds a busy reservation back until a settlement makes room or its hold
// ends.
func (k *Keeper) park(e *entry, c *change, busy *BusyError) {
	e.parked = append(e.parked, c)
	time.AfterFunc(time.Until(c.hold), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for i, parked := range e.parked {
			if parked == c {
				e.parked = append(e.parked[:i:i], e.parked[i+1:]...)
				c.finish(busy)
				return
			}
		}
	})
}

func (k *Keeper) forgetName(e *entry, name structs.RequestID) {
	for turn, used := range e.names {
		if used == name {
			delete(e.names, turn)
		}
	}
}

// unpark lets the parked reservations try again, and reports whether there were
// any.
func (e *entry) unpark() bool {
	parked := len(e.parked) > 0
	e.waiting = append(e.waiting, e.parked...)
	e.parked = nil
	return parked
}

// releaseVouchers settles the vouchers that no turn has used for some time.
func (k *Keeper) releaseVouchers(e *entry, now time.Time, unused time.Duration) {
	for turn, voucher := range e.vouchers {
		if now.UnixMilli()-voucher.At < unused.Milliseconds() {
			continue
		}
		delete(e.vouchers, turn)
		e.waiting = append(e.waiting, &change{reserve: voucher, settles: true, started: now})
		e.unpark()
		k.enqueue(e)
	}
}

// Sweep forgets books that were not used for a while.
func (k *Keeper) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, e := range k.books {
		k.releaseVouchers(e, now, voucherLife)
		if e.isIdle() && now.Sub(e.used) > bookLife {
			delete(k.books, key)
		}
	}
}

func (e *entry) isIdle() bool {
	return !e.writing && len(e.waiting) == 0 && len(e.parked) == 0
}

// Books returns the number of books in memory.
func (k *Keeper) Books() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.books)
}
