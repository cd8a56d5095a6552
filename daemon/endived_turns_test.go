package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// A conversation goes on at any VM and after all VMs were lost.
func TestConversationSurvivesAllVMs(t *testing.T) {
	b := newBed(t)
	vms := []*platformtest.VM{b.site.AddVM("near-a"), b.site.AddVM("far-a")}
	b.vms = vms
	stops := []func(){b.start(vms[0]), b.start(vms[1])}
	b.waitReady(vms[0])
	b.waitReady(vms[1])
	engine := b.target("engine-1", "engine", "near-a")
	first := b.turn(vms[0], "", "first ")
	assert.Equal(t, first.status, 200, first.body)
	second := b.turn(vms[1], first.id, "second ")
	assert.Equal(t, second.status, 200, second.body)
	for _, stop := range stops {
		stop()
	}
	b.start(vms[0])
	b.waitReady(vms[0])
	b.until("target known", func() bool { return b.turn(vms[0], second.id, "third ").status == 200 })
	runs := engine.Runs()
	want := "first " + events(first.id, 3) + "second " + events(second.id, 3) + "third "
	assert.Equal(t, runs[len(runs)-1].Body, want)
	assert.Equal(t, b.turn(vms[0], "nothing", "x").status, 404)
	foreign := b.do(call{vm: vms[0], path: "/chat/1", key: "key-two", header: map[string]string{platformtest.HeaderPrevious: first.id}})
	assert.Equal(t, foreign.status, 404)
}

func events(id string, count int) string {
	text := ""
	for n := 1; n <= count; n++ {
		text += platformtest.EventData(id, n) + "\n"
	}
	return text
}

// The end of a turn's answer is never seen before the turn is stored: with the
// store gone in the middle of the stream the answer stays open and breaks off.
func TestTurnIsStoredBeforeItsEnd(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	engine.Set(platformtest.Behaviour{Events: 3, Duration: 100 * time.Millisecond})
	done := make(chan reply, 1)
	go func() { done <- b.turn(b.vms[0], "", "first ") }()
	b.until("running", func() bool { return engine.Running() == 1 })
	time.Sleep(50 * time.Millisecond) // the reservation is stored meanwhile
	b.vms[0].StoreServer.Set(platformtest.StoreUnavailable)
	got := <-done
	assert.Assert(t, got.err != nil, "the answer looks whole: %q", got.body)
	b.vms[0].StoreServer.Set(platformtest.StoreNormal)
	b.until("404", func() bool { return b.turn(b.vms[0], got.id, "second ").status == 404 })
}

// A budget holds over VMs; a spent one is told only when it is spent.
func TestBudgetOfProgram(t *testing.T) {
	b := newBed(t, "near-a", "near-b")
	b.target("engine-1", "engine", "near-a") // 3 events of 10 tokens a turn
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "60", platformtest.HeaderUsage: "100,30"}
	var statuses []int
	for i := range 3 {
		statuses = append(statuses, b.do(call{vm: b.vms[i%2], path: "/chat/1", body: "x", header: header}).status)
		time.Sleep(900 * time.Millisecond) // until the turn is settled
	}
	assert.DeepEqual(t, statuses, []int{200, 200, 402})
}

// Turns that generate less than an event holds count a whole event each.
func TestShortTurnsCountWholeEvents(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	engine.Set(platformtest.Behaviour{Events: 1}) // 10 tokens
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "40", platformtest.HeaderUsage: "100,3"}
	served := 0
	for range 12 {
		if b.do(call{path: "/chat/1", body: "x", header: header}).status == 200 {
			served++
		}
	}
	// The budget and one turn's most; one turn's tokens may be reserved for a
	// continuation that does not come.
	assert.Assert(t, served >= 3 && served <= 5, "%d turns of 10 tokens on a budget of 40", served)
}

// A turn runs while its tokens are being reserved if the budget has room for it,
// but not the first turn of a program at a VM that has just come back.
func TestTurnRunsWhileItIsReserved(t *testing.T) {
	const storeTime = 250 * time.Millisecond
	b, vm, stop := newBedOfOne(t)
	engine := b.target("engine-1", "engine", "near-a")
	startsAfter := func(program string) time.Duration {
		header := map[string]string{platformtest.HeaderProgram: program, platformtest.HeaderBudget: "300", platformtest.HeaderUsage: "100,30"}
		start := time.Now()
		assert.Equal(t, b.do(call{path: "/chat/1", body: "x", header: header}).status, 200)
		runs := engine.Runs()
		return runs[len(runs)-1].StartedAt.Sub(start)
	}
	startsAfter("warm-up")
	b.site.Store.SetFaults(rows.Faults{Delay: storeTime})
	assert.Assert(t, startsAfter("new") < storeTime/2)
	assert.Assert(t, startsAfter("new") < storeTime/2)
	stop()
	b.site.Store.SetFaults(rows.Faults{})
	b.site.MarkStarted()
	b.start(vm)
	b.until("ready again", func() bool { return b.do(call{path: "/open/1", method: http.MethodGet}).status != 0 })
	b.until("listed again", func() bool { return len(b.logs.lines(`"target listed"`, `"engine-1"`)) >= 2 })
	b.site.Store.SetFaults(rows.Faults{Delay: storeTime})
	assert.Assert(t, startsAfter("other") >= storeTime)
	assert.Assert(t, startsAfter("other") < storeTime/2)
}

// A turn that runs before its reservation is stored shows its caller nothing until
// then, and does not claim that it has not run.
func TestEarlyTurnShowsNothingUnreserved(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	assert.Equal(t, b.turn(b.vms[0], "", "warm-up").status, 200)
	b.site.Store.SetFaults(rows.Faults{Delay: 3 * time.Second})
	header := map[string]string{platformtest.HeaderProgram: "other", platformtest.HeaderBudget: "1000", platformtest.HeaderUsage: "100,30"}
	got := b.do(call{path: "/chat/1", body: "x", header: header})
	b.site.Store.SetFaults(rows.Faults{})
	assert.Equal(t, len(engine.Runs()), 2)
	assert.Equal(t, got.status, 502)
	assert.Assert(t, !strings.Contains(got.body, "piece"), got.body)
}

// A program that was stopped comes back with a first turn after all VMs were
// lost, and does not run.
func TestStoppedProgramComesBack(t *testing.T) {
	b, vm, stop := newBedOfOne(t)
	engine := b.target("engine-1", "engine", "near-a")
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "30", platformtest.HeaderUsage: "100,30"}
	turn := call{path: "/chat/1", body: "x", header: header}
	assert.Equal(t, b.do(turn).status, 200)
	assert.Equal(t, b.do(turn).status, 402)
	stop()
	b.site.MarkStarted()
	b.start(vm)
	b.until("402", func() bool { return b.do(turn).status == 402 })
	assert.Equal(t, len(engine.Runs()), 1)
}
