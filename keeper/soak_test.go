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

// minStableTime is the time without a fault before another process may end, so that
// at most a minority of the witnesses of any record is lost.
const minStableTime = 40 * time.Second

// soak runs a domain of three VMs with random faults that depend only on a seed.
type soak struct {
	t            *testing.T
	d            *domain
	rng          *rand.Rand
	lastFault    time.Time // last time at which a fault was in force or a process ended
	starts       int
	writers      map[writerKey]*writer
	acknowledged map[structs.Slot][]journal.Record
	stats        map[string]int
}

type writerKey struct {
	keeper *Keeper
	slot   structs.Slot
	epoch  structs.Epoch
}

// writer holds the sequence number of the next record of a slot's only program.
type writer struct{ next uint64 }

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func TestSoakKeeper(t *testing.T) {
	first, seeds, steps := envInt("ENDIVE_SOAK_FIRST", 1), envInt("ENDIVE_SOAK_SEEDS", 2), envInt("ENDIVE_SOAK_STEPS", 150)
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
		t: t, d: newDomain(t), rng: rand.New(rand.NewPCG(seed, 3)), lastFault: time.Now(),
		writers: make(map[writerKey]*writer), acknowledged: make(map[structs.Slot][]journal.Record), stats: make(map[string]int),
	}
	for _, vm := range threeVMs {
		s.d.startScheduler(vm, 0)
	}
	s.d.waitOwned(30 * time.Second)
	return s
}

func (s *soak) step() {
	time.Sleep(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	s.d.heldByVM()
	s.d.update(func() {
		if s.d.isStoreDown || len(s.d.cutOff) > 0 {
			s.lastFault = time.Now()
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
		s.d.update(func() { s.d.isStoreDown = true })
	case n < 80:
		s.d.update(func() { s.d.isStoreDown = false })
	case n < 81:
		s.d.update(func() { s.d.cutOff = map[string]bool{vm: true} })
	case n < 89:
		s.d.update(func() { s.d.cutOff = make(map[string]bool) })
	case n < 91:
		s.d.update(func() { s.d.loseEvery = 2 + s.rng.IntN(10) })
	case time.Since(s.lastFault) > minStableTime:
		s.endProcess(vm, n)
	}
}

// endProcess ends a process and starts another: on the same VM, on a VM that replaces
// it, or on the same VM after a planned release.
func (s *soak) endProcess(vm string, kind int) {
	s.lastFault = time.Now()
	s.starts++
	nextVM := vm
	if kind == 99 {
		ctx, cancel := context.WithTimeout(s.t.Context(), 20*time.Second)
		defer cancel()
		assert.NilError(s.t, s.d.scheduler[vm].keeper.ReleaseAll(ctx))
		s.stats["releases"]++
	}
	if kind < 96 {
		nextVM = fmt.Sprintf("%s'", vm)
		s.stats["replacements"]++
	}
	s.d.kill(vm)
	s.stats["ends"]++
	s.d.update(func() { s.d.gone[structs.VMID(vm)] = nextVM != vm })
	s.d.startScheduler(nextVM, s.starts)
}

// write appends one record to a random slot, if the VM holds it, and keeps the record
// for check if it was acknowledged.
func (s *soak) write(vm string) {
	k := s.d.scheduler[vm].keeper
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
	r := turnRecord(slot, epoch, fmt.Sprint("d/", slot), w.next)
	r.Body = []byte(fmt.Sprintf("%s %d %d", k.opts.Self.Incarnation, epoch, w.next))
	err := k.Append(ctx, []journal.Record{r})
	var fenced *journal.FencedError
	switch {
	case err == nil:
		s.acknowledged[slot] = append(s.acknowledged[slot], r)
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

// check fails the test unless every acknowledged record was recovered.
func (s *soak) check(slot structs.Slot, epoch structs.Epoch, records []journal.Record) {
	for _, want := range s.acknowledged[slot] {
		assert.Assert(s.t, int(want.Seq) <= len(records), "slot %d, epoch %d: %d records, acknowledged %q is missing", slot, epoch, len(records), want.Body)
		assert.Equal(s.t, string(records[want.Seq-1].Body), string(want.Body))
	}
}

// finish ends all faults. Then every slot must get an owner that recovers all its
// acknowledged records.
func (s *soak) finish() {
	s.d.update(func() { s.d.isStoreDown, s.d.cutOff, s.d.loseEvery = false, make(map[string]bool), 0 })
	s.d.waitOwned(2 * time.Minute)
	time.Sleep(5 * time.Second)
	for slot := range structs.Slot(testSlots) {
		for _, vm := range s.d.vms() {
			k := s.d.scheduler[vm].keeper
			if epoch, held := k.HeldEpoch(slot); held {
				records, err := k.Recover(s.t.Context(), slot, epoch)
				assert.NilError(s.t, err)
				s.check(slot, epoch, records)
			}
		}
	}
}
