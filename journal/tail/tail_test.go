package tail

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

type faults struct {
	noFence       bool
	storeOnly     bool // a successor doesn't read the witnesses
	markTooSoon   bool // a successor that is outrun has moved the mark
	noMark        bool // entries that the store has had are read again
	witnessesOnly bool // a successor doesn't read the store
}

// model runs the tail of one group: owners in succession, the superseded ones
// going on, witnesses that die one at a time, and a store with outages whose
// answers are lost.
type model struct {
	rng       *rand.Rand
	faults    faults
	storeUp   bool
	stored    []journal.Record
	mark      Position
	ended     map[structs.ProgramID]bool // and acknowledged
	unsettled map[structs.ProgramID]bool // its end was written
	epoch     structs.Epoch
	since     structs.Epoch // of the owner
	sets      [][]lease.Member
	witnesses map[structs.Incarnation]*WitnessLog
	owners    []*modelOwner // the last one is the owner
	acked     []journal.Record
	starts    int
	dead      int // members of the current set that died
	stats     map[string]int
	failure   string
}

type modelOwner struct {
	tail    *OwnerLog
	self    structs.Incarnation
	sets    [][]lease.Member
	next    map[structs.ProgramID]uint64
	waiting []waiting
	ended   int
}

type waiting struct {
	upto    uint64
	records []journal.Record
}

func newModel(seed uint64, f faults) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 2)), faults: f, storeUp: true, epoch: 1, since: 1,
		witnesses: make(map[structs.Incarnation]*WitnessLog), stats: make(map[string]int),
		ended: make(map[structs.ProgramID]bool), unsettled: make(map[structs.ProgramID]bool),
	}
	set := m.newSet(nil)
	m.sets = [][]lease.Member{set}
	m.owners = []*modelOwner{{tail: NewOwnerLog(0, 1), self: set[0].Incarnation, sets: m.sets, next: make(map[structs.ProgramID]uint64)}}
	return m
}

// newSet keeps the living members of a set and adds new ones up to three.
func (m *model) newSet(from []lease.Member) []lease.Member {
	set := slices.DeleteFunc(slices.Clone(from), func(w lease.Member) bool { return m.witnesses[w.Incarnation] == nil })
	for len(set) < 3 {
		m.starts++
		inc := structs.Incarnation(fmt.Sprint("w", m.starts))
		m.witnesses[inc] = NewWitnessLog(1 << 14)
		m.witnesses[inc].noFence = m.faults.noFence
		set = append(set, lease.Member{Incarnation: inc})
	}
	return set
}

func (m *model) owner() *modelOwner { return m.owners[len(m.owners)-1] }

func (m *model) step() {
	o := m.owners[m.rng.IntN(len(m.owners))]
	if m.rng.IntN(2) == 0 {
		o = m.owner()
	}
	switch n := m.rng.IntN(100); {
	case n < 30:
		m.append(o)
	case n < 75:
		m.exchange(o)
	case n < 85:
		m.drain(o)
	case n < 89:
		m.storeUp = m.rng.IntN(3) == 0
	case n < 91:
		m.kill()
	case n < 94:
		m.changeSet()
	case n < 96:
		m.takeAgain()
	case n < 98:
		m.succeed()
	}
	for _, o := range m.owners {
		m.acknowledge(o)
	}
}

func (m *model) append(o *modelOwner) {
	if o.tail.Bytes() > 1<<13 {
		m.stats["refused"]++
		return
	}
	program := structs.ProgramID(fmt.Sprint("d/", o.self, m.rng.IntN(3), o.ended))
	for _, known := range slices.Sorted(maps.Keys(o.next)) {
		if m.rng.IntN(len(o.next)) == 0 {
			program = known
		}
	}
	o.next[program]++
	r := journal.Record{Epoch: o.tail.Epoch(), Program: program, Seq: o.next[program], Kind: journal.KindTurn}
	if m.rng.IntN(10) == 0 {
		r.Kind = journal.KindEnded
		delete(o.next, program)
		o.ended++
		m.unsettled[program] = true
	}
	r.Body = []byte(fmt.Sprint(o.self, r.Epoch, r.Seq))
	o.waiting = append(o.waiting, waiting{upto: o.tail.Append([]journal.Record{r}), records: []journal.Record{r}})
}

