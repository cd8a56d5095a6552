package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// outageSpan is the length of the store outages that the specification names.
const outageSpan = 7 * time.Second

// sendDraft sends a turn that is not stored, of a program with a budget.
func (b *testSite) sendDraft(vm *platformtest.VM, program, line string, budget int) response {
	header := map[string]string{
		platformtest.HeaderProgram: program, platformtest.HeaderLine: line,
		platformtest.HeaderBudget: fmt.Sprint(budget), platformtest.HeaderUsage: "100,30",
	}
	b.requestCount++
	return b.sendAs(fmt.Sprintf("%s-%d", b.t.Name(), b.requestCount), request{vm: vm, path: "/draft/1", body: "x", header: header})
}

// setStoreDown makes the store fail all calls, and waits until all VMs have noticed.
func (b *testSite) setStoreDown() {
	b.site.Store.SetFaults(rows.Faults{IsDown: true})
	b.waitUntil("store lost", func() bool {
		return len(b.logs.lines("lost the direct path to the store")) >= len(b.vms)
	})
	time.Sleep(2 * time.Second) // the other VMs' reports that they reach the store expire
}

// Guards against idle targets in a store outage: programs without stored turns start and
// continue at every VM, within their budgets.
func TestProgramsRunInStoreOutage(t *testing.T) {
	b := newTestSite(t, "near-a", "near-b", "near-a")
	b.addTarget("engine-1", "engine", "near-a")
	b.setStoreDown()
	start := time.Now()
	served := make(map[string]int)
	sent, failed := 0, 0
	for n := 0; time.Since(start) < outageSpan-2*time.Second; n++ {
		program := fmt.Sprint("new-", n/3)
		r := b.sendDraft(b.vms[n%3], program, "main", 400) // a quarter holds three turns
		sent++
		time.Sleep(10 * time.Millisecond)
		if r.status != 200 {
			failed++
			continue
		}
		served[program] += 30
	}
	t.Logf("%d of %d turns of %d programs failed in the outage", failed, sent, len(served))
	assert.Equal(t, failed, 0, b.logs.tail(20))
	b.site.Store.SetFaults(rows.Faults{})
	b.waitUntil("written back", func() bool { return len(b.logs.lines("unstored grants written back")) > 0 })
}
