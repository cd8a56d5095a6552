package ledger

import (
	"context"
	"log/slog"
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
	// bookLife is how long an unused book is kept in memory.
	bookLife = 30 * time.Second
	// maxRounds bounds the transactions that other VMs may outrun.
	maxRounds = 8
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
}

// change is a reservation, or a settlement when done is nil.
type change struct {
	reserve Reservation
	budget  int64
	settled int64
	done    chan error
}

// NewKeeper makes a keeper without books.
func NewKeeper(opts Options) *Keeper {
	return &Keeper{opts: opts, books: make(map[string]*entry)}
}

// Program names a program of a client account.
type Program struct {
	Account structs.AccountID
	ID      structs.ProgramID
}

func (p Program) key() string { return string(p.Account) + "/" + string(p.ID) }

// Outlook is how likely a reservation is to be granted.
type Outlook int

// Outlooks.
const (
	// Unknown: this process does not know the book.
	Unknown Outlook = iota
	// Ample: the book holds so much that a reservation can hardly fail.
	Ample
	// Scarce: the reservation may well fail.
	Scarce
)

// Outlook looks at the book as this process last saw it.
func (k *Keeper) Outlook(p Program, tokens, budget int64) Outlook {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.books[p.key()]
	if e == nil || !e.known {
		return Unknown
	}
	const turns = 4 // of this size must fit beside what is open
	if e.book.Spent+e.book.Reserved()+turns*tokens <= budget {
		return Ample
	}
	return Scarce
}

// Reserve starts a reservation. The channel gives nil once the store has it, or
// *SpentError, *BusyError or an error of the store.
func (k *Keeper) Reserve(p Program, r Reservation, budget int64) <-chan error {
	done := make(chan error, 1)
	k.add(p, &change{reserve: r, budget: budget, done: done}, true)
	return done
}

// Settle ends a turn's reservation with the tokens that its caller got.
func (k *Keeper) Settle(p Program, turn structs.RequestID, tokens int64) {
	k.add(p, &change{reserve: Reservation{Turn: turn}, settled: tokens}, false)
}

func (k *Keeper) add(p Program, c *change, urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.books[p.key()]
	if e == nil {
		e = &entry{key: rowstore.Key{Table: table, Partition: k.opts.Partition(p.key()), Key: p.key()}}
		k.books[p.key()] = e
	}
	e.used = time.Now()
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
		k.mu.Lock()
		changes := e.waiting
		e.waiting = nil
		if len(changes) == 0 {
			e.busy = false
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		k.apply(e, changes)
	}
}

// apply makes the changes in one transaction, again after each conflict.
func (k *Keeper) apply(e *entry, changes []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), timeoutOf(changes))
	defer cancel()
	for range maxRounds {
		book := e.book.Clone()
		results, changed := perform(&book, changes)
		if !changed && e.known {
			deliver(changes, results)
			return
		}
		err := k.commit(ctx, e, book)
		if err == nil {
			deliver(changes, results)
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
	}
	k.fail(e, changes, &ContendedError{Program: e.key.Key})
}

// ContendedError says that other VMs changed a book in each round.
type ContendedError struct{ Program string }

// Error names the program.
func (e *ContendedError) Error() string {
	return "budget of program " + e.Program + " was changed by other VMs in every round"
}

func timeoutOf(changes []*change) time.Duration {
	for _, c := range changes {
		if c.done != nil {
			return reserveTimeout
		}
	}
	return settleTimeout
}

// perform applies settlements first: they make room.
func perform(book *Book, changes []*change) (results []error, changed bool) {
	results = make([]error, len(changes))
	for _, c := range changes {
		if c.done == nil {
			book.Settle(c.reserve.Turn, c.settled)
			changed = true
		}
	}
	for i, c := range changes {
		if c.done != nil {
			results[i] = book.Reserve(c.reserve, c.budget)
			changed = changed || results[i] == nil
		}
	}
	return results, changed
}

func (k *Keeper) commit(ctx context.Context, e *entry, book Book) error {
	value, err := book.encode()
	if err != nil {
		return errors.Wrap(err, "encode budget")
	}
	version, err := k.opts.Store.Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: e.key, Version: e.version}},
		Put:    []rowstore.Put{{Key: e.key, Value: value}},
	})
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
		k.opts.Log.Warn("settlement given up, the turn counts at its most", "program", e.key.Key,
			"turn", string(c.reserve.Turn), "tokens", c.settled, "cause", err.Error())
	}
}

func deliver(changes []*change, results []error) {
	for i, c := range changes {
		if c.done != nil {
			c.done <- results[i]
		}
	}
}

// Sweep forgets books that were not used for a while.
func (k *Keeper) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, e := range k.books {
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
