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

// Accounts with many waiting calls receive service in proportion to their
// weights, however many calls each of them has.
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

// A burst of calls of one account must not delay another account that starts
// later: from then on both share the service equally. The late account gets no
// credit for the time before.
func TestBurstDoesNotDelayOtherAccounts(t *testing.T) {
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
	assert.Assert(t, late >= 9 && late <= 11, "late account was served %d of 20 times", late)
}

// An account with one call could wait forever while another account and a growing
// number of new accounts send calls. Its call must be served after a bounded number
// of others.
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

// No item is lost or served twice, the invariants hold, and neither the virtual
// time nor the charged part of a counter ever decreases.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		waiting := map[uint64]bool{}
		var inFlight []queue.Item
		virtualTime, charged := 0.0, map[structs.AccountID]float64{}
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
					inFlight = append(inFlight, next)
				}
			case 3:
				if len(inFlight) > 0 {
					p.Charge(0, inFlight[0].Account, inFlight[0].Program, rapid.Int64Range(0, 500).Draw(t, "tokens"))
					p.Forget(inFlight[0].Program)
					inFlight = inFlight[1:]
				}
			case 4:
				removed := rapid.Uint64Range(0, id).Draw(t, "remove")
				assert.Equal(t, p.Remove(removed), waiting[removed])
				delete(waiting, removed)
			}
			assert.NilError(t, p.CheckInvariants())
			assert.Equal(t, p.Len(), len(waiting))
			assert.Assert(t, p.virtualTime >= virtualTime)
			virtualTime = p.virtualTime
			for _, a := range p.accounts {
				assert.Assert(t, a.charged >= charged[a.id])
				charged[a.id] = a.charged
			}
		}
	})
}
