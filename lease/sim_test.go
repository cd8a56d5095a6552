package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

var simConfig = Config{
	Groups: 2, Duration: 3 * time.Second, RenewInterval: time.Second, ClockDrift: 0.01,
	SuspectTimeout: 2500 * time.Millisecond, ExitGrace: 10 * time.Second,
}

const (
	simStoreTimeout = 2 * time.Second
	simListLag      = 20 * time.Second
)

// sim runs the processes of one domain, the table, the network between them
// and the VM list in virtual time. Faults are drawn from the seed.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	queue   simQueue
	order   int
	places  []*place
	rules   rules
	rows    map[Group]simRow
	storeUp bool
	cut     map[[2]int]bool // one direction; -1 is the table
	starts  int
	hidden  map[structs.VMID]bool // live, but not offered as a scheduler
	gone    map[structs.VMID]bool // no longer in the VM list
	old     map[structs.VMID]bool // replaced, so it starts no process again
	newVMs  int
	stats   simStats
	failure string
	calm    bool // no further faults
}

type simRow struct {
	row     Row
	version uint64
}

type simStats struct {
	Successions, SelfSuccessions, SetChanges, Releases int
	Kills, Replacements, LivedOn, Pauses, Cuts         int
	Outages, LostAnswers, HeldSeconds                  int
}

// place is one address. Two processes share it while a replaced VM lives on.
type place struct {
	index int
	procs []*proc
}

type proc struct {
	place  *place
	self   Member
	node   *Node
	rate   float64
	offset time.Duration
	dead   bool
	paused bool
	inbox  []func()
	told   map[structs.VMID]bool
}

func (p *proc) clock(now time.Duration) structs.Instant {
	return structs.Instant(float64(now)*p.rate) + structs.Instant(p.offset)
}

type simItem struct {
	at    time.Duration
	order int
	run   func()
}

type simQueue []simItem

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simItem)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSim(seed uint64, rules rules) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), rules: rules, storeUp: true,
		rows: make(map[Group]simRow), cut: make(map[[2]int]bool),
		hidden: make(map[structs.VMID]bool), gone: make(map[structs.VMID]bool),
		old: make(map[structs.VMID]bool),
	}
	for i := range []int{3, 3, 5, 1, 2, 4}[seed%6] {
		p := &place{index: i}
		s.places = append(s.places, p)
		s.start(p, structs.VMID(fmt.Sprintf("vm%d", i)))
	}
	s.after(time.Second, s.fault)
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simItem{at: s.now + d, order: s.order, run: run})
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) start(p *place, vm structs.VMID) {
	s.starts++
	pr := &proc{
		place: p,
		self:  Member{Incarnation: structs.Incarnation(fmt.Sprintf("%s#%d", vm, s.starts)), VM: vm, Addr: fmt.Sprint(p.index)},
		rate:  1 + simConfig.ClockDrift*(2*s.rng.Float64()-1), offset: s.upTo(2*time.Hour) - time.Hour,
		told: make(map[structs.VMID]bool),
	}
	pr.node = NewNode(simConfig, pr.self)
	pr.node.rules, pr.node.witness.rules = s.rules, s.rules
	p.procs = append(p.procs, pr)
	s.tick(pr)
}

func (s *sim) kill(pr *proc) {
	pr.dead = true
	for i, other := range pr.place.procs {
		if other == pr {
			pr.place.procs = append(pr.place.procs[:i:i], pr.place.procs[i+1:]...)
			return
		}
	}
}

func (s *sim) tick(pr *proc) {
	if pr.dead {
		return
	}
	s.deliver(pr, func() {
		s.membership(pr)
		s.step(pr, Tick{})
	})
	s.after(s.upTo(simConfig.RenewInterval), func() { s.deliver(pr, func() { s.step(pr, Wake{}) }) })
	if s.rng.IntN(3) == 0 {
		for g := range simConfig.Groups {
			s.read(pr, Group(g))
		}
	}
	s.after(simConfig.RenewInterval-50*time.Millisecond+s.upTo(100*time.Millisecond), func() { s.tick(pr) })
}

