package ledger

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	budgetTable = "budgets"
	// settleDelay is how long a settlement waits to share a transaction with the
	// program's next turn. It is below 1 s, the time after its end within which a turn
	// must no longer count at its reserved maximum.
	settleDelay = 700 * time.Millisecond
	// settleTimeout is how long a settlement is retried, while balances remember the turn.
	// After that the turn counts with its maximum.
	settleTimeout = 45 * time.Second
	// reserveTimeout limits the time for a reservation's transaction.
	reserveTimeout = 3 * time.Second
	// maxBlockedTime is how long a reservation waits for turns in progress that may use
	// up the budget. Most turns end sooner.
	maxBlockedTime = 500 * time.Millisecond
	// balanceTTL is how long an unused balance stays in memory. A program may resume
	// within this time.
	balanceTTL = 60 * time.Second
	// endedProcessTTL is how long a process that has ended is remembered: its reservations
	// are charged by then.
	endedProcessTTL = 2 * reservationTTL
)

// Options configures a Keeper.
type Options struct {
	// Self is this VM.
	Self  structs.VMID
	Store rowstore.Store
	// Partition returns the store partition that holds the row of a program.
	Partition func(program string) string
	// FirstStart means that the whole deployment starts for the first time, so programs
	// without a balance are new.
	FirstStart bool
	Log        *slog.Logger
}

// Keeper reserves and settles tokens. Concurrent changes of programs in one partition
// share a transaction.
type Keeper struct {
	opts    Options
	started time.Time

	mu      sync.Mutex
	entries map[string]*entry
	queues  map[string]*commitQueue           // by partition
	ended   map[structs.Incarnation]time.Time // processes that have ended, and when this was known
}

// entry caches one program's balance as last read or written, and queues its changes.
type entry struct {
	key     rowstore.Key
	balance Balance
	version uint64
	isKnown bool // the row was read or written by this process and no failed transaction may have changed it since
	// waiting are the changes to be sent in the next transaction. blocked are
	// reservations that wait until a settlement frees tokens.
	waiting     []*change
	blocked     []*change
	isQueued    bool      // in the commit queue of its partition
	isWriting   bool      // in a transaction
	inFlight    []*change // changes in the current transaction
	settleTimer *time.Timer
	lastUsed    time.Time
	retrying    int // settlements that wait for their next attempt
}

// NewKeeper returns a Keeper without cached balances.
func NewKeeper(opts Options) *Keeper {
	return &Keeper{opts: opts, started: time.Now(), entries: make(map[string]*entry), queues: make(map[string]*commitQueue), ended: make(map[structs.Incarnation]time.Time)}
}

// Program identifies a program of a client account.
type Program struct {
	Account structs.AccountID `msgpack:"a"`
	ID      structs.ProgramID `msgpack:"i"`
}

// Key returns an ID that is unique among the programs of all accounts, and is the key of
// the program's row.
func (p Program) Key() string { return rowstore.FitKey(string(p.Account) + "/" + string(p.ID)) }

// Reserve requests a reservation for a turn. The request expires at the deadline of ctx.
// The channel receives nil once the reservation is stored, or an error of Balance.Reserve or of the
// store.
func (k *Keeper) Reserve(ctx context.Context, p Program, r Reservation, budget int64) <-chan error {
	return k.ReserveOpen(ctx, p, r, budget, Closing{})
}

// ReserveOpen is Reserve for a program to which grants may be made without the store. The channel
// receives *OpenProgramError if the program has to be closed first.
func (k *Keeper) ReserveOpen(ctx context.Context, p Program, r Reservation, budget int64, closing Closing) <-chan error {
	done := make(chan error, 1)
	now := time.Now()
	c := &change{
		reservation: r, budget: budget, closing: closing, grants: closing.Grants,
		done: done, deadline: now.Add(reserveTimeout), blockUntil: now.Add(maxBlockedTime),
	}
	if ctxDeadline, hasDeadline := ctx.Deadline(); hasDeadline && ctxDeadline.Before(c.deadline) {
		c.deadline = ctxDeadline
	}
	k.addChange(p, c, true)
	return done
}

// Forecast reports whether a reservation is likely to be granted, using only what is in
// memory. If it is, a turn may run while its reservation is being stored, which matters
// for short programs on VMs in another region than the store.
//
// On a recently started VM, a program without a balance is not assumed to be new: it may
// have been interrupted when another VM stopped.
func (k *Keeper) Forecast(p Program, r Reservation, budget int64) bool {
	return k.ForecastOpen(p, r, budget, Closing{})
}

// ForecastOpen is Forecast for ReserveOpen. It is false if the program has to be closed first, since
// it is not known what was granted to it.
func (k *Keeper) ForecastOpen(p Program, r Reservation, budget int64, closing Closing) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[p.Key()]
	if e == nil || !e.isKnown {
		if !k.opts.FirstStart && time.Since(k.started) < balanceTTL {
			return false
		}
	}
	var balance Balance
	if e != nil {
		balance = e.balance.Clone()
		applyChanges(&balance, e.inFlight, time.Now(), k.hasEnded)
		applyChanges(&balance, e.waiting, time.Now(), k.hasEnded)
	}
	return balance.reserveOpen(&change{reservation: r, budget: budget, closing: closing}, time.Now()) == nil
}

// EndProcess records that a process has ended: the reservations of the turns that it served are
// charged, so that their programs are not refused as busy until reservationTTL.
func (k *Keeper) EndProcess(process structs.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended[process] = time.Now()
}

// ProcessRuns records that a process has been heard, so that it has not ended.
func (k *Keeper) ProcessRuns(process structs.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.ended, process)
}

// hasEnded reports whether a process is known to have ended. The caller holds the lock.
func (k *Keeper) hasEnded(process structs.Incarnation) bool {
	_, isKnown := k.ended[process]
	return isKnown
}

