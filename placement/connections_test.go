package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// connSim runs the requests of one region: VMs choose through one TargetSet as with a
// placer, or each through its own, and keep idle connections to targets.
type connSim struct {
	connSimOptions
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	number  int
	sets    []*TargetSet // one for the placer, or one for each VM
	vms     []*simVM
	targets map[structs.TargetID]*simTarget
	waiting map[structs.ServiceID][]func() bool // requests at the placer that found no free slot
	simResult
}

type connSimOptions struct {
	vmsByDomain, targetsByDomain []int
	rate                         float64 // requests per second of all VMs
	minRun, maxRun               time.Duration
	domainDelay                  time.Duration // one way
	idle                         time.Duration // for which connections stay open
	maxIdle                      int           // idle connections of a VM to a target
	isEnabled                    bool
	isAlone                      bool // VMs choose by their own state
	reportPeriod                 time.Duration
	duration                     time.Duration
	at                           map[time.Duration]func(s *connSim)
}

type simResult struct {
	requests, opened int
	latency          time.Duration // sum
	slowest          []time.Duration
	maxQueue         int           // requests at one target beyond its slots, or at the placer
	queued           time.Duration // time with a queue beside a free slot
}

func (r simResult) openedShare() float64 { return float64(r.opened) / float64(r.requests) }

func (r simResult) meanLatency() time.Duration { return r.latency / time.Duration(r.requests) }

func (r simResult) String() string {
	slices.Sort(r.slowest)
	return fmt.Sprintf("%d requests, %.3f new connections a request, mean %v, p99 %v, largest queue %d, queue beside a free slot for %v",
		r.requests, r.openedShare(), r.meanLatency().Round(time.Millisecond/10), r.slowest[len(r.slowest)*99/100].Round(time.Millisecond), r.maxQueue, r.queued.Round(time.Millisecond))
}

type simVM struct {
	id     structs.VMID
	domain structs.DomainID
	idle   map[structs.TargetID][]time.Duration // expiries of idle connections
	reuse  Reuse
}

type simTarget struct {
	Target
	running int
	waiting []func()
}

type simEvent struct {
	at     time.Duration
	number int
	run    func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *connSim) after(d time.Duration, run func()) {
	s.number++
	heap.Push(&s.events, simEvent{at: s.now + d, number: s.number, run: run})
}

func simDomain(n int) structs.DomainID { return structs.DomainID(fmt.Sprint("d", n)) }

func runConnSim(o connSimOptions) simResult {
	s := &connSim{connSimOptions: o, rng: rand.New(rand.NewPCG(7, 7)), targets: make(map[structs.TargetID]*simTarget), waiting: make(map[structs.ServiceID][]func() bool)}
	for d, n := range o.vmsByDomain {
		for i := range n {
			s.vms = append(s.vms, &simVM{id: structs.VMID(fmt.Sprint("vm-", d, "-", i)), domain: simDomain(d), idle: make(map[structs.TargetID][]time.Duration)})
		}
	}
	s.sets = []*TargetSet{New("d0", "r")}
	if o.isAlone {
		s.sets = nil
		for _, vm := range s.vms {
			s.sets = append(s.sets, New(vm.domain, "r"))
		}
	}
	n := 0
	for d, count := range o.targetsByDomain {
		for range count {
			t := &simTarget{Target: Target{
				ID: structs.TargetID(fmt.Sprintf("t%02d", n)), Service: []structs.ServiceID{"engine", "plain"}[n%2],
				Domain: simDomain(d), Region: "r", Slots: 6,
			}}
			t.Address = string(t.ID)
			s.targets[t.ID] = t
			for _, set := range s.sets {
				set.Put(t.Target)
			}
			n++
		}
	}
	for when, run := range o.at {
		s.after(when, func() { run(s) })
	}
	if o.isAlone {
		s.after(o.reportPeriod, s.reportLoads)
	}
	s.after(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > o.duration {
			break
		}
		if s.hasQueueBesideFreeSlot() {
			s.queued += e.at - s.now
		}
		s.now = e.at
		e.run()
	}
	return s.simResult
}

