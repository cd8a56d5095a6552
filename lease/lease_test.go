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
func runSim(seed uint64, length time.Duration, rules rules) *sim {
	s := newSim(seed, rules)
	s.runUntil(length)
	return s
}

func (s *sim) runUntil(length time.Duration) {
	second := s.now
	for s.queue.Len() > 0 && s.failure == "" {
		if s.queue[0].at > length {
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

// healTime is how long after the last fault each group must have an owner:
// outages and cuts of 20 s, a listing of 20 s, the grace, suspicion, the wait
// and the turns of the others.
const healTime = 3 * time.Minute

// heal ends all faults and returns the groups without an owner some time later.
func (s *sim) heal() []Group {
	s.calm = true
	s.runUntil(s.now + 10*time.Second) // what is on its way starts
	for _, p := range s.places {
		if len(p.procs) == 0 {
			s.newVMs++
			s.start(p, structs.VMID(fmt.Sprintf("vm%d-%d", p.index, s.newVMs)))
		}
	}
	s.runUntil(s.now + healTime)
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
	for _, p := range s.places {
		for _, pr := range p.procs {
			if _, held := pr.node.HeldEpoch(pr.clock(s.now), g); held {
				s.stats.HeldSeconds++
			}
		}
	}
}

func fromEnv(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// STEPS is the length of a run in virtual seconds.
func TestSoakLease(t *testing.T) {
	first, seeds := fromEnv("ENDIVE_SOAK_FIRST", 1), fromEnv("ENDIVE_SOAK_SEEDS", 12)
	length := time.Duration(fromEnv("ENDIVE_SOAK_STEPS", 300)) * time.Second
	var total simStats
	violations := 0
	for seed := first; seed < first+seeds; seed++ {
		s := runSim(uint64(seed), length, rules{})
		if s.failure != "" {
			violations++
			t.Errorf("seed %d %s", seed, s.failure)
		}
		if without := s.heal(); len(without) > 0 {
			t.Errorf("seed %d: groups %v have no owner %v after the last fault", seed, without, healTime)
		}
		total.add(s.stats)
	}
	t.Logf("%d runs of %v, %d violations: %+v", seeds, length, violations, total)
	// One run alone need not see each kind of change.
	assert.Assert(t, seeds < 10 || total.Successions > seeds && total.SelfSuccessions > 0 && total.SetChanges > 0)
}

func (a *simStats) add(b simStats) {
	a.Successions += b.Successions
	a.SelfSuccessions += b.SelfSuccessions
	a.SetChanges += b.SetChanges
	a.Releases += b.Releases
	a.Kills += b.Kills
	a.Replacements += b.Replacements
	a.LivedOn += b.LivedOn
	a.Pauses += b.Pauses
	a.Cuts += b.Cuts
	a.Outages += b.Outages
	a.LostAnswers += b.LostAnswers
	a.HeldSeconds += b.HeldSeconds
}

// Each part of the rule is taken out in turn; the same run must see it.
func TestMutationsAreCaught(t *testing.T) {
	mutations := []struct {
		name  string
		rules rules
		first int // a seed that shows the fault
	}{
		{"store alone revokes", rules{storeAloneRevokes: true}, 68},
		{"renewal counted from receipt", rules{renewFromReceipt: true}, 234},
		{"promise forgotten", rules{promiseForgotten: true}, 26},
		{"no wait", rules{noWait: true}, 101},
		{"replaced process answers for its predecessor", rules{answerForAnother: true}, 74},
		{"old set alone while a change is unknown", rules{oldSetAlone: true}, 5744},
		{"gone without grace", rules{goneWithoutGrace: true}, 2265},
		{"store renews a marked row", rules{markedRowIsRenewed: true}, 221},
		{"age of the first acknowledgement", rules{ageOfFirst: true}, 31},
		{"reads that renew ignored", rules{storeReadsIgnored: true}, 83},
		{"row's age ignored", rules{rowAgeIgnored: true}, 20},
	}
	// With ENDIVE_MUTATION_SEEDS each is run on that many seeds.
	tries := fromEnv("ENDIVE_MUTATION_SEEDS", 0)
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			caught := 0
			for seed := m.first; seed < m.first+max(tries, 1); seed++ {
				if s := runSim(uint64(seed), 300*time.Second, m.rules); s.failure != "" {
					caught++
					if caught == 1 {
						t.Logf("seed %d %s", seed, s.failure)
					}
				}
			}
			t.Logf("caught in %d of %d runs", caught, max(tries, 1))
			assert.Assert(t, caught > 0)
		})
	}
}

func TestRowCodec(t *testing.T) {
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
