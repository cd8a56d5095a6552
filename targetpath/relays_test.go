package targetpath

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// Guards against a stranded failure domain that overloads one of the remaining VMs.
func TestForwardedRequestsSpreadEvenly(t *testing.T) {
	var r Relays
	for n := range 3 {
		r.Report(testStart, structs.VMID(fmt.Sprint("near", n)), true, true)
		r.Report(testStart, structs.VMID(fmt.Sprint("far", n)), false, true)
	}
	r.Report(testStart, "cut", true, false)
	picks := make(map[structs.VMID]int)
	for range 3 * fullRelay {
		vm, isFound := r.Pick(testStart, nil)
		assert.Assert(t, isFound)
		picks[vm]++
	}
	assert.DeepEqual(t, picks, map[structs.VMID]int{"near0": fullRelay, "near1": fullRelay, "near2": fullRelay})
	for range 6 {
		vm, _ := r.Pick(testStart, nil)
		picks[vm]++
	}
	assert.DeepEqual(t, picks, map[structs.VMID]int{
		"near0": fullRelay + 1, "near1": fullRelay + 1, "near2": fullRelay + 1, "far0": 1, "far1": 1, "far2": 1,
	})
}

func TestRelaysThatFailOrFallSilentAreNotPicked(t *testing.T) {
	var r Relays
	r.Report(testStart, "a", true, true)
	r.Report(testStart, "b", true, true)
	vm, _ := r.Pick(testStart, []structs.VMID{"b"})
	assert.Equal(t, vm, structs.VMID("a"))
	r.End(testStart, "a", true)
	vm, _ = r.Pick(testStart.Add(relayBackoff), nil)
	assert.Equal(t, vm, structs.VMID("b"))
	r.End(testStart, "b", false)
	_, isFound := r.Pick(testStart.Add(reportTTL+1), nil)
	assert.Assert(t, !isFound, "no report for too long")
	r.Report(testStart.Add(reportTTL), "a", true, true)
	vm, isFound = r.Pick(testStart.Add(reportTTL+1), nil)
	assert.Assert(t, isFound && vm == "a")
	r.Forget("a")
	r.Report(testStart.Add(reportTTL), "b", true, false)
	_, isFound = r.Pick(testStart.Add(reportTTL+1), nil)
	assert.Assert(t, !isFound)
}
