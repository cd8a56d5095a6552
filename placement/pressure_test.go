package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func TestPressureBeginsWithLoadAndEndsLater(t *testing.T) {
	var p Pressure
	now := structs.Instant(time.Minute)
	assert.Assert(t, !p.Update(now, "engine", 32, 108))
	assert.Assert(t, p.Update(now, "engine", 33, 108))
	assert.Assert(t, !p.Update(now, "app", 3, 36), "another service")
	now = now.Add(pressureHold - time.Millisecond)
	assert.Assert(t, p.Update(now, "engine", 10, 108), "the load falls for a moment")
	now = now.Add(time.Millisecond)
	assert.Assert(t, !p.Update(now, "engine", 10, 108))
}

func TestLoadCountsOwnAndReportedRequests(t *testing.T) {
	s := New("d", "r")
	s.Put(Target{ID: "1", Service: "engine", Slots: 4})
	s.Put(Target{ID: "2", Service: "engine", Slots: 4, IsDraining: true})
	s.Put(Target{ID: "3", Service: "app", Slots: 2})
	s.BeginRequest("1")
	s.BeginRequest("3")
	now := structs.Instant(time.Minute)
	s.Report(now, "peer", map[structs.TargetID]int{"1": 2, "2": 1})
	running, slots := s.Load(now, "engine")
	assert.Equal(t, running, 3)
	assert.Equal(t, slots, 4)
}

// endings are the ends of running requests, the earliest first.
type endings []ending

type ending struct {
	at     structs.Instant
	vm     int
	target structs.TargetID
}

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// playBurst plays 20 s of turns at 85% of the slots of nine targets, over eleven VMs that
// report their loads each 0.3 s. With pressure, one VM places the turns of a service
// under pressure. It returns the fraction of turns that were sent to a target without a
// free slot although another target had one.
func playBurst(withPressure bool) float64 {
	const vms, targets, slots = 11, 9, 12
	const duration, reportPeriod = 20 * time.Second, 300 * time.Millisecond
	const runTime = 350 * time.Millisecond
	const perSecond = 0.85 * targets * slots / 0.35
	rng := rand.New(rand.NewPCG(3, 9))
	sets := make([]*TargetSet, vms)
	pressures := make([]Pressure, vms)
	for vm := range sets {
		sets[vm] = New("d", "r")
		for n := range targets {
			sets[vm].Put(Target{ID: structs.TargetID(fmt.Sprint(n)), Service: "engine", Slots: slots, Region: "r", Domain: "d"})
		}
	}
	running := make(map[structs.TargetID]int)
	var ends endings
	sent, overfilled := 0, 0
	lastReport := structs.Instant(time.Minute)
	for now := lastReport; now < structs.Instant(time.Minute+duration); now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
		for len(ends) > 0 && ends[0].at <= now {
			e := heap.Pop(&ends).(ending)
			running[e.target]--
			sets[e.vm].EndRequest(e.target)
		}
		if now.Sub(lastReport) >= reportPeriod {
			lastReport = now
			for from := range sets {
				for to := range sets {
					if from != to {
						sets[to].Report(now, structs.VMID(fmt.Sprint(from)), sets[from].LoadReport())
					}
				}
			}
		}
		vm := rng.IntN(vms)
		busy, total := sets[vm].Load(now, "engine")
		if withPressure && pressures[vm].Update(now, "engine", busy, total) {
			vm = 0
		}
		choice, _ := sets[vm].Choose(now, Query{Service: "engine"})
		id := choice.Target.ID
		sent++
		if running[id] >= slots && sum(running) < targets*slots {
			overfilled++
		}
		running[id]++
		sets[vm].BeginRequest(id)
		heap.Push(&ends, ending{at: now.Add(time.Duration((0.5 + rng.Float64()) * float64(runTime))), vm: vm, target: id})
	}
	return float64(overfilled) / float64(sent)
}

func sum(counts map[structs.TargetID]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// The load of a burst on a small fleet: VMs that place by loads as old as most turns
// overfill targets while others have free slots, and the turns there wait. With one
// placer under pressure, nearly every turn gets a free slot.
func TestPlacerUnderPressureFindsFreeSlots(t *testing.T) {
	alone, together := playBurst(false), playBurst(true)
	t.Logf("turns sent to a full target while another had a free slot: %.3f by each VM alone, %.3f with a placer", alone, together)
	assert.Assert(t, alone > 0.05, "%.3f", alone)
	assert.Assert(t, together < 0.01, "%.3f", together)
}
