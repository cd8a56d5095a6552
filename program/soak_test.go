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

// play runs one world for some steps and then drains it.
func play(draw func(int) int, steps int, r rules) *world {
	w := newWorld(draw, r)
	for range steps {
		w.random()
		if w.err != nil {
			return w
		}
	}
	w.drain()
	return w
}

func seeded(seed uint64) func(int) int {
	source := rand.New(rand.NewPCG(seed, 1))
	return source.IntN
}

func env(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

func TestSoakProgram(t *testing.T) {
	first := env("ENDIVE_SOAK_FIRST", 1)
	seeds := env("ENDIVE_SOAK_SEEDS", 40)
	steps := env("ENDIVE_SOAK_STEPS", 1000)
	injected := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		w := play(seeded(uint64(seed)), steps, rules{})
		assert.NilError(t, w.err, "seed %d", seed)
		for name, n := range w.injected {
			injected[name] += n
		}
	}
	t.Logf("%d seeds of %d steps, no violation; injected: %v", seeds, steps, injected)
}

func TestRapidProgram(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := 0
		draw := func(n int) int {
			steps++
			return rapid.IntRange(0, n-1).Draw(rt, fmt.Sprintf("draw %d", steps))
		}
		w := play(draw, 60, rules{})
		if w.err != nil {
			rt.Fatal(w.err)
		}
	})
}

// caught counts the seeds in which a changed rule is noticed.
func caught(r rules) (count int, first error) {
	const seeds, steps = 20, 1000
	for seed := range uint64(seeds) {
		if w := play(seeded(seed+1), steps, r); w.err != nil {
			count++
			if first == nil {
				first = w.err
			}
		}
	}
	return count, first
}

func TestMissingIntentIsNoticed(t *testing.T) {
	count, first := caught(rules{skipIntent: true})
	assert.Assert(t, count > 0)
	t.Logf("noticed in %d seeds of 20, first: %v", count, first)
}

func TestMissingRecoveryIsNoticed(t *testing.T) {
	count, first := caught(rules{skipRecovery: true})
	assert.Assert(t, count > 0)
	t.Logf("noticed in %d seeds of 20, first: %v", count, first)
}
