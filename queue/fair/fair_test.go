package fair

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

func fitsAll(queue.Item) bool { return true }

func item(id uint64, account string, weight float64) queue.Item {
	return queue.Item{
		ID: id, Account: structs.AccountID(account), Program: structs.ProgramID(fmt.Sprint(account, id)),
		PromptTokens: 100, OutputTokens: 25, Weight: weight, ArrivedAt: structs.Instant(id),
	}
}

// Two backlogged accounts get service by their weights, however many calls
// each has.
func TestServiceFollowsWeights(t *testing.T) {
	p := New()
	id := uint64(0)
	for range 400 {
		id++
		p.Push(0, item(id, "large", 3))
	}
	for range 400 {
		id++
		p.Push(0, item(id, "small", 1))
	}
	served := map[structs.AccountID]int{}
	for range 200 {
		next, found := p.TakeNext(0, fitsAll)
		assert.Assert(t, found)
		served[next.Account]++
		p.Charge(0, next.Account, next.Program, 200)
	}
	assert.Equal(t, served["large"], 150)
	assert.Equal(t, served["small"], 50)
}

// A flood that came first delays the first call of another account by one
// call only, and idle time is not saved up.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	p := New()
	for id := range uint64(500) {
		p.Push(0, item(id, "flood", 1))
	}
	for range 100 {
		next, _ := p.TakeNext(0, fitsAll)
		p.Charge(0, next.Account, next.Program, 200)
	}
	for id := range uint64(20) {
		p.Push(0, item(1000+id, "late", 1))
	}
	late := 0
	for range 20 {
		next, _ := p.TakeNext(0, fitsAll)
		p.Charge(0, next.Account, next.Program, 200)
		if next.Account == "late" {
			late++
		}
	}
	assert.Assert(t, late >= 9 && late <= 11, "late account got %d of 20", late)
}

// A call of an account waits for at most a share of the others' calls plus the
// starvation bound of its own programs.
func TestNoAccountStarves(t *testing.T) {
	p := New()
	p.Push(0, item(1, "old", 1))
	var now structs.Instant
	for id := uint64(2); ; id += 2 {
		now = now.Add(time.Millisecond)
		p.Push(now, item(id, "busy", 1))
		p.Push(now, item(id+1, fmt.Sprint("new", id), 1))
		next, found := p.TakeNext(now, fitsAll)
		assert.Assert(t, found)
		p.Charge(now, next.Account, next.Program, 200)
		if next.ID == 1 {
			break
		}
		assert.Assert(t, id < 20)
	}
}

// No item is lost or served twice, the invariants hold, and neither the floor
// nor the settled counters ever fall.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		waiting := map[uint64]bool{}
		var flying []queue.Item
		floor, settled := 0.0, map[structs.AccountID]float64{}
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				p.Push(0, item(id, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), 2))
				waiting[id] = true
			case 2:
				next, found := p.TakeNext(0, func(i queue.Item) bool { return i.ID%5 != 0 })
				if found {
					assert.Assert(t, waiting[next.ID])
					delete(waiting, next.ID)
					flying = append(flying, next)
				}
			case 3:
				if len(flying) > 0 {
					p.Charge(0, flying[0].Account, flying[0].Program, rapid.Int64Range(0, 500).Draw(t, "tokens"))
					p.Forget(flying[0].Program)
					flying = flying[1:]
				}
			case 4:
				gone := rapid.Uint64Range(0, id).Draw(t, "remove")
				assert.Equal(t, p.Remove(gone), waiting[gone])
				delete(waiting, gone)
			}
			assert.NilError(t, p.CheckInvariants())
			assert.Equal(t, p.Len(), len(waiting))
			assert.Assert(t, p.floor >= floor)
			floor = p.floor
			for _, a := range p.accounts {
				assert.Assert(t, a.settled >= settled[a.id])
				settled[a.id] = a.settled
			}
		}
	})
}
