package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// quietTime is how long all must be well before another process may die, so
// that at most a minority of the witnesses of one record is lost.
const quietTime = 40 * time.Second

// soak drives one domain of three VMs with faults drawn from a seed.
type soak struct {
	t       *testing.T
	d       *domain
	rng     *rand.Rand
	lastBad time.Time // a fault was in force or a process died
	starts  int
	writers map[writerKey]*writer
	acked   map[structs.Slot][]journal.Record
	stats   map[string]int
}

type writerKey struct {
	keeper *Keeper
	slot   structs.Slot
	epoch  structs.Epoch
}

// writer is what an owner knows of the one program of a slot.
type writer struct{ next uint64 }

func fromEnv(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func TestSoakKeeper(t *testing.T) {
	first, seeds, steps := fromEnv("ENDIVE_SOAK_FIRST", 1), fromEnv("ENDIVE_SOAK_SEEDS", 2), fromEnv("ENDIVE_SOAK_STEPS", 150)
	total := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSoak(t, uint64(seed))
				defer s.d.stopAll()
				for range steps {
					s.step()
				}
				s.finish()
				for name, n := range s.stats {
					total[name] += n
				}
			})
		})
	}
	t.Logf("%d runs of %d steps: %v", seeds, steps, total)
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, d: newDomain(t), rng: rand.New(rand.NewPCG(seed, 3)), lastBad: time.Now(),
		writers: make(map[writerKey]*writer), acked: make(map[structs.Slot][]journal.Record), stats: make(map[string]int),
	}
	for _, vm := range three {
		s.d.start(vm, 0)
	}
	s.d.waitOwned(30 * time.Second)
	return s
}

func (s *soak) step() {
	time.Sleep(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	s.d.owners()
	s.d.set(func() {
		if s.d.down || len(s.d.cut) > 0 {
			s.lastBad = time.Now()
		}
	})
	vms := s.d.vms()
	vm := vms[s.rng.IntN(len(vms))]
	switch n := s.rng.IntN(100); {
	case n < 70:
		for range 5 {
			s.write(vms[s.rng.IntN(len(vms))])
		}
	case n < 71:
		s.d.set(func() { s.d.down = true })
	case n < 80:
		s.d.set(func() { s.d.down = false })
	case n < 81:
		s.d.set(func() { s.d.cut = map[string]bool{vm: true} })
	case n < 89:
		s.d.set(func() { s.d.cut = make(map[string]bool) })
	case n < 91:
		s.d.set(func() { s.d.lose = 2 + s.rng.IntN(10) })
	case time.Since(s.lastBad) > quietTime:
		s.end(vm, n)
	}
}

// end ends a process: restarted on its VM, its VM replaced, or stopped as
// planned.
func (s *soak) end(vm string, kind int) {
	s.lastBad = time.Now()
	s.starts++
	next := vm
	if kind == 99 {
		ctx, cancel := context.WithTimeout(s.t.Context(), 20*time.Second)
		defer cancel()
		assert.NilError(s.t, s.d.running[vm].keeper.ReleaseAll(ctx))
		s.stats["releases"]++
	}
	if kind < 96 {
		next = fmt.Sprintf("%s'", vm)
		s.stats["replacements"]++
	}
	s.d.kill(vm)
	s.stats["ends"]++
	s.d.set(func() { s.d.gone[structs.VMID(vm)] = next != vm })
	s.d.start(next, s.starts)
}

// write appends one record to a slot of the VM and remembers it if it was
// acknowledged.
func (s *soak) write(vm string) {
	k := s.d.running[vm].keeper
	slot := structs.Slot(s.rng.IntN(testSlots))
	epoch, held := k.HeldEpoch(slot)
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
	defer cancel()
	key := writerKey{keeper: k, slot: slot, epoch: epoch}
	w := s.writers[key]
	if w == nil {
		records, err := k.Recover(ctx, slot, epoch)
		if err != nil {
			return
		}
		s.check(slot, epoch, records)
		w = &writer{next: uint64(len(records)) + 1}
		s.writers[key] = w
		s.stats["recoveries"]++
	}
	r := turn(slot, epoch, fmt.Sprint("d/", slot), w.next)
	r.Body = []byte(fmt.Sprintf("%s %d %d", k.opts.Self.Incarnation, epoch, w.next))
	err := k.Append(ctx, []journal.Record{r})
	var fenced *journal.FencedError
	switch {
	case err == nil:
		s.acked[slot] = append(s.acked[slot], r)
		s.stats["acknowledged"]++
		w.next++
	case errors.As(err, &fenced):
		s.stats["fenced"]++
		delete(s.writers, key)
	default:
		s.stats["unknown"]++
		w.next++
	}
}

// check asserts that every acknowledged record is among the recovered ones.
func (s *soak) check(slot structs.Slot, epoch structs.Epoch, records []journal.Record) {
	for _, want := range s.acked[slot] {
		assert.Assert(s.t, int(want.Seq) <= len(records), "slot %d, epoch %d: %d records, acknowledged %q is missing", slot, epoch, len(records), want.Body)
		assert.Equal(s.t, string(records[want.Seq-1].Body), string(want.Body))
	}
}

// finish ends all faults; every slot must have an owner that recovers all.
func (s *soak) finish() {
	s.d.set(func() { s.d.down, s.d.cut, s.d.lose = false, make(map[string]bool), 0 })
	s.d.waitOwned(2 * time.Minute)
	time.Sleep(5 * time.Second)
	for slot := range structs.Slot(testSlots) {
		for _, vm := range s.d.vms() {
			k := s.d.running[vm].keeper
			if epoch, held := k.HeldEpoch(slot); held {
				records, err := k.Recover(s.t.Context(), slot, epoch)
				assert.NilError(s.t, err)
				s.check(slot, epoch, records)
			}
		}
	}
}
