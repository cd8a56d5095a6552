package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/platform/platformtest"
	"github.com/endivecourse/endivecourse/rowstore"
)

// storedBalance returns the balance of a program of client account "one" in the store.
func (b *testSite) storedBalance(program string) (balance ledger.Balance) {
	b.t.Helper()
	key := "one/" + program
	row, err := rowstore.Get(b.t.Context(), b.site.Store, rowstore.Key{Table: "budgets", Partition: partitionOf(key), Key: key})
	assert.NilError(b.t, err)
	if row.Version != 0 {
		assert.NilError(b.t, msgpack.Unmarshal(row.Value, &balance))
	}
	return balance
}

// sendBudgeted sends a turn of a program whose budget holds a number of turns of 30 tokens.
func (b *testSite) sendBudgeted(vm *platformtest.VM, program, previous string, turns int) response {
	header := map[string]string{
		platformtest.HeaderProgram: program, platformtest.HeaderBudget: fmt.Sprint(30 * turns), platformtest.HeaderUsage: "10,30",
	}
	if previous != "" {
		header[platformtest.HeaderPrevious] = previous
	}
	return b.send(request{vm: vm, path: "/chat/1", body: "x", header: header})
}

// Guards against LOST, as in review/9: after a planned stop of any VM, right after turns that
// were answered, broken off and refused, nothing of a program stays reserved, so that its
// budget can be used to the last turn at the other VMs.
func TestStoppedVMLeavesNothingReserved(t *testing.T) {
	b, stops := newThreeVMSite(t)
	engine := b.addTarget("engine-1", "engine", "near-a")
	const programs = 12
	previous := make([]string, programs)
	for stopped := range stops {
		for n := range previous {
			program := fmt.Sprint("program-", n)
			engine.Set(platformtest.Behaviour{Events: 3})
			turn := b.sendBudgeted(b.vms[(n+stopped)%len(b.vms)], program, previous[n], 10)
			assert.Equal(t, turn.status, http.StatusOK, turn.body)
			previous[n] = turn.id
			engine.Set(platformtest.Behaviour{Events: 3, ResetAfterEvents: 1})
			b.sendBudgeted(b.vms[stopped], program, previous[n], 10)
			b.sendBudgeted(b.vms[stopped], program, "no-such-turn", 10)
		}
		stops[stopped]()
		stops[stopped] = b.startWithDrain(b.vms[stopped], time.Second)
		b.waitReady(b.vms[stopped])
	}
	time.Sleep(time.Second) // settlements of VMs that run are stored within that time
	for n := range previous {
		balance := b.storedBalance(fmt.Sprint("program-", n))
		assert.Check(t, len(balance.Open) == 0 && balance.Spent == int64(len(stops)*(30+10)), "program %d: %+v", n, balance)
	}
}

// Guards against BUDGET and LOST, as in review/7: sub-agents continue from the same turn at all
// VMs at once, again and again; together they get the budget and one turn at most, and what
// they have not used can be used.
func TestParallelTurnsUseTheBudgetOnce(t *testing.T) {
	b, _ := newThreeVMSite(t)
	engine := b.addTarget("engine-1", "engine", "near-a")
	engine.Set(platformtest.Behaviour{Events: 3, Duration: 20 * time.Millisecond})
	const turns = 7
	previous, tokens := "", 0
	var mu sync.Mutex
	for round := 0; round < 20; round++ {
		var sent sync.WaitGroup
		before := tokens
		for n, vm := range b.vms {
			id := fmt.Sprintf("parallel-%d-%d", round, n)
			header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: fmt.Sprint(30 * turns), platformtest.HeaderUsage: "10,30"}
			if previous != "" {
				header[platformtest.HeaderPrevious] = previous
			}
			sent.Go(func() {
				got := b.sendAs(id, request{vm: vm, path: "/chat/1", body: "x", header: header})
				mu.Lock()
				defer mu.Unlock()
				tokens += 10 * strings.Count(got.body, "data:")
				if got.status == http.StatusOK {
					previous = got.id
				}
			})
		}
		sent.Wait()
		if tokens == before && round > 10 {
			break
		}
	}
	assert.Assert(t, tokens >= 30*turns && tokens <= 30*(turns+1), "%d tokens of a budget of %d", tokens, 30*turns)
	balance := b.storedBalance("p")
	assert.Assert(t, len(balance.Open) == 0 && balance.Spent == int64(tokens), "%+v, %d tokens", balance, tokens)
}
