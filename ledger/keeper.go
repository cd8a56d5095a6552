package ledger

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

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
	// bookLife is how long an unused book is kept in memory: as long as the
	// users' programs may come back.
	bookLife = 60 * time.Second
	// voucherLife is how long tokens stay reserved for a turn to come. Pauses
	// between turns are mostly below a second.
	voucherLife = 3 * time.Second
	// maxRows and maxBytes bound the rows of turns in one transaction, which
	// takes 100 entries and 1 MB in base64.
	maxRows  = 40
	maxBytes = 640 << 10
	// maxRounds bounds the transactions that other VMs may outrun.
	maxRounds = 8
	// contendedPause is the longest pause after the second round that another
	// VM has won; it grows with each. A round takes 10 to 40 ms.
	contendedPause = 20 * time.Millisecond
)

// Options configures a Keeper.
type Options struct {
	Store rowstore.Store
	// Partition maps a program to the store's partition of its row.
	Partition func(program string) string
	Log       *slog.Logger
}

// Keeper reserves and settles tokens. Changes of one program that come together
// share a transaction.
type Keeper struct {
	opts Options

	mu    sync.Mutex
	books map[string]*entry
}

// entry is one program's book as last read or written.
type entry struct {
	key     rowstore.Key
	book    Book
	version uint64
	known   bool // the row was read or written by this process
	waiting []*change
	busy    bool
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
	return &Keeper{opts: opts, books: make(map[string]*entry)}
}

// Program names a program of a client account.
type Program struct {
	Account structs.AccountID `msgpack:"a"`
	ID      structs.ProgramID `msgpack:"i"`
}

// Key names the program among those of all accounts.
func (p Program) Key() string { return string(p.Account) + "/" + string(p.ID) }

// Reserve starts a reservation for a turn that continues another, if previous is
// not empty. The channel gives nil once the store has it, or *SpentError,
// *BusyError or an error of the store.
func (k *Keeper) Reserve(p Program, r Reservation, budget int64, previous structs.RequestID) <-chan error {
	done := make(chan error, 1)
	if k.useVoucher(p, r, previous) {
		done <- nil
		return done
	}
	k.add(p, &change{reserve: r, budget: budget, done: done, until: time.Now().Add(reserveTimeout)}, true)
	return done
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
	e := k.books[p.Key()]
	if e == nil {
		e = &entry{
			key:      rowstore.Key{Table: table, Partition: k.opts.Partition(p.Key()), Key: p.Key()},
			vouchers: make(map[structs.RequestID]Reservation),
			names:    make(map[structs.RequestID]structs.RequestID),
		}
		k.books[p.Key()] = e
	}
	e.used = time.Now()
	if name, renamed := e.names[c.reserve.Turn]; c.settles && renamed {
		c.reserve.Turn = name
	}
	e.waiting = append(e.waiting, c)
	if e.busy {
		return
	}
	if urgent {
		k.start(e)
		return
	}
	if e.timer == nil {
		e.timer = time.AfterFunc(settleDelay, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if !e.busy && len(e.waiting) > 0 {
				k.start(e)
			}
		})
	}
}

// start writes what waits. The caller holds the lock.
func (k *Keeper) start(e *entry) {
	e.busy = true
	if e.timer != nil {
		e.timer.Stop()
		e.timer = nil
	}
	go k.write(e)
}

func (k *Keeper) write(e *entry) {
	for {
		changes := k.take(e)
		if len(changes) == 0 {
			return
		}
		k.apply(e, changes)
	}
}

// take returns the changes of the next transaction.
func (k *Keeper) take(e *entry) []*change {
	k.mu.Lock()
	defer k.mu.Unlock()
	rows, size, count := 0, 0, 0
	for _, c := range e.waiting {
		rows += len(c.rows.Put)
		for _, put := range c.rows.Put {
			size += len(put.Value)
		}
		if count > 0 && (rows > maxRows || size > maxBytes) {
			break
		}
		count++
	}
	changes := e.waiting[:count]
	e.waiting = e.waiting[count:]
	e.busy = count > 0
	return changes
}