// arrive starts a request at a VM drawn at random.
func (s *connSim) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	n := s.rng.IntN(len(s.vms))
	run := s.minRun + time.Duration(s.rng.Int64N(int64(s.maxRun-s.minRun)))
	s.begin(n, []structs.ServiceID{"engine", "plain"}[s.rng.IntN(2)], run)
}

func (s *connSim) begin(n int, service structs.ServiceID, run time.Duration) {
	start, vm, set, delay := s.now, s.vms[n], s.sets[0], 2*s.domainDelay/3 // a third of the VMs are near the placer
	if s.isAlone {
		set, delay = s.sets[n], 0
	}
	q := Query{Service: service, Domain: vm.domain}
	change := vm.reuse.Update(at(s.now), service, set.TargetsInReach(service), s.idle, len(s.vms) > 16)
	if s.isEnabled {
		q.DomainDelay = 2 * s.domainDelay
		if change.IsSparse {
			q.Group, q.Connected = vm.id, vm.connected(s.now)
		}
	}
	try := func() bool {
		choice, ok := set.Choose(at(s.now), q)
		if !ok || !choice.HasFreeSlot && !s.isAlone {
			return false
		}
		set.BeginRequest(choice.Target.ID)
		s.after(delay, func() { s.send(vm, set, choice.Target, run, start, delay) })
		return true
	}
	s.after(delay, func() {
		if len(s.waiting[service]) > 0 || !try() {
			s.waiting[service] = append(s.waiting[service], try)
			s.maxQueue = max(s.maxQueue, len(s.waiting[service]))
		}
	})
}

func (vm *simVM) connected(now time.Duration) map[structs.TargetID]bool {
	connected := make(map[structs.TargetID]bool)
	for id, expiries := range vm.idle {
		if len(expiries) > 0 && expiries[len(expiries)-1] > now {
			connected[id] = true
		}
	}
	return connected
}

// send sends a request over an idle connection, or over a new one.
func (s *connSim) send(vm *simVM, set *TargetSet, chosen Target, run, start, delay time.Duration) {
	trip := time.Millisecond
	if chosen.Domain != vm.domain {
		trip = 2 * s.domainDelay
	}
	wait := trip / 2
	idle := slices.DeleteFunc(vm.idle[chosen.ID], func(expiry time.Duration) bool { return expiry <= s.now })
	switch {
	case len(idle) > 0 && s.isEnabled && vm.reuse.IsSparse(chosen.Service):
		vm.idle[chosen.ID] = idle[1:]
	case len(idle) > 0:
		vm.idle[chosen.ID] = idle[:len(idle)-1]
	default:
		s.opened++
		wait += trip
	}
	s.requests++
	target := s.targets[chosen.ID]
	serve := func() {
		s.after(run, func() {
			target.running--
			if len(target.waiting) > 0 {
				next := target.waiting[0]
				target.waiting = target.waiting[1:]
				target.running++
				next()
			}
			s.after(trip/2, func() {
				took := s.now - start
				s.latency += took
				s.slowest = append(s.slowest, took)
				idle := append(vm.idle[chosen.ID], s.now+s.idle)
				vm.idle[chosen.ID] = idle[max(len(idle)-s.maxIdle, 0):]
				s.after(delay, func() {
					set.RecordResult(at(s.now), chosen.ID, ResultAnswered, run)
					waiting := s.waiting[chosen.Service]
					for len(waiting) > 0 && waiting[0]() {
						waiting = waiting[1:]
					}
					s.waiting[chosen.Service] = waiting
				})
			})
		})
	}
	s.after(wait, func() {
		if target.running < target.Slots {
			target.running++
			serve()
			return
		}
		target.waiting = append(target.waiting, serve)
		s.maxQueue = max(s.maxQueue, len(target.waiting))
	})
}

func (s *connSim) hasQueueBesideFreeSlot() bool {
	for _, service := range []structs.ServiceID{"engine", "plain"} {
		hasQueue, hasFree := len(s.waiting[service]) > 0, false
		for _, t := range s.targets {
			if t.Service == service {
				hasQueue = hasQueue || len(t.waiting) > 0
				hasFree = hasFree || t.running < t.Slots && !t.IsDraining
			}
		}
		if hasQueue && hasFree {
			return true
		}
	}
	return false
}

