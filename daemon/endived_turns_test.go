package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/platform/platformtest"
	"github.com/endivecourse/endivecourse/turnlog"
)

// A conversation can be continued at any VM, and also after all VMs were stopped.
func TestConversationSurvivesRestartOfAllVMs(t *testing.T) {
	b := newTestSite(t)
	vms := []*platformtest.VM{b.site.AddVM("near-a"), b.site.AddVM("far-a")}
	b.vms = vms
	stops := []func(){b.start(vms[0]), b.start(vms[1])}
	b.waitReady(vms[0])
	b.waitReady(vms[1])
	engine := b.addTarget("engine-1", "engine", "near-a")
	first := b.sendTurn(vms[0], "", "first ")
	assert.Equal(t, first.status, 200, first.body)
	second := b.sendTurn(vms[1], first.id, "second ")
	assert.Equal(t, second.status, 200, second.body)
	for _, stop := range stops {
		stop()
	}
	b.start(vms[0])
	b.waitReady(vms[0])
	b.waitUntil("turn served after the restart", func() bool { return b.sendTurn(vms[0], second.id, "third ").status == 200 })
	runs := engine.Runs()
	want := "first " + eventText(first.id, 3) + "second " + eventText(second.id, 3) + "third "
	assert.Equal(t, runs[len(runs)-1].Body, want)
	assert.Equal(t, b.sendTurn(vms[0], "nothing", "x").status, 404)
	otherAccount := b.send(request{vm: vms[0], path: "/chat/1", key: "key-two", header: map[string]string{platformtest.HeaderPrevious: first.id}})
	assert.Equal(t, otherAccount.status, 404)
}

func eventText(id string, count int) string {
	text := ""
	for n := 1; n <= count; n++ {
		text += platformtest.EventData(id, n) + "\n"
	}
	return text
}

// A caller must not see the end of a turn's response before the turn is stored. If the
// store fails in the middle of the stream, the response ends incomplete.
func TestTurnIsStoredBeforeStreamEnds(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	engine.Set(platformtest.Behaviour{Events: 3, Duration: 100 * time.Millisecond})
	done := make(chan response, 1)
	go func() { done <- b.sendTurn(b.vms[0], "", "first ") }()
	b.waitUntil("running", func() bool { return engine.Running() == 1 })
	time.Sleep(50 * time.Millisecond) // time for the reservation to be stored
	b.vms[0].StoreServer.Set(platformtest.StoreUnavailable)
	got := <-done
	assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
	b.vms[0].StoreServer.Set(platformtest.StoreNormal)
	b.waitUntil("404", func() bool { return b.sendTurn(b.vms[0], got.id, "second ").status == 404 })
}

// A program's budget holds across VMs: turns are served at either VM until it is spent,
// and only then refused.
func TestBudgetHoldsAcrossVMs(t *testing.T) {
	b := newTestSite(t, "near-a", "near-b")
	b.addTarget("engine-1", "engine", "near-a") // 3 events of 10 tokens a turn
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "60", platformtest.HeaderUsage: "100,30"}
	var statuses []int
	for i := range 3 {
		statuses = append(statuses, b.send(request{vm: b.vms[i%2], path: "/chat/1", body: "x", header: header}).status)
		time.Sleep(900 * time.Millisecond) // time for the turn to be settled
	}
	assert.DeepEqual(t, statuses, []int{200, 200, 402})
}

// A turn that generates fewer tokens than one event may hold is charged a whole event.
func TestShortTurnsCountWholeEvents(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	engine.Set(platformtest.Behaviour{Events: 1}) // 10 tokens
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "40", platformtest.HeaderUsage: "100,3"}
	served := 0
	for range 12 {
		if b.send(request{path: "/chat/1", body: "x", header: header}).status == 200 {
			served++
		}
	}
	// A budget of 40 covers 4 turns. One more may be served, and one fewer if the tokens
	// of a turn are reserved for a continuation that never comes.
	assert.Assert(t, served >= 3 && served <= 5, "%d turns of 10 tokens on a budget of 40", served)
}

// A turn starts while its reservation is still being stored if the budget has room for it.
// The first turn of a program at a VM that has just restarted waits for the reservation.
func TestTurnStartsBeforeReservationIsStored(t *testing.T) {
	const storeDelay = 250 * time.Millisecond
	b, vm, stop := newSingleVMSite(t)
	engine := b.addTarget("engine-1", "engine", "near-a")
	startDelay := func(program string) time.Duration {
		header := map[string]string{platformtest.HeaderProgram: program, platformtest.HeaderBudget: "300", platformtest.HeaderUsage: "100,30"}
		start := time.Now()
		assert.Equal(t, b.send(request{path: "/chat/1", body: "x", header: header}).status, 200)
		runs := engine.Runs()
		return runs[len(runs)-1].StartedAt.Sub(start)
	}
	startDelay("warm-up")
	b.site.Store.SetFaults(rows.Faults{Delay: storeDelay})
	assert.Assert(t, startDelay("new") < storeDelay/2)
	assert.Assert(t, startDelay("new") < storeDelay/2)
	stop()
	b.site.Store.SetFaults(rows.Faults{})
	b.site.MarkStarted()
	b.start(vm)
	b.waitReady(vm)
	b.waitUntil("target listed after the restart", func() bool { return len(b.logs.lines(`"target listed"`, `"engine-1"`)) >= 2 })
	b.site.Store.SetFaults(rows.Faults{Delay: storeDelay})
	assert.Assert(t, startDelay("other") >= storeDelay)
	assert.Assert(t, startDelay("other") < storeDelay/2)
}

