package edge

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// nameRate lets a server know of a target's named rate.
func nameRate(s *Server, id structs.TargetID, rate float32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnRate(structs.Now(), id, targetrate.Observation{Rate: rate}, "test")
}

// grantedIn sends requests to a server, one each 10 ms, and returns how many were granted
// each target.
func grantedIn(t *testing.T, s *Server, d time.Duration) map[structs.TargetID]int {
	granted := make(map[structs.TargetID]int)
	for until := structs.Now().Add(d); structs.Now() < until; time.Sleep(10 * time.Millisecond) {
		ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
		g, err := s.acquireGrant(t.Context(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
		assert.NilError(t, err)
		granted[g.target.ID]++
		g.result, g.latency = placement.ResultAnswered, time.Millisecond
		s.releaseGrant(g)
	}
	return granted
}

// A placer that has just started does not know the rates that targets named before.
func TestNewPlacerLearnsNamedRateFromTheVMThatAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		servers := newServers(20, 2, &placer, &isSilent)
		nameRate(servers[1], "t0", 5)
		granted := grantedIn(t, servers[1], 4*time.Second)
		assert.Assert(t, granted["t0"] <= 1+4*5*3/2+5, "%d requests in 4 s at a rate of 5/s", granted["t0"])
		assert.Assert(t, granted["t0"] >= 4*5/2, "%d requests in 4 s at a rate of 5/s", granted["t0"])
		assert.Assert(t, granted["t1"] > 200)
		time.Sleep(time.Second)
	})
}

func TestNamedRateHoldsWhilePlacerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, true
		servers := newServers(20, 2, &placer, &isSilent)
		var mu sync.Mutex
		var wg sync.WaitGroup
		total := 0
		for _, s := range servers[1:] {
			s.opts.Peers.(*fakePeers).staysPlacer = true
			nameRate(s, "t0", 5)
			wg.Go(func() {
				granted := grantedIn(t, s, 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				total += granted["t0"]
			})
		}
		wg.Wait()
		assert.Assert(t, total <= 4*5*3/2+5, "%d requests in 4 s at a rate of 5/s", total)
		assert.Assert(t, total > 0)
		time.Sleep(time.Second)
	})
}