func (s *connSim) reportLoads() {
	for i, from := range s.sets {
		report := from.LoadReport()
		for j, to := range s.sets {
			if i != j {
				to.Report(at(s.now), s.vms[i].id, report)
			}
		}
	}
	s.after(s.reportPeriod, s.reportLoads)
}

// quoteDesk is the load of a region of a large fleet: 38 VMs, 44 targets, 450 requests a
// second, targets that close idle connections after 4 s (less hop's margin).
func quoteDesk() connSimOptions {
	return connSimOptions{
		vmsByDomain: []int{13, 13, 12}, targetsByDomain: []int{15, 15, 14}, rate: 450,
		minRun: 100 * time.Millisecond, maxRun: 500 * time.Millisecond, domainDelay: 5400 * time.Microsecond,
		idle: 3300 * time.Millisecond, maxIdle: 2, duration: time.Minute, reportPeriod: 500 * time.Millisecond,
	}
}

// compareConnections runs a load without and with the preference for connected targets.
func compareConnections(t *testing.T, o connSimOptions) (without, with simResult) {
	t.Helper()
	without = runConnSim(o)
	o.isEnabled = true
	with = runConnSim(o)
	t.Logf("without: %v", without)
	t.Logf("with:    %v", with)
	return without, with
}

// Guards against a fleet in which every VM connects to every target, and against paying for
// fewer connections with queues or latency.
func TestSparseFleetOpensAFifthOfTheConnections(t *testing.T) {
	without, with := compareConnections(t, quoteDesk())
	assert.Assert(t, with.openedShare() <= without.openedShare()/5)
	assert.Assert(t, with.maxQueue <= without.maxQueue)
	assert.Assert(t, with.queued <= without.queued)
	assert.Assert(t, with.meanLatency() <= without.meanLatency())
}

// Fleets whose connections are reused anyway must choose as before: the same requests give
// the same figures.
func TestSmallFleetChoosesAsBefore(t *testing.T) {
	o := quoteDesk()
	o.vmsByDomain, o.targetsByDomain, o.rate = []int{3, 3, 3}, []int{6, 5, 5}, 9*33
	o.minRun, o.maxRun, o.domainDelay, o.isAlone = 50*time.Millisecond, 250*time.Millisecond, 250*time.Microsecond, true
	o.maxIdle, o.duration = 16, 20*time.Second
	without, with := compareConnections(t, o)
	assert.DeepEqual(t, with.slowest, without.slowest)
	assert.Equal(t, with.opened, without.opened)
}

// Guards against VMs that can't reach their placer paying more for the preference than they
// did for choosing by old loads.
func TestLostPlacerDoesNotAddQueues(t *testing.T) {
	o := quoteDesk()
	o.isAlone, o.duration = true, 30*time.Second
	without, with := compareConnections(t, o)
	assert.Assert(t, with.openedShare() <= without.openedShare()/5)
	assert.Assert(t, with.maxQueue <= without.maxQueue)
	assert.Assert(t, with.queued <= without.queued)
}

// Guards against queues when half of the targets of a failure domain leave at once, with
// the connections that VMs keep to them.
func TestHalfOfADomainLeaves(t *testing.T) {
	o := quoteDesk()
	o.at = map[time.Duration]func(*connSim){30 * time.Second: func(s *connSim) {
		for n := range 8 {
			left := s.targets[structs.TargetID(fmt.Sprintf("t%02d", n))]
			left.IsDraining = true
			s.sets[0].Put(left.Target)
		}
	}}
	without, with := compareConnections(t, o)
	assert.Assert(t, with.openedShare() <= without.openedShare()/5)
	assert.Assert(t, with.maxQueue <= without.maxQueue)
	assert.Assert(t, with.queued <= without.queued)
}

