package program

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func decode(data []byte, v any) error { return msgpack.Unmarshal(data, v) }

// runSimulation runs a simulation for the given number of steps and then drains
// it.
func runSimulation(draw func(int) int, steps int, r mutations) *simulation {
	w := newSimulation(draw, r)
	for range steps {
		w.randomEvent()
		if w.err != nil {
			return w
		}
	}
	w.drain()
	return w
}

func seededDraw(seed uint64) func(int) int {
	source := rand.New(rand.NewPCG(seed, 1))
	return source.IntN
}

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

// Failures of the journal, of targets and of the owner, in any order, must not
// lose an acknowledged turn, send a call twice that must not be repeated, exceed
// a budget or leave engine memory held. Each seed gives another order.
func TestSoakProgram(t *testing.T) {
	first := envInt("ENDIVE_SOAK_FIRST", 1)
	seeds := envInt("ENDIVE_SOAK_SEEDS", 40)
	steps := envInt("ENDIVE_SOAK_STEPS", 1000)
	injected := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		w := runSimulation(seededDraw(uint64(seed)), steps, mutations{})
		assert.NilError(t, w.err, "seed %d", seed)
		for name, n := range w.eventCounts {
			injected[name] += n
		}
	}
	t.Logf("%d seeds of %d steps, no violation; injected: %v", seeds, steps, injected)
}

// The same checks as in TestSoakProgram, on short runs that rapid can shrink to a
// minimal failing order.
func TestProgramInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := 0
		draw := func(n int) int {
			steps++
			return rapid.IntRange(0, n-1).Draw(rt, fmt.Sprintf("draw %d", steps))
		}
		w := runSimulation(draw, 60, mutations{})
		if w.err != nil {
			rt.Fatal(w.err)
		}
	})
}

// countDetections returns the number of seeds with which the checks detect the
// given mutations, and the first error.
func countDetections(r mutations) (count int, first error) {
	const seeds, steps = 20, 1000
	for seed := range uint64(seeds) {
		if w := runSimulation(seededDraw(seed+1), steps, r); w.err != nil {
			count++
			if first == nil {
				first = w.err
			}
		}
	}
	return count, first
}

// The checks of the simulation must detect that calls are sent without a durable
// intent. Otherwise a pass of the soak test would not show that intents work.
func TestDetectsMissingIntent(t *testing.T) {
	count, first := countDetections(mutations{skipIntent: true})
	assert.Assert(t, count > 0)
	t.Logf("detected with %d of 20 seeds, first error: %v", count, first)
}

// The checks of the simulation must detect that a new owner ignores the records
// of the slot.
func TestDetectsMissingRecovery(t *testing.T) {
	count, first := countDetections(mutations{skipRecovery: true})
	assert.Assert(t, count > 0)
	t.Logf("detected with %d of 20 seeds, first error: %v", count, first)
}