// apply makes the changes in one transaction, again after each conflict.
func (k *Keeper) apply(e *entry, changes []*change) {
	ctx, cancel := context.WithDeadline(context.Background(), deadlineOf(changes))
	defer cancel()
	for round := range maxRounds {
		book := e.book.Clone()
		results, changed := perform(&book, changes)
		if !changed && e.known {
			k.deliver(e, changes, results)
			return
		}
		err := k.commit(ctx, e, book, changes)
		if err == nil {
			k.deliver(e, changes, results)
			return
		}
		var conflict *rowstore.ConflictError
		if !errors.As(err, &conflict) {
			k.fail(e, changes, err)
			return
		}
		if err := k.reload(e, conflict); err != nil {
			k.fail(e, changes, err)
			return
		}
		if isApplied(changes, conflict) {
			k.deliver(e, changes, results)
			return
		}
		if round > 0 {
			time.Sleep(rand.N(contendedPause * time.Duration(round)))
		}
	}
	k.fail(e, changes, &ContendedError{Program: e.key.Key})
}

// ContendedError says that other VMs changed a book in each round.
type ContendedError struct{ Program string }

// Error names the program.
func (e *ContendedError) Error() string {
	return "budget of program " + e.Program + " was changed by other VMs in every round"
}

func (k *Keeper) commit(ctx context.Context, e *entry, book Book, changes []*change) error {
	value, err := book.encode()
	if err != nil {
		return errors.Wrap(err, "encode budget")
	}
	tx := rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: e.key, Version: e.version}},
		Put:    []rowstore.Put{{Key: e.key, Value: value}},
	}
	for _, c := range changes {
		tx.Expect = append(tx.Expect, c.rows.Expect...)
		tx.Put = append(tx.Put, c.rows.Put...)
	}
	version, err := k.opts.Store.Commit(ctx, tx)
	if err != nil {
		return err
	}
	k.remember(e, book, version)
	return nil
}

func (k *Keeper) reload(e *entry, conflict *rowstore.ConflictError) error {
	row := conflict.Find(e.key)
	var book Book
	if row.Version != 0 {
		var err error
		if book, err = decodeBook(row.Value); err != nil {
			return errors.Wrap(err, "decode budget")
		}
	}
	k.remember(e, book, row.Version)
	return nil
}

func (k *Keeper) remember(e *entry, book Book, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.book, e.version, e.known = book, version, true
}

// fail gives up the changes. Whether the store took them is unknown, so the
// book is read again before it is used.
func (k *Keeper) fail(e *entry, changes []*change, err error) {
	k.mu.Lock()
	e.known = false
	k.mu.Unlock()
	for _, c := range changes {
		if c.done != nil {
			c.done <- err
			continue
		}
		if deadlineOf(changes).Before(c.started.Add(settleTimeout)) {
			k.retry(e, c)
			continue
		}
		k.opts.Log.Warn("settlement given up, the turn counts at its most", "program", e.key.Key,
			"turn", string(c.reserve.Turn), "tokens", c.tokens, "cause", err.Error())
	}
}

// retry puts a settlement back that shared a transaction with a change of an
// earlier end.
func (k *Keeper) retry(e *entry, c *change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e.waiting = append(e.waiting, c)
}

func (k *Keeper) deliver(e *entry, changes []*change, results []error) {
	k.mu.Lock()
	for _, c := range changes {
		if c.granted {
			e.vouchers[turnOf(c.voucher)] = c.voucher
		}
		if c.settles {
			k.forgetName(e, c.reserve.Turn)
		}
	}
	k.mu.Unlock()
	for i, c := range changes {
		if c.done != nil {
			c.done <- results[i]
		}
	}
}

func (k *Keeper) forgetName(e *entry, name structs.RequestID) {
	for turn, used := range e.names {
		if used == name {
			delete(e.names, turn)
		}
	}
}

// releaseVouchers settles the vouchers that no turn has used for a while.
func (k *Keeper) releaseVouchers(e *entry, now time.Time) {
	for turn, voucher := range e.vouchers {
		if now.UnixMilli()-voucher.At < voucherLife.Milliseconds() {
			continue
		}
		delete(e.vouchers, turn)
		e.waiting = append(e.waiting, &change{reserve: voucher, settles: true, started: now})
		if !e.busy {
			k.start(e)
		}
	}
}

// Sweep forgets books that were not used for a while.
func (k *Keeper) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, e := range k.books {
		k.releaseVouchers(e, now)
		if !e.busy && len(e.waiting) == 0 && now.Sub(e.used) > bookLife {
			delete(k.books, key)
		}
	}
}

// Books returns the number of books in memory.
func (k *Keeper) Books() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.books)
}