func (m *model) exchange(o *modelOwner) {
	set := o.sets[m.rng.IntN(len(o.sets))]
	to := set[m.rng.IntN(len(set))].Incarnation
	batch, _ := o.tail.Batch(to, 1+m.rng.IntN(5))
	w := m.witnesses[to]
	if w == nil || m.rng.IntN(4) == 0 {
		return
	}
	ack := w.Append(batch)
	if m.rng.IntN(4) == 0 {
		return
	}
	o.tail.RecordAck(to, ack)
}

func (m *model) drain(o *modelOwner) {
	if !m.storeUp || o != m.owner() {
		return
	}
	for _, e := range o.tail.UnstoredEntries() {
		m.stored = append(m.stored, e.Record)
	}
	m.mark = Position{Epoch: o.tail.Epoch(), Index: o.tail.LastIndex()}
	m.stats["drains"]++
	if m.rng.IntN(3) == 0 {
		m.compact()
	}
	if m.rng.IntN(4) != 0 {
		o.tail.MarkStored(o.tail.LastIndex())
	}
}

// compact leaves ended programs out of the store.
func (m *model) compact() {
	live, err := Merge(m.stored)
	if err != nil {
		m.failure = err.Error()
	}
	m.stored = live
}

func (m *model) acknowledge(o *modelOwner) {
	durable := o.tail.DurableIndex(o.sets)
	for len(o.waiting) > 0 && o.waiting[0].upto <= durable {
		for _, r := range o.waiting[0].records {
			m.acked = append(m.acked, r)
			m.ended[r.Program] = m.ended[r.Program] || r.Kind == journal.KindEnded
		}
		o.waiting = o.waiting[1:]
	}
}

// kill ends one witness; the next dies only after a change of the set.
func (m *model) kill() {
	set := m.sets[0]
	if m.dead > 0 || len(m.sets) > 1 {
		return
	}
	m.dead++
	m.stats["kills"]++
	delete(m.witnesses, set[1+m.rng.IntN(2)].Incarnation)
}

func (m *model) changeSet() {
	if !m.storeUp {
		return
	}
	o := m.owner()
	if len(m.sets) == 1 {
		m.sets = [][]lease.Member{m.sets[0], m.newSet(m.sets[0])}
		o.sets = m.sets
		return
	}
	if o.tail.DurableIndex(m.sets[1:]) < o.tail.LastIndex() {
		return
	}
	m.sets = m.sets[1:]
	o.sets = m.sets
	m.dead = 0
	m.stats["set changes"]++
}

func (m *model) takeAgain() {
	if !m.storeUp {
		return
	}
	o := m.owner()
	for _, w := range m.sets[0][:m.rng.IntN(3)] {
		if witness := m.witnesses[w.Incarnation]; witness != nil {
			witness.Promise(0, m.epoch)
		}
	}
	m.epoch++
	shift := o.tail.CarryOver(m.epoch)
	for i := range o.waiting {
		o.waiting[i].upto -= shift
	}
	m.stats["self-successions"]++
}

func (m *model) succeed() {
	if !m.storeUp {
		return
	}
	var tails [][]Entry
	for _, set := range m.sets {
		read := 0
		for _, at := range m.rng.Perm(len(set)) {
			w := m.witnesses[set[at].Incarnation]
			if w == nil || 2*read > len(set) {
				continue
			}
			w.Promise(0, m.epoch)
			entries, _ := w.Read(0, m.epoch)
			if !m.faults.noMark {
				entries = EntriesAfter(EndOf(m.since-1), EntriesAfter(m.mark, entries))
			}
			tails = append(tails, entries)
			read++
		}
		if 2*read <= len(set) {
			return
		}
	}
	if m.faults.storeOnly {
		tails = nil
	}
	if m.faults.witnessesOnly {
		m.stored = nil
	}
	if m.rng.IntN(3) == 0 {
		m.outrun(tails)
		return
	}
	live, err := Merge(m.stored, tails...)
	if err != nil {
		m.failure = err.Error()
		return
	}
	m.stored = live
	m.checkAcked()
	m.epoch++
	m.since = m.epoch
	m.sets = [][]lease.Member{m.newSet(m.sets[len(m.sets)-1])}
	m.dead = 0
	m.starts++
	o := &modelOwner{tail: NewOwnerLog(0, m.epoch), self: structs.Incarnation(fmt.Sprint("o", m.starts)), sets: m.sets, next: make(map[structs.ProgramID]uint64)}
	for _, r := range live {
		o.next[r.Program] = r.Seq
	}
	m.owners = append(m.owners, o)
	m.owners = m.owners[max(0, len(m.owners)-3):]
	m.stats["successions"]++
}

