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

// sim runs the processes of one failure domain, the table, the network between them and
// the VM list in virtual time. The seed determines all faults.
type sim struct {
	rng         *rand.Rand
	now         time.Duration
	queue       simQueue
	pushed      int
	addresses   []*address
	mutations   mutations
	rows        map[Group]simRow
	isStoreUp   bool
	cutLinks    map[[2]int]bool // by direction; -1 is the table
	starts      int
	unoffered   map[structs.VMID]bool // live, but missing from Peers
	removedVMs  map[structs.VMID]bool // no longer in the VM list
	replacedVMs map[structs.VMID]bool // replaced, so no process starts there again
	vmsAdded    int
	stats       simStats
	failure     string
	noFaults    bool // no further faults are injected
}

type simRow struct {
	row     Row
	version uint64
}

type simStats struct {
	Successions, SelfSuccessions, SetChanges, Releases int
	Kills, Replacements, OldVMsKept, Pauses, Cuts      int
	Outages, LostReplies, HeldSeconds                  int
}

// address is one network address. Two processes share it while a replaced VM still runs.
type address struct {
	index     int
	processes []*process
}

type process struct {
	address     *address
	self        Member
	node        *Node
	rate        float64
	offset      time.Duration
	isDead      bool
	isPaused    bool
	inbox       []func()
	toldRemoved map[structs.VMID]bool
}

func (p *process) clock(now time.Duration) structs.Instant {
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

func newSim(seed uint64, mutations mutations) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), mutations: mutations, isStoreUp: true,
		rows: make(map[Group]simRow), cutLinks: make(map[[2]int]bool),
		unoffered: make(map[structs.VMID]bool), removedVMs: make(map[structs.VMID]bool),
		replacedVMs: make(map[structs.VMID]bool),
	}
	for i := range []int{3, 3, 5, 1, 2, 4}[seed%6] {
		p := &address{index: i}
		s.addresses = append(s.addresses, p)
		s.start(p, structs.VMID(fmt.Sprintf("vm%d", i)))
	}
	s.after(time.Second, s.injectFault)
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.pushed++
	heap.Push(&s.queue, simItem{at: s.now + d, order: s.pushed, run: run})
}

func (s *sim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *sim) start(p *address, vm structs.VMID) {
	s.starts++
	pr := &process{
		address: p,
		self:    Member{Incarnation: structs.Incarnation(fmt.Sprintf("%s#%d", vm, s.starts)), VM: vm, Addr: fmt.Sprint(p.index)},
		rate:    1 + simConfig.ClockDrift*(2*s.rng.Float64()-1), offset: s.randomDuration(2*time.Hour) - time.Hour,
		toldRemoved: make(map[structs.VMID]bool),
	}
	pr.node = NewNode(simConfig, pr.self)
	pr.node.mutations, pr.node.witness.mutations = s.mutations, s.mutations
	p.processes = append(p.processes, pr)
	s.tick(pr)
}

func (s *sim) kill(pr *process) {
	pr.isDead = true
	for i, other := range pr.address.processes {
		if other == pr {
			pr.address.processes = append(pr.address.processes[:i:i], pr.address.processes[i+1:]...)
			return
		}
	}
}

func (s *sim) tick(pr *process) {
	if pr.isDead {
		return
	}
	s.deliver(pr, func() {
		s.membership(pr)
		s.step(pr, Tick{})
	})
	s.after(s.randomDuration(simConfig.RenewInterval), func() { s.deliver(pr, func() { s.step(pr, Wake{}) }) })
	if s.rng.IntN(3) == 0 {
		for g := range simConfig.Groups {
			s.read(pr, Group(g))
		}
	}
	s.after(simConfig.RenewInterval-50*time.Millisecond+s.randomDuration(100*time.Millisecond), func() { s.tick(pr) })
}

// membership gives a process the live schedulers and the VMs removed from the list, and
// probes its peers. New schedulers are listed without delay.
func (s *sim) membership(pr *process) {
	var members []Member
	for _, p := range s.addresses {
		for _, other := range p.processes {
			vm := other.self.VM
			if !s.removedVMs[vm] && !s.unoffered[vm] {
				members = append(members, other.self)
			}
			s.probe(pr, other)
		}
	}
	s.step(pr, Peers{Members: members})
	for vm := range s.removedVMs {
		if !pr.toldRemoved[vm] {
			pr.toldRemoved[vm] = true
			s.step(pr, VMRemoved{VM: vm})
		}
	}
}

func (s *sim) probe(pr, other *process) {
	if s.cutLinks[[2]int{pr.address.index, other.address.index}] || s.cutLinks[[2]int{other.address.index, pr.address.index}] || other == pr || other.isPaused {
		return
	}
	ev := ProcessSeen{Sent: pr.clock(s.now), Member: other.self}
	s.after(s.randomDuration(100*time.Millisecond), func() { s.deliver(pr, func() { s.step(pr, ev) }) })
}

// deliver runs an input of a process, or queues it while the process is paused.
func (s *sim) deliver(pr *process, run func()) {
	if pr.isDead {
		return
	}
	if pr.isPaused {
		pr.inbox = append(pr.inbox, run)
		return
	}
	run()
}

func (s *sim) step(pr *process, ev Event) {
	actions, err := pr.node.Step(pr.clock(s.now), ev)
	if err != nil {
		s.fail(err.Error())
	}
	for _, a := range actions {
		s.perform(pr, a)
	}
	s.checkOwners()
}

// checkOwners fails the run if a group has two owners at this instant.
func (s *sim) checkOwners() {
	for g := range simConfig.Groups {
		var owner *process
		for _, p := range s.addresses {
			for _, pr := range p.processes {
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

func (s *sim) fail(reason string) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %v: %s", s.now, reason)
	}
}

func (s *sim) perform(pr *process, a Action) {
	switch a := a.(type) {
	case SendMessage:
		s.send(pr, a.Message)
	case ReadRow:
		s.read(pr, a.Group)
	case WriteRow:
		s.write(pr, a)
	case MoveTail:
		s.after(s.randomDuration(2*time.Second), func() {
			s.deliver(pr, func() { s.step(pr, TailMoved{Group: a.Group, Epoch: a.Epoch}) })
		})
	case CollectTail:
		s.after(s.randomDuration(2*time.Second), func() {
			s.deliver(pr, func() { s.step(pr, TailCollected{Group: a.Group, Epoch: a.Epoch}) })
		})
	case Handover:
		s.after(s.randomDuration(2*time.Second), func() {
			s.deliver(pr, func() { s.step(pr, HandoverReady(a)) })
		})
	}
}

func (s *sim) delay() time.Duration {
	if s.noFaults {
		return s.randomDuration(20 * time.Millisecond)
	}
	switch s.rng.IntN(20) {
	case 0:
		return s.randomDuration(15 * time.Second)
	case 1, 2:
		return s.randomDuration(2 * time.Second)
	}
	return s.randomDuration(20 * time.Millisecond)
}

// send delivers a message to a process at the address, whichever has the address then.
func (s *sim) send(pr *process, msg Message) {
	var to int
	fmt.Sscan(msg.To.Addr, &to)
	if !s.noFaults && s.rng.IntN(20) == 0 {
		return
	}
	s.after(s.delay(), func() {
		if s.cutLinks[[2]int{pr.address.index, to}] || len(s.addresses[to].processes) == 0 {
			return
		}
		procs := s.addresses[to].processes
		receiver := procs[s.rng.IntN(len(procs))]
		s.deliver(receiver, func() { s.step(receiver, MessageReceived{Message: msg}) })
	})
}