// membership gives a process the live schedulers as the VM list, without lag
// for those added, and its peers' answers show them.
func (s *sim) membership(pr *proc) {
	var members []Member
	for _, p := range s.places {
		for _, other := range p.procs {
			vm := other.self.VM
			if !s.gone[vm] && !s.hidden[vm] {
				members = append(members, other.self)
			}
			s.hello(pr, other)
		}
	}
	s.step(pr, Peers{Members: members})
	for vm := range s.gone {
		if !pr.told[vm] {
			pr.told[vm] = true
			s.step(pr, VMRemoved{VM: vm})
		}
	}
}

func (s *sim) hello(pr, other *proc) {
	if s.cut[[2]int{pr.place.index, other.place.index}] || s.cut[[2]int{other.place.index, pr.place.index}] || other == pr || other.paused {
		return
	}
	ev := ProcessSeen{Sent: pr.clock(s.now), Member: other.self}
	s.after(s.upTo(100*time.Millisecond), func() { s.deliver(pr, func() { s.step(pr, ev) }) })
}

// deliver runs an input of a process, later when it is paused.
func (s *sim) deliver(pr *proc, run func()) {
	if pr.dead {
		return
	}
	if pr.paused {
		pr.inbox = append(pr.inbox, run)
		return
	}
	run()
}

func (s *sim) step(pr *proc, ev Event) {
	actions, err := pr.node.Step(pr.clock(s.now), ev)
	if err != nil {
		s.fail(err.Error())
	}
	for _, a := range actions {
		s.act(pr, a)
	}
	s.check()
}

// check asserts that no group has two owners at this instant.
func (s *sim) check() {
	for g := range simConfig.Groups {
		var owner *proc
		for _, p := range s.places {
			for _, pr := range p.procs {
				if _, held := pr.node.HeldEpoch(pr.clock(s.now), Group(g)); !held {
					continue
				}
				if owner != nil {
					s.fail(fmt.Sprintf("group %d has owners %s and %s", g, owner.self.Incarnation, pr.self.Incarnation))
				}
				owner = pr
			}
		}
	}
}

func (s *sim) fail(what string) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %v: %s", s.now, what)
	}
}

func (s *sim) act(pr *proc, a Action) {
	switch a := a.(type) {
	case SendMessage:
		s.send(pr, a.Message)
	case ReadRow:
		s.read(pr, a.Group)
	case WriteRow:
		s.write(pr, a)
	case MoveTail:
		s.after(s.upTo(2*time.Second), func() {
			s.deliver(pr, func() { s.step(pr, TailMoved{Group: a.Group, Epoch: a.Epoch}) })
		})
	case CollectTail:
		s.after(s.upTo(2*time.Second), func() {
			s.deliver(pr, func() { s.step(pr, TailCollected{Group: a.Group, Epoch: a.Epoch}) })
		})
	case Handover:
		s.after(s.upTo(2*time.Second), func() {
			s.deliver(pr, func() { s.step(pr, HandoverReady(a)) })
		})
	}
}

func (s *sim) delay() time.Duration {
	if s.calm {
		return s.upTo(20 * time.Millisecond)
	}
	switch s.rng.IntN(20) {
	case 0:
		return s.upTo(15 * time.Second)
	case 1, 2:
		return s.upTo(2 * time.Second)
	}
	return s.upTo(20 * time.Millisecond)
}

// send carries a message to an address. Whoever has the address gets it.
func (s *sim) send(pr *proc, msg Message) {
	var to int
	fmt.Sscan(msg.To.Addr, &to)
	if !s.calm && s.rng.IntN(20) == 0 {
		return
	}
	s.after(s.delay(), func() {
		if s.cut[[2]int{pr.place.index, to}] || len(s.places[to].procs) == 0 {
			return
		}
		procs := s.places[to].procs
		receiver := procs[s.rng.IntN(len(procs))]
		s.deliver(receiver, func() { s.step(receiver, MessageReceived{Message: msg}) })
	})
}