// A turn that starts before its reservation is stored sends the caller nothing until then.
// If the reservation is not stored in time, the refusal must not claim that the turn has
// not run.
func TestNoOutputBeforeReservationIsStored(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	assert.Equal(t, b.sendTurn(b.vms[0], "", "warm-up").status, 200)
	b.site.Store.SetFaults(rows.Faults{Delay: 3 * time.Second})
	header := map[string]string{platformtest.HeaderProgram: "other", platformtest.HeaderBudget: "1000", platformtest.HeaderUsage: "100,30"}
	got := b.send(request{path: "/chat/1", body: "x", header: header})
	b.site.Store.SetFaults(rows.Faults{})
	assert.Equal(t, len(engine.Runs()), 2)
	assert.Equal(t, got.status, 502)
	assert.Assert(t, !strings.Contains(got.body, "piece"), got.body)
}

// A program whose budget is spent is also refused after a restart of all VMs, and its turn
// does not reach the target.
func TestSpentBudgetHoldsAfterRestart(t *testing.T) {
	b, vm, stop := newSingleVMSite(t)
	engine := b.addTarget("engine-1", "engine", "near-a")
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "30", platformtest.HeaderUsage: "100,30"}
	turn := request{path: "/chat/1", body: "x", header: header}
	assert.Equal(t, b.send(turn).status, 200)
	assert.Equal(t, b.send(turn).status, 402)
	stop()
	b.site.MarkStarted()
	b.start(vm)
	b.waitUntil("402", func() bool { return b.send(turn).status == 402 })
	assert.Equal(t, len(engine.Runs()), 1)
}

// A budget also binds programs whose turns are not stored, over all VMs and after a
// restart of all VMs.
func TestBudgetHoldsForTurnsThatAreNotStored(t *testing.T) {
	const budget, maxTokens, tokensPerTurn = 90, 30, 30
	b := newTestSite(t, "near-a", "far-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	send := func(vm *platformtest.VM, line string) int {
		header := map[string]string{
			platformtest.HeaderProgram: "looping", platformtest.HeaderLine: line,
			platformtest.HeaderBudget: fmt.Sprint(budget), platformtest.HeaderUsage: fmt.Sprintf("100,%d", maxTokens),
		}
		var status int
		b.waitUntil("no longer reserved by other turns", func() bool {
			status = b.send(request{vm: vm, path: "/draft/1", body: "x", header: header}).status
			return status != 503
		})
		return status
	}
	delivered := 0
	for turn := range 8 {
		if send(b.vms[turn%2], fmt.Sprint("line-", turn%3)) == 200 {
			delivered += tokensPerTurn
		}
	}
	assert.Assert(t, delivered <= budget+maxTokens, "%d tokens delivered", delivered)
	assert.Assert(t, delivered >= budget, "%d tokens delivered", delivered)
	ran := len(engine.Runs())
	assert.Equal(t, send(b.vms[0], "line-9"), 402)
	assert.Equal(t, len(engine.Runs()), ran)
}

// The turns of a line that are not stored go to the target that has their prompt in its
// cache, and the first turn of a sub-program to that of its parent, although another
// target would do as well.
func TestLineOfTurnsStaysAtItsTarget(t *testing.T) {
	b := newTestSite(t, "near-a")
	first := b.addTarget("engine-2", "engine", "near-a")
	send := func(line string) {
		header := map[string]string{
			platformtest.HeaderProgram: "program", platformtest.HeaderLine: line,
			platformtest.HeaderBudget: "10000", platformtest.HeaderUsage: "100,30",
		}
		assert.Equal(t, b.send(request{path: "/draft/1", body: line, header: header}).status, 200)
	}
	send("main")
	second := b.addTarget("engine-1", "engine", "near-a")
	for range 3 {
		send("main")
	}
	send("sub")
	assert.Equal(t, len(first.Runs()), 5)
	assert.Equal(t, len(second.Runs()), 0)
}

// newThreeVMSite returns a site with VMs of three failure domains and two regions, and the
// functions that stop them.
func newThreeVMSite(t *testing.T) (b *testSite, stops []func()) {
	b = newTestSite(t)
	for _, domain := range []string{"near-a", "near-b", "far-a"} {
		vm := b.site.AddVM(domain)
		b.vms = append(b.vms, vm)
		stops = append(stops, b.start(vm))
	}
	for _, vm := range b.vms {
		b.waitReady(vm)
	}
	return b, stops
}

