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
	// ChargeTime is how long after a possible loss of grants a program's first reservation
	// is charged.
	ChargeTime = 60 * time.Second
)

// OutageTurn is a turn that ran on a grant of a store outage.
type OutageTurn struct {
	Turn structs.RequestID `msgpack:"t"`
	// WrittenAt is when it was written back, in Unix milliseconds: an outage may have been
	// longer than outageTurnTTL.
	WrittenAt int64 `msgpack:"a"`
}

// applyOutage applies the change's write-back and charge at now, in Unix milliseconds, and reports whether it changed the
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
	if c.charge > 0 && now-b.ChargedAt > ChargeTime.Milliseconds() {
		b.Spent += c.charge
		b.ChargedAt = now
		changed = true
	}
	if changed {
		b.OutageTurns = slices.DeleteFunc(b.OutageTurns, func(t OutageTurn) bool { return now-t.WrittenAt > outageTurnTTL.Milliseconds() })
	}
	return changed
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

// ClosedPrograms reads the balances of a partition and returns the programs that are closed
// after a loss of all holders.
func ClosedPrograms(ctx context.Context, store rowstore.Store, partition string) ([]string, error) {
	rows, _, err := rowstore.ScanAll(ctx, store, rowstore.Range{Table: budgetTable, Partition: partition})
	if err != nil {
		return nil, err
	}
	var closed []string
	for _, row := range rows {
		balance, err := decodeBalance(row.Value)
		if err != nil || balance.Budget == 0 || outage.IsClosedAfterLoss(balance.Spent+balance.Reserved(), balance.Budget) {
			closed = append(closed, row.Key.Key)
		}
	}
	return closed, nil
}