// outrun stores what a successor read, then the owner takes the next epoch.
func (m *model) outrun(tails [][]Entry) {
	for _, entries := range tails {
		for _, e := range entries {
			m.stored = append(m.stored, e.Record)
		}
	}
	if m.faults.markTooSoon {
		m.mark = EndOf(m.epoch)
	}
	m.stats["outrun"]++
	m.takeAgain()
}

// checkAcked asserts that no acknowledged record of a live program is missing,
// and that no program is back whose end was acknowledged.
func (m *model) checkAcked() {
	have := make(map[string]bool)
	for _, r := range m.stored {
		if m.ended[r.Program] {
			m.failure = fmt.Sprintf("epoch %d: ended program %s is back", m.epoch, r.Program)
			return
		}
		have[fmt.Sprint(r.Program, r.Seq, string(r.Body))] = true
	}
	for _, r := range m.acked {
		if m.ended[r.Program] || m.unsettled[r.Program] {
			continue
		}
		if !have[fmt.Sprint(r.Program, r.Seq, string(r.Body))] {
			m.failure = fmt.Sprintf("epoch %d: record %d of %s, acknowledged under epoch %d, is missing", m.epoch, r.Seq, r.Program, r.Epoch)
			return
		}
	}
}

func runModel(seed uint64, steps int, f faults) *model {
	m := newModel(seed, f)
	for range steps {
		m.step()
		if m.failure != "" {
			return m
		}
	}
	m.storeUp = true
	for n := m.stats["successions"]; m.stats["successions"] == n && m.failure == ""; {
		m.succeed()
	}
	return m
}

func fromEnv(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func TestSoakTail(t *testing.T) {
	first, seeds, steps := fromEnv("ENDIVE_SOAK_FIRST", 1), fromEnv("ENDIVE_SOAK_SEEDS", 30), fromEnv("ENDIVE_SOAK_STEPS", 1000)
	total := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		m := runModel(uint64(seed), steps, faults{})
		if m.failure != "" {
			t.Errorf("seed %d: %s", seed, m.failure)
		}
		for name, n := range m.stats {
			total[name] += n
		}
		total["acknowledged"] += len(m.acked)
	}
	t.Logf("%d runs of %d steps: %v", seeds, steps, total)
	assert.Assert(t, total["successions"] > seeds && total["acknowledged"] > 0)
}

// Each part of the rule is taken out in turn; the same run must see it.
func TestMutationsAreCaught(t *testing.T) {
	for name, f := range map[string]faults{
		"no fence": {noFence: true}, "mark too soon": {markTooSoon: true}, "no mark": {noMark: true}, "store only": {storeOnly: true}, "witnesses only": {witnessesOnly: true},
	} {
		t.Run(name, func(t *testing.T) {
			caught := 0
			for seed := range uint64(20) {
				if m := runModel(seed+1, 1000, f); m.failure != "" {
					caught++
				}
			}
			t.Logf("caught in %d of 20 runs", caught)
			assert.Assert(t, caught > 0)
		})
	}
}

func TestFullWitnessKeepsNothingOfABatch(t *testing.T) {
	w := NewWitnessLog(200)
	o := NewOwnerLog(0, 1)
	o.Append([]journal.Record{{Program: "d/1", Seq: 1, Body: make([]byte, 50)}, {Program: "d/1", Seq: 2, Body: make([]byte, 50)}})
	batch, _ := o.Batch("w", 10)
	ack := w.Append(batch)
	assert.Assert(t, ack.IsFull)
	assert.Equal(t, w.Bytes(), int64(0))
}