// SettleTurn replaces a turn's reservation with the tokens that its caller got.
func (k *Keeper) SettleTurn(p Program, r Reservation, tokens int64) {
	k.addChange(p, &change{reservation: r, isSettlement: true, tokens: tokens, createdAt: time.Now()}, false)
}

// SettleStored is SettleTurn for a caller that repeats a settlement which was not stored. The
// channel receives nil once it is stored, or an error of the store.
func (k *Keeper) SettleStored(p Program, r Reservation, tokens int64) <-chan error {
	c := &change{reservation: r, isSettlement: true, tokens: tokens, createdAt: time.Now(), done: make(chan error, 1)}
	k.addChange(p, c, false)
	return c.done
}

// TurnEnd describes a turn that was answered completely.
type TurnEnd struct {
	Reservation    Reservation
	Budget, Tokens int64
	// Rows are stored in the same transaction.
	Rows rowstore.Tx
}

// FinishTurn stores the rows of a turn and settles it in one transaction. The
// request expires at the deadline of ctx: a turn must not be stored after its caller has
// seen it fail. The channel receives nil once the transaction is stored.
func (k *Keeper) FinishTurn(ctx context.Context, p Program, end TurnEnd) <-chan error {
	now := time.Now()
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		deadline = now.Add(settleTimeout)
	}
	c := &change{
		reservation: end.Reservation, budget: end.Budget, isSettlement: true, tokens: end.Tokens, rows: end.Rows,
		relayRegions: rowstore.RelayRegions(ctx), done: make(chan error, 1), deadline: deadline, createdAt: now,
	}
	k.addChange(p, c, true)
	return c.done
}

func (k *Keeper) addChange(p Program, c *change, isUrgent bool) { k.addChangeTo(p.Key(), c, isUrgent) }

func (k *Keeper) addChangeTo(program string, c *change, isUrgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entry(program)
	e.lastUsed = time.Now()
	if c.isSettlement {
		e.withdrawReservations(c.reservation.Turn)
		isUrgent = e.retryBlocked() || isUrgent
	}
	e.waiting = append(e.waiting, c)
	if isUrgent {
		k.enqueue(e)
		return
	}
	if e.settleTimer == nil {
		e.settleTimer = time.AfterFunc(settleDelay, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.enqueue(e)
		})
	}
}

func (k *Keeper) entry(key string) *entry {
	e := k.entries[key]
	if e == nil {
		e = &entry{key: rowstore.Key{Table: budgetTable, Partition: k.opts.Partition(key), Key: key}}
		k.entries[key] = e
	}
	return e
}

// withdrawReservations drops the unsent reservations of a turn that has ended. Its settlement
// is stored nevertheless: another call to reserve for the turn may be under way.
func (e *entry) withdrawReservations(turn structs.RequestID) {
	for _, list := range []*[]*change{&e.waiting, &e.blocked} {
		kept := (*list)[:0:0]
		for _, c := range *list {
			if c.isSettlement || c.reservation.Turn != turn {
				kept = append(kept, c)
				continue
			}
			c.notify(&WithdrawnError{Turn: turn})
		}
		*list = kept
	}
}

// WithdrawnError reports that a turn ended before its tokens were reserved.
type WithdrawnError struct{ Turn structs.RequestID }

// Error implements error.
func (e *WithdrawnError) Error() string {
	return "turn " + string(e.Turn) + " ended before its tokens were reserved"
}

// blockReservation holds a reservation back until a settlement frees tokens, and fails it
// with reservedErr at c.blockUntil.
func (k *Keeper) blockReservation(e *entry, c *change, reservedErr *BudgetReservedError) {
	e.blocked = append(e.blocked, c)
	time.AfterFunc(time.Until(c.blockUntil), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for i, blocked := range e.blocked {
			if blocked == c {
				e.blocked = append(e.blocked[:i:i], e.blocked[i+1:]...)
				c.notify(reservedErr)
				return
			}
		}
	})
}

// retryBlocked queues the blocked reservations again and reports whether there were any.
func (e *entry) retryBlocked() bool {
	hasBlocked := len(e.blocked) > 0
	e.waiting = append(e.waiting, e.blocked...)
	e.blocked = nil
	return hasBlocked
}

// Sweep drops balances from memory that were not used recently.
func (k *Keeper) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, e := range k.entries {
		if e.isIdle() && now.Sub(e.lastUsed) > balanceTTL {
			delete(k.entries, key)
		}
	}
	maps.DeleteFunc(k.ended, func(_ structs.Incarnation, at time.Time) bool { return now.Sub(at) > endedProcessTTL })
}

// flushPollPeriod is how often Flush looks whether all is stored.
const flushPollPeriod = 5 * time.Millisecond

// Flush stores the settlements that wait to share a transaction, before the process ends. It
// returns when nothing waits any more, or ctx has ended.
func (k *Keeper) Flush(ctx context.Context) {
	for {
		busy := k.enqueueAll()
		if busy == 0 {
			return
		}
		select {
		case <-time.After(flushPollPeriod):
		case <-ctx.Done():
			k.opts.Log.Warn("settlements not stored before the stop, these turns count with their maximum", "programs", busy)
			return
		}
	}
}

// enqueueAll queues all changes and returns the number of programs that have some.
func (k *Keeper) enqueueAll() (busy int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.entries {
		k.enqueue(e)
		if !e.isIdle() {
			busy++
		}
	}
	return busy
}

func (e *entry) isIdle() bool {
	return !e.isWriting && len(e.waiting) == 0 && len(e.blocked) == 0 && e.retrying == 0
}

// CachedBalances returns the number of balances in memory.
func (k *Keeper) CachedBalances() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.entries)
}
