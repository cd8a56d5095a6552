package edge

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// The bounds of the specification.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// maxWrongfulRefusals is the part of the requests below the limit that may be refused.
	maxWrongfulRefusals = 0.01
	forgetTime          = 15 * time.Second
)

// quotaVM is one VM of a quotaFleet.
type quotaVM struct {
	fakePeers
	fleet  *quotaFleet
	member fleet.Member

	// The fleet's mutex guards these.
	rosters *fleet.Rosters
	others  map[structs.VMID]fleet.Member
	state   vmState
}

// vmState is what the faults change.
type vmState struct {
	server     *Server
	generation int  // counts the processes of the VM
	isDown     bool // no process runs
	isCut      bool // from all other VMs
	cutAt      time.Time
	wakesAt    time.Time     // end of a freeze
	delay      time.Duration // of each reply
}

// quotaFleet connects servers in memory, with the decisions of the product on both sides of
// each call and faults in between.
type quotaFleet struct {
	account *routing.Account
	config  *routing.Config

	mu       sync.Mutex
	rng      *rand.Rand
	vms      []*quotaVM
	sent     []quotaRequest
	refused  int
	injected []string
	region   string // of the VMs that take requests, empty for all
	isOver   bool
}

type quotaRequest struct{ sentAt, ranAt time.Time }

func newQuotaFleet(t *testing.T, rng *rand.Rand, size int, rate float64) *quotaFleet {
	f := &quotaFleet{rng: rng, account: &routing.Account{ID: "one", Rate: rate, Burst: rate}}
	f.config = routing.NewConfig(func([]byte) (*routing.Table, error) {
		return routing.NewTable(routing.TableContents{Version: 1, Accounts: []*routing.Account{f.account}}), nil
	})
	_, err := f.config.UpdateIfNewer([]byte("1"))
	assert.NilError(t, err)
	for range size {
		f.addVM()
	}
	for _, vm := range f.vms {
		for _, other := range f.vms {
			vm.learn(other.member)
		}
	}
	go f.exchangeReports()
	time.Sleep(12 * time.Second) // traffic starts when the buckets are full
	return f
}

// end lets all requests and faults end.
func (f *quotaFleet) end() {
	f.mu.Lock()
	f.isOver = true
	f.mu.Unlock()
	time.Sleep(time.Minute)
}

func (f *quotaFleet) addVM() *quotaVM {
	f.mu.Lock()
	n := len(f.vms)
	vm := &quotaVM{fleet: f, others: make(map[structs.VMID]fleet.Member), member: fleet.Member{
		VM: structs.VMID(fmt.Sprint("vm-", n)), Region: fmt.Sprint("region-", n%2), Domain: structs.DomainID(fmt.Sprint("domain-", n%6)),
	}}
	vm.rosters = fleet.NewRosters(structs.Now(), vm.member)
	vm.state.isDown = true
	f.vms = append(f.vms, vm)
	f.mu.Unlock()
	vm.startProcess()
	return vm
}

func (vm *quotaVM) startProcess() {
	server := New(Options{
		VM: vm.member.VM, Domain: vm.member.Domain, Region: vm.member.Region, Config: vm.fleet.config,
		Peers: vm, QuotaSlack: quotaSlack, Regions: 2, Log: slog.New(slog.DiscardHandler),
	})
	vm.fleet.mu.Lock()
	vm.rosters = fleet.NewRosters(structs.Now(), vm.member)
	vm.rosters.Update(structs.Now(), vm.others)
	vm.fleet.mu.Unlock()
	server.sweepQuota()
	vm.change(func(s *vmState) { *s = vmState{server: server, generation: s.generation + 1} })
}

func (vm *quotaVM) change(set func(*vmState)) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	set(&vm.state)
}

func (vm *quotaVM) now() vmState {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	return vm.state
}

func (s vmState) isFrozen() bool { return time.Now().Before(s.wakesAt) }

// isRunning reports whether the process of an earlier state still runs.
func (vm *quotaVM) isRunning(earlier vmState) bool {
	s := vm.now()
	return s.generation == earlier.generation && !s.isDown
}

func (vm *quotaVM) learn(other fleet.Member) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	if other.VM != vm.member.VM {
		vm.others[other.VM] = other
		vm.rosters.Update(structs.Now(), vm.others)
	}
}

func (vm *quotaVM) forget(id structs.VMID) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	delete(vm.others, id)
	vm.rosters.Update(structs.Now(), vm.others)
}

func (vm *quotaVM) awaitWake() {
	for s := vm.now(); s.isFrozen(); s = vm.now() {
		time.Sleep(time.Until(s.wakesAt))
	}
}

func (vm *quotaVM) RosterSize() int {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	return vm.rosters.Size()
}

func (vm *quotaVM) IsMembershipKnown() bool { return true }

func (vm *quotaVM) QuotaHolders(name string) (near, far []structs.VMID) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	return vm.rosters.Holders(name)
}

func (vm *quotaVM) HoldsQuotaSince(name string) (structs.Instant, bool) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	return vm.rosters.HoldsSince(name)
}

func (vm *quotaVM) IsCutOff() bool {
	s := vm.now()
	return s.isCut && time.Since(s.cutAt) > 8*time.Second
}

