package lease

import (
	"container/heap"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// runSim runs one seed for the given virtual time or until a violation.
func runSim(seed uint64, duration time.Duration, mutations mutations) *sim {
	s := newSim(seed, mutations)
	s.runUntil(duration)
	return s
}

func (s *sim) runUntil(until time.Duration) {
	second := s.now
	for s.queue.Len() > 0 && s.failure == "" {
		if s.queue[0].at > until {
			return
		}
		item := heap.Pop(&s.queue).(simItem)
		for ; second < item.at; second += time.Second {
			s.now = second
			s.countHeld()
		}
		s.now = item.at
		item.run()
	}
}

// recoveryTime is how long after the last fault each group must have an owner again. It
// covers outages and link failures of up to 20 s, the removal of a VM from the list after up
// to 20 s, ExitGrace, SuspectTimeout, the wait of a successor, and the turns of the
// processes that go first.
const recoveryTime = 3 * time.Minute

// clearFaults ends all faults and returns the groups that have no owner after
// recoveryTime.
func (s *sim) clearFaults() []Group {
	s.noFaults = true
	s.runUntil(s.now + 10*time.Second) // processes due to start have started
	for _, p := range s.addresses {
		if len(p.processes) == 0 {
			s.vmsAdded++
			s.start(p, structs.VMID(fmt.Sprintf("vm%d-%d", p.index, s.vmsAdded)))
		}
	}
	s.runUntil(s.now + recoveryTime)
	var without []Group
	for g := range simConfig.Groups {
		before := s.stats.HeldSeconds
		s.countGroup(Group(g))
		if s.stats.HeldSeconds == before {
			without = append(without, Group(g))
		}
	}
	return without
}

func (s *sim) countHeld() {
	for g := range simConfig.Groups {
		s.countGroup(Group(g))
	}
}

func (s *sim) countGroup(g Group) {
	for _, p := range s.addresses {
		for _, pr := range p.processes {
			if _, isHeld := pr.node.HeldEpoch(pr.clock(s.now), g); isHeld {
				s.stats.HeldSeconds++
			}
		}
	}
}

func intFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// Runs the protocol under random faults: no group may have two owners at any instant,
// and every group must have an owner again after the last fault. ENDIVE_SOAK_STEPS is
// the length of a run in virtual seconds.
func TestSoakLease(t *testing.T) {
	first, seeds := intFromEnv("ENDIVE_SOAK_FIRST", 1), intFromEnv("ENDIVE_SOAK_SEEDS", 12)
	length := time.Duration(intFromEnv("ENDIVE_SOAK_STEPS", 300)) * time.Second
	var total simStats
	violations := 0
	for seed := first; seed < first+seeds; seed++ {
		s := runSim(uint64(seed), length, mutations{})
		if s.failure != "" {
			violations++
			t.Errorf("seed %d %s", seed, s.failure)
		}
		if without := s.clearFaults(); len(without) > 0 {
			t.Errorf("seed %d: groups %v have no owner %v after the last fault", seed, without, recoveryTime)
		}
		total.add(s.stats)
	}
	t.Logf("%d runs of %v, %d violations: %+v", seeds, length, violations, total)
	// A single run doesn't necessarily include each kind of change.
	assert.Assert(t, seeds < 10 || total.Successions > seeds && total.SelfSuccessions > 0 && total.SetChanges > 0)
}

func (a *simStats) add(b simStats) {
	a.Successions += b.Successions
	a.SelfSuccessions += b.SelfSuccessions
	a.SetChanges += b.SetChanges
	a.Releases += b.Releases
	a.Kills += b.Kills
	a.Replacements += b.Replacements
	a.OldVMsKept += b.OldVMsKept
	a.Pauses += b.Pauses
	a.Cuts += b.Cuts
	a.Outages += b.Outages
	a.LostReplies += b.LostReplies
	a.HeldSeconds += b.HeldSeconds
}

// Disables each part of the protocol in turn; the simulation must detect a violation.
func TestMutationsAreCaught(t *testing.T) {
	cases := []struct {
		name      string
		mutations mutations
		firstSeed int // first seed to run; it detects the missing part
	}{
		{"no promises needed", mutations{skipPromises: true}, 68},
		{"renewal counted from its receipt", mutations{renewFromReceipt: true}, 234},
		{"promises forgotten", mutations{forgetPromises: true}, 26},
		{"no wait", mutations{skipWait: true}, 101},
		{"process answers for an earlier incarnation", mutations{answerForPredecessor: true}, 74},
		{"pending set ignored", mutations{ignorePendingSet: true}, 5744},
		{"no wait after an exit", mutations{skipExitWait: true}, 2265},
		{"store renews a row under revocation", mutations{renewRevokedRow: true}, 221},
		{"age of the first acknowledgement reported", mutations{reportFirstAckAge: true}, 31},
		{"renewal by reads ignored", mutations{ignoreReadRenewals: true}, 83},
		{"age of the row ignored", mutations{ignoreRowAge: true}, 20},
	}
	// With ENDIVE_MUTATION_SEEDS each mutation runs on that many seeds.
	tries := intFromEnv("ENDIVE_MUTATION_SEEDS", 0)
	for _, m := range cases {
		t.Run(m.name, func(t *testing.T) {
			detected := 0
			for seed := m.firstSeed; seed < m.firstSeed+max(tries, 1); seed++ {
				if s := runSim(uint64(seed), 300*time.Second, m.mutations); s.failure != "" {
					detected++
					if detected == 1 {
						t.Logf("seed %d %s", seed, s.failure)
					}
				}
			}
			t.Logf("detected in %d of %d runs", detected, max(tries, 1))
			assert.Assert(t, detected > 0)
		})
	}
}

func TestRowRoundTrip(t *testing.T) {
	m := Member{Incarnation: "a", VM: "v", Addr: "127.0.0.1:1"}
	row := Row{Group: 3, Epoch: 9, Owner: m, Witnesses: []Member{m}, PendingWitnesses: []Member{m}, Revocation: &Revocation{Epoch: 9, By: "b"}}
	data, err := row.Encode()
	assert.NilError(t, err)
	back, err := DecodeRow(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, row)
}

func TestSlotsOfCoverEverySlotOnce(t *testing.T) {
	const slots = 256
	seen := make(map[structs.Slot]bool)
	for g := range GroupCount(slots) {
		for _, slot := range SlotsOf(Group(g), slots) {
			assert.Equal(t, GroupOf(slot, slots), Group(g))
			assert.Assert(t, !seen[slot], fmt.Sprint(slot))
			seen[slot] = true
		}
	}
	assert.Equal(t, len(seen), slots)
}
