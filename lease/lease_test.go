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
	second := time.Duration(0)
	for s.queue.Len() > 0 && s.failure == "" {
		item := heap.Pop(&s.queue).(simItem)
		if item.at > length {
			break
		}
		for ; second < item.at; second += time.Second {
			s.now = second
			s.countHeld()
		}
		s.now = item.at
		item.run()
	}
	return s
}

func (s *sim) countHeld() {
	for g := range simConfig.Groups {
		for _, p := range s.places {
			for _, pr := range p.procs {
				if _, held := pr.node.Held(pr.clock(s.now), Group(g)); held {
					s.stats.HeldSeconds++
				}
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
		total.add(s.stats)
	}
	t.Logf("%d runs of %v, %d violations: %+v", seeds, length, violations, total)
	assert.Assert(t, total.Successions > seeds && total.SelfSuccessions > 0 && total.SetChanges > 0)
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
		{"store alone revokes", rules{storeAloneRevokes: true}, 6},
		{"renewal counted from receipt", rules{renewFromReceipt: true}, 60},
		{"promise forgotten", rules{promiseForgotten: true}, 2},
		{"no wait", rules{noWait: true}, 5},
		{"replaced process answers for its predecessor", rules{answerForAnother: true}, 17},
		{"old set alone while a change is unknown", rules{oldSetAlone: true}, 4562},
		{"gone without grace", rules{goneWithoutGrace: true}, 263},
		{"store renews a marked row", rules{markedRowIsRenewed: true}, 187},
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
	row := Row{Group: 3, Epoch: 9, Owner: m, Witnesses: []Member{m}, Pending: []Member{m}, Mark: &Mark{Epoch: 9, By: "b"}}
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
