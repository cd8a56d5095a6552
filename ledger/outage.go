package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/outage"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// outageTurnTTL is how long a balance remembers the turns of an outage. Holders drop
	// grants MaxGrantAge after the outage, which is less.
	outageTurnTTL = 10 * time.Minute
	// MaxGrantAge is the time after the outage from which a grant is no longer written back.
	MaxGrantAge = 5 * time.Minute
)

// Closing says whether a program may get grants without the store beside a reservation.
type Closing struct {
	// IsRequired means that some region may grant tokens to the program while it is open.
	IsRequired bool
	// IsClosed means that the holders of that region have closed the program, see package outage.
	IsClosed bool
	// Grants are those that the holders knew when they closed it.
	Grants []outage.Grant
	// Region is the region's record as of then.
	Region outage.RegionRecord
}

// OutageTurn is a turn that ran on a grant of a store outage.
type OutageTurn struct {
	Turn structs.RequestID `msgpack:"t"`
	// WrittenAt is when it was written back, in Unix milliseconds: an outage may have been
	// longer than outageTurnTTL.
	WrittenAt int64 `msgpack:"a"`
}

// applyOutage applies the change's write-back and closing at now, in Unix milliseconds, and reports whether it changed the
// balance.
func (b *Balance) applyOutage(c *change, now int64) bool {
	changed := false
	for _, g := range c.grants {
		if g.IsVoid {
			continue
		}
		if slices.ContainsFunc(b.OutageTurns, func(t OutageTurn) bool { return t.Turn == g.Turn }) {
			if g.IsSettled && (b.hasReservation(g.Turn) || b.isCharged(g.Turn)) { // another holder wrote it before it was settled
				b.Settle(Reservation{Turn: g.Turn}, g.Tokens, time.UnixMilli(now))
				changed = true
			}
			continue
		}
		changed = true
		b.OutageTurns = append(b.OutageTurns, OutageTurn{Turn: g.Turn, WrittenAt: now})
		// A turn has a reservation if that was stored as the outage began, with its response lost.
		switch isReserved := b.hasReservation(g.Turn); {
		case isReserved && g.IsSettled:
			b.Settle(Reservation{Turn: g.Turn}, g.Tokens, time.UnixMilli(now))
		case isReserved:
		case g.IsSettled:
			b.Spent += g.Tokens
		default:
			b.Open = append(b.Open, Reservation{Turn: g.Turn, Tokens: g.Tokens, CreatedAt: g.CreatedAt})
		}
	}
	if c.closing.IsClosed && !b.IsClosed {
		b.IsClosed = true
		changed = true
		b.countLostGrants(c)
	}
	if changed {
		b.OutageTurns = slices.DeleteFunc(b.OutageTurns, func(t OutageTurn) bool { return now-t.WrittenAt > outageTurnTTL.Milliseconds() })
	}
	return changed
}

// countLostGrants counts the most tokens of grants that the program may have got and that were
// lost with the holders, once for each loss.
func (b *Balance) countLostGrants(c *change) {
	region := c.closing.Region
	if b.LossAt >= region.LostAt || !region.MayHaveLostGrants(b.BornAt) {
		return
	}
	b.LossAt = region.LostAt
	lost := outage.Limit(c.reservation.Tokens, c.budget)
	b.Spent += lost
	b.Uncertain += lost
}

// reserveOpen opens the change's reservation, or returns an error of Reserve or, if the program has
// to be closed first, *OpenProgramError.
func (b *Balance) reserveOpen(c *change, now time.Time) error {
	reserved := b.Spent + b.Reserved() + c.reservation.Tokens
	trial := b.Clone()
	if err := trial.Reserve(c.reservation, c.budget, now); err != nil {
		return err
	}
	isNew := len(trial.Open) > len(b.Open)
	if c.closing.IsRequired && isNew && !b.IsClosed && outage.IsClosedAt(reserved, c.budget) {
		return &OpenProgramError{Reserved: reserved, Budget: c.budget}
	}
	if b.Budget == 0 { // the first reservation: each change of one sets the budget
		trial.BornAt = now.UnixMilli()
	}
	*b = trial
	return nil
}

// WriteBack adds grants to a program's balance. The channel receives nil once they are
// stored.
func (k *Keeper) WriteBack(p string, grants []outage.Grant) <-chan error {
	c := &change{isWriteBack: true, grants: grants, done: make(chan error, 1), deadline: time.Now().Add(reserveTimeout), createdAt: time.Now()}
	k.addChangeTo(p, c, true)
	return c.done
}

// Committed returns the tokens that are spent and reserved according to the balance in
// memory, changes that are not stored yet included, and 0 if there is none. Other VMs may
// have changed the balance.
func (k *Keeper) Committed(p string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[p]
	if e == nil {
		return 0
	}
	balance := e.balance.Clone()
	tokens := balance.Spent + balance.Reserved()
	for _, c := range slices.Concat(e.inFlight, e.waiting) {
		if !c.isSettlement {
			tokens += c.reservation.Tokens // of a reservation whose outcome may be unknown
		}
	}
	return tokens
}

// ClosedPrograms reads the balances of a partition and returns the programs that must get no
// grants: those that are closed, those whose balance leaves no room for grants, and those that got
// some in an earlier outage.
func ClosedPrograms(ctx context.Context, store rowstore.Store, partition string) ([]string, error) {
	rows, _, err := rowstore.ScanAll(ctx, store, rowstore.Range{Table: budgetTable, Partition: partition})
	if err != nil {
		return nil, err
	}
	var closed []string
	for _, row := range rows {
		balance, err := decodeBalance(row.Value)
		if err != nil || balance.mustBeClosed() {
			closed = append(closed, row.Key.Key)
		}
	}
	return closed, nil
}

func (b *Balance) mustBeClosed() bool {
	return b.IsClosed || b.Budget == 0 || len(b.OutageTurns) > 0 || outage.IsClosedAt(b.Spent+b.Reserved(), b.Budget)
}
