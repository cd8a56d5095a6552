package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/outage"
)

// Guards against grants that count twice, or not at all: two VMs write the same grants back,
// the first write is applied late, and a turn is settled in between.
func TestWriteBackCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		first, second := newTestKeeper(store), newTestKeeper(store)
		grants := []outage.Grant{{Turn: "1", Tokens: 100, CreatedAt: time.Now().UnixMilli()}, {Turn: "2", Tokens: 40, IsSettled: true, CreatedAt: time.Now().UnixMilli()}}
		store.SetFaults(rows.Faults{LoseEveryNth: 1, LostWriteDelay: 5 * time.Second})
		assert.Assert(t, <-first.WriteBack(program.Key(), grants) != nil, "the response was lost")
		store.SetFaults(rows.Faults{})
		assert.NilError(t, <-second.WriteBack(program.Key(), grants))
		second.SettleTurn(program, Reservation{Turn: "1"}, 30)
		time.Sleep(10 * time.Second)
		assert.NilError(t, <-first.WriteBack(program.Key(), grants))
		assert.Equal(t, first.Committed(program.Key()), int64(70))
	})
}

// Guards against a turn that counts twice: its reservation was stored as the outage began, with
// the response lost, and the turn then ran on a grant.
func TestReservedTurnWithGrantCountsOnce(t *testing.T) {
	grant := func(tokens int64, isSettled bool) outage.Grant {
		return outage.Grant{Turn: "1", Tokens: tokens, IsSettled: isSettled}
	}
	for name, c := range map[string]struct {
		writes          []outage.Grant
		spent, reserved int64
	}{
		"settled":               {[]outage.Grant{grant(40, true)}, 40, 0},
		"settled, repeated":     {[]outage.Grant{grant(40, true), grant(40, true)}, 40, 0},
		"not settled":           {[]outage.Grant{grant(100, false)}, 0, 100},
		"settled after a write": {[]outage.Grant{grant(100, false), grant(40, true)}, 40, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1)
			var b Balance
			assert.NilError(t, b.Reserve(Reservation{Turn: "1", Tokens: 100, CreatedAt: now.UnixMilli()}, 1000, now))
			for _, g := range c.writes {
				applyChanges(&b, []*change{{isWriteBack: true, grants: []outage.Grant{g}}}, now, nil)
			}
			assert.Equal(t, b.Spent, c.spent)
			assert.Equal(t, b.Reserved(), c.reserved)
		})
	}
}

// Guards against tokens that are not counted: a turn was refused in an outage, its grant void,
// and runs on a reservation under the same ID when holders write what they know.
func TestVoidGrantSettlesNoReservation(t *testing.T) {
	now := time.UnixMilli(1)
	var b Balance
	void := []*change{{isWriteBack: true, grants: []outage.Grant{{Turn: "1", IsSettled: true, IsVoid: true}}}}
	applyChanges(&b, void, now, nil)
	assert.NilError(t, b.Reserve(Reservation{Turn: "1", Tokens: 100, CreatedAt: now.UnixMilli()}, 1000, now))
	applyChanges(&b, void, now, nil)
	b.Settle(Reservation{Turn: "1"}, 40, now)
	assert.Equal(t, b.Spent, int64(40))
}

// Guards against a program that pays more than once for the same outage.
func TestChargeIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		for n, want := range []int64{250 + 100, 250 + 200} {
			keeper := newTestKeeper(store)
			r := newReservation(string(rune('a'+n)), 100)
			assert.NilError(t, <-keeper.ReserveCharged(t.Context(), program, r, 1000, 250))
			assert.Equal(t, keeper.Committed(program.Key()), want)
			time.Sleep(time.Second)
		}
	})
}