// A VM that has restarted has no connections and opens them to its group.
func TestRestartedVMConnectsToItsGroup(t *testing.T) {
	s := New("d0", "r")
	for n := range 21 {
		s.Put(target(fmt.Sprintf("t%02d", n), fmt.Sprint("d", n%3), "r"))
	}
	q := Query{Service: service, Domain: "d1", Group: "vm-7"}
	opened := make(map[structs.TargetID]bool)
	for range 16 { // four targets of four slots
		choice, _ := s.Choose(0, q)
		assert.Equal(t, choice.Target.Domain, structs.DomainID("d1"))
		opened[choice.Target.ID] = true
		s.BeginRequest(choice.Target.ID)
	}
	assert.Equal(t, len(opened), minGroupTargets)
	choice, ok := s.Choose(0, q)
	assert.Assert(t, ok && choice.HasFreeSlot && !opened[choice.Target.ID], "a full group must not make a request wait")
	for id := range opened {
		s.Remove(id)
		break
	}
	g := s.newGroup(q, s.services[service])
	kept := 0
	for id := range opened {
		if st := s.targets[id]; st != nil && g.contains(st) {
			kept++
		}
	}
	assert.Equal(t, kept, minGroupTargets-1, "a target that leaves must change one place of a group")
}

// A connection to a target whose queue is long must not attract requests.
func TestConnectedTargetWithLongQueueIsNotChosen(t *testing.T) {
	s := newSet()
	q := Query{Group: "vm", Connected: map[structs.TargetID]bool{"b": true}}
	assert.Equal(t, choose(t, s, 0, q), structs.TargetID("b"))
	for range 3 { // b has a free slot; a conversation returns over a new connection
		s.BeginRequest("b")
	}
	cached := Query{Group: "vm", Connected: map[structs.TargetID]bool{"a": true}, CacheTarget: "b", DomainDelay: 10800 * time.Microsecond}
	assert.Equal(t, choose(t, s, 0, cached), structs.TargetID("b"))
	s.Report(0, "peer", map[structs.TargetID]int{"b": 9})
	assert.Equal(t, choose(t, s, 0, q), structs.TargetID("a"))
	s.Report(0, "peer", nil)
	s.RecordFull(0, "b")
	assert.Equal(t, choose(t, s, 0, q), structs.TargetID("a"))
}

// The measured delay must replace the assumed one within its bounds: noise must not make
// near failure domains cheaper, nor a stray figure of a peer make one unusable.
func TestMeasuredDelayIsBounded(t *testing.T) {
	s := newSet()
	b := s.targets["b"]
	for delay, want := range map[time.Duration]float64{
		-time.Hour: domainCost, 0: domainCost, 300 * time.Microsecond: domainCost, 10800 * time.Microsecond: 10.8, time.Hour: regionCost,
	} {
		assert.Equal(t, s.distanceCost(b, Query{DomainDelay: delay}), want)
	}
	var times ConnectTimes
	assert.Equal(t, times.DomainDelay("d1", []structs.DomainID{"d1", "d2"}), time.Duration(0))
	times.Record(at(1), "d1", time.Millisecond)
	for n := range 100 { // waits for a processor lengthen most of them
		times.Record(at(time.Duration(n)*time.Second), "d2", 12*time.Millisecond+time.Duration(n%7)*9*time.Millisecond)
	}
	assert.Equal(t, times.DomainDelay("d1", []structs.DomainID{"d1", "d2", "d3"}), 11*time.Millisecond)
}

// Guards against a service that switches with every burst.
func TestReuseHasHysteresis(t *testing.T) {
	var r Reuse
	now, last := time.Duration(0), ReuseChange{}
	send := func(perSecond int, seconds time.Duration) {
		for range int(seconds) * perSecond {
			now += time.Second / time.Duration(perSecond)
			last = r.Update(at(now), service, 20, 4*time.Second, false)
		}
	}
	for _, step := range []struct {
		perSecond int
		want      bool
	}{{8, false}, {4, true}, {8, true}, {12, false}, {8, false}} {
		send(step.perSecond, 30)
		assert.Equal(t, last.IsSparse, step.want, "%d requests per second", step.perSecond)
	}
}
