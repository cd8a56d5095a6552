package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// Guards against tables that VMs follow in a circle, against sources with more followers than
// they can serve, and against a number of hops or of readers of the store that grows with the
// fleet. Each VM may lose its first source.
func TestSourcesOfSharedTablesFormATree(t *testing.T) {
	const maxHops, maxFollowers = 4, tableFanout
	for _, count := range []int{18, 71, 195, 510} {
		members := newTestFleet(count)
		sources := make(map[structs.VMID][]structs.VMID)
		region := make(map[structs.VMID]string)
		domain := make(map[structs.VMID]structs.DomainID)
		for i, self := range members {
			sources[self.VM] = tableSources(self, others(members, i))
			region[self.VM], domain[self.VM] = self.Region, self.Domain
		}
		followers, roots := make(map[structs.VMID]int), make(map[string][]structs.VMID)
		for vm, own := range sources {
			if len(own) == 0 {
				roots[region[vm]] = append(roots[region[vm]], vm)
				continue
			}
			assert.Assert(t, own[0] != own[1] && region[own[0]] == region[vm] && region[own[1]] == region[vm])
			followers[own[0]]++
			for _, choice := range []int{0, 1} {
				at, hops := vm, 0
				for ; len(sources[at]) > 0; hops++ {
					at = sources[at][choice]
					assert.Assert(t, hops < maxHops, "%d VMs: %s follows over more than %d hops", count, vm, maxHops)
				}
			}
		}
		for source, number := range followers {
			assert.Assert(t, number <= maxFollowers, "%d VMs: %d follow %s", count, number, source)
		}
		for name, vms := range roots {
			assert.Equal(t, len(vms), tableRoots, "%d VMs, region %s", count, name)
			assert.Assert(t, domain[vms[0]] != domain[vms[1]], "the roots share a failure domain")
		}
	}
}

// Small fleets read the store directly.
func TestSmallFleetsHaveNoTreeOfTables(t *testing.T) {
	members := newTestFleet(MaxUncoordinatedVMs)
	assert.Equal(t, len(tableSources(members[9], others(members, 9))), 0)
}

// Guards against a VM that waits for sources without a new state, against all VMs of a region
// reading the store at once when it returns, and against calls to a source that is lost.
func TestStoreIsReadWhenNoSourceIsNewEnough(t *testing.T) {
	at := func(ms int) structs.Instant { return structs.Instant(time.Duration(ms) * time.Millisecond) }
	sources := []structs.VMID{"a", "b"}
	c := newSourceChoice(at(0))
	assert.Assert(t, !c.mayReadStore(at(1000), false, time.Second))
	assert.Assert(t, c.mayReadStore(at(1200), true, time.Second))
	assert.Assert(t, !c.mayReadStore(at(2100), true, time.Second), "a source answers; the pause is not over")
	assert.Assert(t, c.mayReadStore(at(2100), false, time.Second), "no source answers")
	c.recordState(at(3000), 200*time.Millisecond)
	c.recordState(at(3100), time.Second)
	assert.Assert(t, !c.mayReadStore(at(3900), false, time.Second))
	assert.Assert(t, c.mayReadStore(at(4000), false, time.Second))

	c.recordRead(true)
	c.recordState(at(4500), 0)
	assert.Assert(t, c.mayReadStore(at(4600), false, time.Second), "its sources are lost, it follows the table at the store")
	assert.Assert(t, !c.mayReadStore(at(4600), true, time.Second))
	c.recordRead(false)
	assert.Assert(t, !c.mayReadStore(at(4600), false, time.Second))

	c.recordFailure(at(5000), "a")
	assert.DeepEqual(t, c.usable(at(7900), sources), []structs.VMID{"b"})
	assert.DeepEqual(t, c.usable(at(8000), sources), sources)
	for range 5 {
		c.recordFailure(at(8000), "a")
	}
	assert.DeepEqual(t, c.usable(at(19_900), sources), []structs.VMID{"b"})
	assert.DeepEqual(t, c.usable(at(20_000), sources), sources)
	c.recordAnswer("a")
	c.recordFailure(at(21_000), "a")
	assert.DeepEqual(t, c.usable(at(24_000), sources), sources)
}

// BenchmarkTableSources is the cost of a change of the members.
func BenchmarkTableSources(b *testing.B) {
	for _, count := range []int{71, 510} {
		members := newTestFleet(count)
		rest := slices.Clone(members[1:])
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				tableSources(members[0], rest)
			}
		})
	}
}