func (vm *quotaVM) PlacerReach() targetrate.Reach { return targetrate.Reach{} }

func (f *quotaFleet) all() []*quotaVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

func (f *quotaFleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// call performs a call to a VM. One that was frozen performs it when it wakes, also for a
// caller that no longer waits.
func (vm *quotaVM) call(ctx context.Context, to structs.VMID, perform func(*Server)) error {
	vms := vm.fleet.all()
	peer := vms[slices.IndexFunc(vms, func(other *quotaVM) bool { return other.member.VM == to })]
	latency := time.Millisecond
	if peer.member.Region != vm.member.Region {
		latency = 12 * time.Millisecond
	}
	done := make(chan struct{})
	go func() {
		time.Sleep(latency)
		state := peer.now()
		if state.isDown || state.isCut || vm.now().isCut {
			return // neither a reply nor a reset
		}
		peer.awaitWake()
		time.Sleep(state.delay)
		if !peer.isRunning(state) {
			return
		}
		perform(state.server)
		time.Sleep(latency + state.delay)
		if !peer.now().isCut && !vm.now().isCut {
			close(done)
		}
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (vm *quotaVM) RequestAdmission(ctx context.Context, to structs.VMID, req fleet.AdmissionRequest) (fleet.AdmissionReply, error) {
	reply := make(chan fleet.AdmissionReply, 1)
	if err := vm.call(ctx, to, func(s *Server) { reply <- s.AdmitForPeer(req) }); err != nil {
		return fleet.AdmissionReply{}, err
	}
	return <-reply, nil
}

func (vm *quotaVM) BorrowTokens(ctx context.Context, to structs.VMID, account structs.AccountID) (int, error) {
	tokens := make(chan int, 1)
	if err := vm.call(ctx, to, func(s *Server) { tokens <- s.Lend(account) }); err != nil {
		return 0, err
	}
	return <-tokens, nil
}

// exchangeReports sends the reports of each VM to some others in each round, in turn.
func (f *quotaFleet) exchangeReports() {
	next := 0
	for isOver := false; !isOver; {
		time.Sleep(300 * time.Millisecond)
		vms := f.all()
		perRound := 12 // as in package fleet
		if len(vms) > maxUncoordinatedVMs {
			perRound = 7
		}
		next += perRound
		for _, from := range vms {
			state := from.now()
			if state.isDown || state.isCut || state.isFrozen() {
				continue
			}
			state.server.sweepQuota()
			state.server.mu.Lock()
			demand, spare := state.server.limiter.Demand(structs.Now()), state.server.limiter.SpareTokens(structs.Now())
			state.server.mu.Unlock()
			for i := range perRound {
				to := vms[(next+i)%len(vms)]
				peer := to.now()
				if to == from || peer.isDown || peer.isCut || peer.isFrozen() {
					continue
				}
				peer.server.mu.Lock()
				peer.server.limiter.Report(structs.Now(), from.member.VM, to.member.Region == from.member.Region, maps.Clone(demand), maps.Clone(spare))
				peer.server.mu.Unlock()
			}
		}
		f.mu.Lock()
		isOver = f.isOver
		f.mu.Unlock()
	}
}

// send sends one request through a VM that takes requests.
func (f *quotaFleet) send(deadline time.Duration) {
	vms := f.all()
	vm := vms[f.draw(len(vms))]
	state := vm.now()
	for state.isDown || state.isFrozen() || f.region != "" && vm.member.Region != f.region {
		vm = vms[f.draw(len(vms))]
		state = vm.now()
	}
	sentAt := time.Now()
	go func() {
		time.Sleep(time.Millisecond)
		vm.awaitWake()
		decision, _ := state.server.admitAccount(f.account, false, min(time.Second, deadline/maxTokenWaitDivisor))
		vm.awaitWake()
		time.Sleep(decision.Wait)
		vm.awaitWake()
		if !vm.isRunning(state) {
			return // the process has ended with the request
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if decision.Admitted {
			f.sent = append(f.sent, quotaRequest{sentAt, time.Now()})
		} else {
			f.refused++
		}
	}()
}

func (f *quotaFleet) sendAt(perSecond float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.send(3 * time.Second)
		time.Sleep(time.Duration(float64(time.Second) / perSecond * (0.5 + float64(f.draw(1000))/1000)))
	}
}

// mostInWindow returns the most requests that were both sent and run within a window.
func (f *quotaFleet) mostInWindow() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.sent, func(a, b quotaRequest) int { return a.sentAt.Compare(b.sentAt) })
	most := 0
	for i, first := range f.sent {
		count := 0
		end := first.sentAt.Add(quotaWindow)
		for _, r := range f.sent[i:] {
			if r.sentAt.After(end) {
				break
			}
			if r.ranAt.Before(end) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func (f *quotaFleet) allowed() float64 {
	return (f.account.Rate*quotaWindow.Seconds()+f.account.Burst)*(1+quotaOverage) + quotaSlack
}

// holders returns the holders of the account, by their own view.
func (f *quotaFleet) holders() []*quotaVM {
	return slices.DeleteFunc(f.all(), func(vm *quotaVM) bool {
		_, holds := vm.HoldsQuotaSince(holderName(f.account.ID))
		return !holds
	})
}