// clientNames are IDs that clients may choose, by what is special about them.
var clientNames = map[string]string{
	"60": strings.Repeat("a", 60), "61": strings.Repeat("b", 61), "64": strings.Repeat("c", 64),
	"195": strings.Repeat("d", 195), "196": strings.Repeat("e", 196), "4000": strings.Repeat("f", 4000),
	"100 to escape": strings.Repeat("/", 100), "not UTF-8": "g\xff" + strings.Repeat("g", 80),
	"not UTF-8, second": "g\xfe" + strings.Repeat("g", 80), "same start as another": strings.Repeat("f", 3999) + "x",
}

// restart stops all VMs and starts the last one again, which then knows only what is stored.
func (b *testSite) restart(stops []func()) *platformtest.VM {
	for _, stop := range stops {
		stop()
	}
	b.site.MarkStarted()
	listed := len(b.logs.lines(`"target listed"`, `"engine-1"`))
	vm := b.vms[len(b.vms)-1]
	b.start(vm)
	b.waitReady(vm)
	b.waitUntil("target listed after the restart", func() bool { return len(b.logs.lines(`"target listed"`, `"engine-1"`)) > listed })
	return vm
}

// Guards against a turn that is stored and then not looked up since its ID is long, or that
// runs and can't be stored: clients choose request IDs of any length and bytes.
func TestRequestIDsOfAnyLengthAreContinuedAtEveryVM(t *testing.T) {
	b, stops := newThreeVMSite(t)
	engine := b.addTarget("engine-1", "engine", "near-a")
	n := 0
	send := func(vm *platformtest.VM, name, id, previous, body string) response {
		header := map[string]string{
			platformtest.HeaderProgram: "program-" + name, platformtest.HeaderBudget: "1000", platformtest.HeaderUsage: "100,30",
		}
		if previous != "" {
			header[platformtest.HeaderPrevious] = previous
		}
		var got response
		b.waitUntil("answered", func() bool {
			got = b.sendAs(id, request{vm: vm, path: "/chat/1", body: body, header: header})
			return got.status != 503
		})
		assert.Assert(t, got.status == 200 && got.err == nil, "%s: %+v", name, got)
		return got
	}
	for name, id := range clientNames {
		n++
		send(b.vms[n%3], name, id+"1", "", "in ")
		send(b.vms[(n+1)%3], name, id+"2", id+"1", "again ")
		runs := engine.Runs()
		assert.Equal(t, runs[len(runs)-1].Body, "in "+eventText(id+"1", 3)+"again ", name)
	}
	vm := b.restart(stops)
	for name, id := range clientNames {
		send(vm, name, id+"3", id+"2", "more ")
		runs := engine.Runs()
		assert.Equal(t, runs[len(runs)-1].Body, "in "+eventText(id+"1", 3)+"again "+eventText(id+"2", 3)+"more ", name)
	}
}

// Guards against a program whose balance has no key at the store, since its ID is long or
// not UTF-8: each of its turns was answered 503, or it shared the balance of another.
func TestProgramIDsOfAnyLengthKeepTheirBudgets(t *testing.T) {
	b, stops := newThreeVMSite(t)
	engine := b.addTarget("engine-1", "engine", "near-a")
	n := 0
	sendUntilServed := func(vm *platformtest.VM, program string) int {
		header := map[string]string{platformtest.HeaderProgram: program, platformtest.HeaderBudget: "60", platformtest.HeaderUsage: "100,30"}
		n++
		id := fmt.Sprint("turn-", n)
		var got response
		b.waitUntil("answered", func() bool {
			got = b.sendAs(id, request{vm: vm, path: "/chat/1", body: "in ", header: header})
			return got.status != 503
		})
		return got.status
	}
	for name, program := range clientNames {
		assert.Equal(t, sendUntilServed(b.vms[n%3], program), 200, name)
		assert.Equal(t, sendUntilServed(b.vms[n%3], program), 200, name)
	}
	vm := b.restart(stops)
	ran := len(engine.Runs())
	for name, program := range clientNames {
		assert.Equal(t, sendUntilServed(vm, program), 402, name)
	}
	assert.Equal(t, len(engine.Runs()), ran)
}

// Guards against a turn that runs, and whose answer is then broken off since its long input
// can't be stored: it must be refused before it runs.
func TestTurnsTooLongToStoreAreRefusedBeforeTheyRun(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	assert.Equal(t, b.sendTurn(b.vms[0], "", strings.Repeat("x", turnlog.MaxInputBytes)).status, 200)
	got := b.sendTurn(b.vms[0], "", strings.Repeat("x", turnlog.MaxTurnBytes+1))
	assert.Equal(t, got.status, 413, got.body)
	assert.Equal(t, len(engine.Runs()), 1)
}
