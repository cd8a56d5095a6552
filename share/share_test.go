package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// Bounds of the users' sheets.
const (
	quotaWindow = 5 * time.Second
	overage     = 0.1
	slack       = 20.0
	round       = 300 * time.Millisecond // between digests
	tick        = 5 * time.Millisecond
)

// fleetSim is VMs that report to each other, in virtual time.
type fleetSim struct {
	now      structs.Instant
	vms      []structs.VMID
	shares   map[structs.VMID]*Limiter
	cut      map[structs.VMID]bool
	admitted []structs.Instant
	refused  int
	rounds   int
	held     []heldRequest
}

// heldRequest waits for a token, as the edge lets requests wait.
type heldRequest struct {
	vm     structs.VMID
	until  structs.Instant
	starts bool
}

const tenant = structs.AccountID("tenant")

func newFleetSim(count int) *fleetSim {
	f := &fleetSim{shares: make(map[structs.VMID]*Limiter), cut: make(map[structs.VMID]bool)}
	for i := range count {
		vm := structs.VMID(fmt.Sprintf("vm-%d", i))
		f.vms = append(f.vms, vm)
		f.shares[vm] = New(f.now, slack)
	}
	f.digests()
	f.digests()
	return f
}

func (f *fleetSim) reaches(a, b structs.VMID) bool { return !f.cut[a] && !f.cut[b] }

// digests plays a round of reports. Those between regions come every other
// round; a third of the VMs is far from the others.
func (f *fleetSim) digests() {
	f.rounds++
	for i, from := range f.vms {
		demand, spare := f.shares[from].Demand(f.now), f.shares[from].SpareTokens(f.now)
		for j, to := range f.vms {
			skipped := (i%3 == 0) != (j%3 == 0) && (f.rounds+i)%2 == 0
			if from != to && f.reaches(from, to) && !skipped {
				f.shares[to].Report(f.now, from, true, demand, spare)
			}
		}
	}
}

// request plays one request with its loans.
func (f *fleetSim) request(vm structs.VMID, limit Limit, starts, again bool) bool {
	s := f.shares[vm]
	if !again {
		s.RecordRequest(f.now, tenant, limit)
	}
	verdict := s.Admit(f.now, tenant, limit, starts)
	for _, lender := range verdict.Lenders {
		if verdict.Admitted || !f.reaches(vm, lender) {
			continue
		}
		s.AddBorrowed(f.now, lender, tenant, limit, f.shares[lender].Lend(f.now, tenant, limit))
		verdict = s.Admit(f.now, tenant, limit, starts)
	}
	switch {
	case verdict.Admitted:
		f.admitted = append(f.admitted, f.now)
	case !again && verdict.Wait <= MaxTokenWait:
		f.held = append(f.held, heldRequest{vm, f.now.Add(verdict.Wait), starts})
	default:
		f.refused++
	}
	return verdict.Admitted
}

// wake tries the held requests whose token should be there.
func (f *fleetSim) wake(limit Limit) {
	var still []heldRequest
	due := f.held
	f.held = nil
	for _, h := range due {
		if f.now < h.until {
			still = append(still, h)
			continue
		}
		f.request(h.vm, limit, h.starts, true)
	}
	f.held = append(f.held, still...)
}

// play sends requests at a rate for a while; pick draws the VM of each.
func (f *fleetSim) play(rng *rand.Rand, d time.Duration, perSecond float64, limit Limit, pick func() structs.VMID) {
	lastDigest := f.now
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(tick) {
		if f.now.Sub(lastDigest) >= round {
			lastDigest = f.now
			f.digests()
		}
		f.wake(limit)
		for n := perSecond * tick.Seconds(); n > 0; n-- {
			if rng.Float64() < n {
				f.request(pick(), limit, false, false)
			}
		}
	}
}

// checkWindows fails when a window holds more than the quota allows.
func (f *fleetSim) checkWindows(t *testing.T, limit Limit) {
	t.Helper()
	allowed := (limit.Rate*quotaWindow.Seconds()+limit.Burst)*(1+overage) + slack
	first := 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) > quotaWindow {
			first++
		}
		if got := float64(i - first + 1); got > allowed {
			t.Fatalf("%v requests within %s, %.0f are allowed", got, quotaWindow, allowed)
		}
	}
}

func (f *fleetSim) anyVM(rng *rand.Rand) func() structs.VMID {
	return func() structs.VMID { return f.vms[rng.IntN(len(f.vms))] }
}

// An account that sends four times its rate through all VMs from one moment on
// stays within its quota, also when VMs are cut off and killed.
func TestHotAccountStaysWithinQuota(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{Rate: 20 + 80*rng.Float64()}
		limit.Burst = limit.Rate
		f := newFleetSim(9)
		f.play(rng, 4*time.Second, limit.Rate/1.6, limit, f.anyVM(rng))
		f.play(rng, 4*time.Second, 4*limit.Rate, limit, f.anyVM(rng))
		for range 3 {
			vm := f.anyVM(rng)()
			f.cut[vm] = true
		}
		f.play(rng, 6*time.Second, 4*limit.Rate, limit, f.anyVM(rng))
		f.cut = make(map[structs.VMID]bool)
		for range 4 {
			vm := f.anyVM(rng)()
			f.shares[vm] = New(f.now, slack)
		}
		f.digests()
		f.play(rng, 6*time.Second, 4*limit.Rate, limit, f.anyVM(rng))
		f.checkWindows(t, limit)
	}
}

// An account that was calm turns hot at all VMs at one moment, with full buckets.
func TestSuddenSurgeStaysWithinQuota(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		limit := Limit{Rate: 110, Burst: 110}
		f := newFleetSim(9)
		f.play(rng, 3*time.Second, limit.Rate/1.6/4, limit, f.anyVM(rng))
		f.play(rng, 6*time.Second, 6*limit.Rate, limit, f.anyVM(rng))
		f.checkWindows(t, limit)
	}
}

// All VMs are killed at once in the middle of an account's surge.
func TestQuotaHoldsWhenAllRestart(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	limit := Limit{Rate: 60, Burst: 60}
	f := newFleetSim(9)
	f.play(rng, 5*time.Second, 4*limit.Rate, limit, f.anyVM(rng))
	for _, vm := range f.vms {
		f.shares[vm] = New(f.now, slack)
	}
	f.digests()
	f.play(rng, 5*time.Second, 4*limit.Rate, limit, f.anyVM(rng))
	f.checkWindows(t, limit)
}

// An account at its usual rate, 1/1.6 of the limit, that comes in clumps through
// few VMs is hardly ever refused.
func TestClumpedAccountBelowItsRateIsAdmitted(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	limit := Limit{Rate: 12, Burst: 12}
	f := newFleetSim(9)
	f.now = f.now.Add(2 * settleSpan) // the VMs have run for a while
	favourite := f.vms[0]
	pick := func() structs.VMID {
		if rng.IntN(20) == 0 {
			favourite = f.anyVM(rng)()
		}
		return favourite
	}
	f.play(rng, 60*time.Second, limit.Rate/1.6, limit, pick)
	f.checkWindows(t, limit)
	total := len(f.admitted) + f.refused
	assert.Assert(t, f.refused*100 <= total, "%d of %d refused", f.refused, total)
}

// Requests that start programs give way while the buckets are low, so that
// programs under way are admitted.
func TestStartsLeaveRoomForProgramsUnderWay(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 20}
	s := New(0, 0)
	now := structs.Instant(10 * time.Second)
	s.RecordRequest(now, tenant, limit)
	starts := 0
	for s.Admit(now, tenant, limit, true).Admitted {
		starts++
	}
	rest := 0
	for s.Admit(now, tenant, limit, false).Admitted {
		rest++
	}
	assert.Assert(t, starts >= 12 && starts <= 14, "%d starts", starts)
	assert.Assert(t, rest >= 6, "%d others after the starts", rest)
}

// Lost loans are lost tokens: what a peer lends is gone here.
func TestLoansAreMoved(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 20}
	now := structs.Instant(10 * time.Second)
	a, b := New(0, 0), New(0, 0)
	a.Report(now, "b", true, nil, nil)
	b.Report(now, "a", true, nil, nil)
	before := a.account(now, tenant, limit).tokens
	loan := a.Lend(now, tenant, limit)
	assert.Assert(t, loan > 0)
	assert.Equal(t, a.account(now, tenant, limit).tokens, before-float64(loan))
	other := b.account(now, tenant, limit).tokens
	b.AddBorrowed(now, "a", tenant, limit, loan)
	assert.Equal(t, b.account(now, tenant, limit).tokens, other+float64(loan))
}

// A lower limit takes the tokens of the higher one away.
func TestLowerLimitCapsTokens(t *testing.T) {
	now := structs.Instant(10 * time.Second)
	s := New(0, 0)
	s.RecordRequest(now, tenant, Limit{Rate: 100, Burst: 100})
	assert.Assert(t, s.Admit(now, tenant, Limit{Rate: 100, Burst: 100}, false).Admitted)
	low := Limit{Rate: 2, Burst: 2}
	admitted := 0
	for s.Admit(now, tenant, low, false).Admitted {
		admitted++
	}
	assert.Assert(t, admitted <= 2, "%d admitted", admitted)
}

// Of 91 VMs two hold an account's buckets: a small account that is hot stays
// within its quota, and at its usual rate it is hardly ever refused, though each
// VM's part of its burst would be below one token.
func TestFewHoldersOfManyVMs(t *testing.T) {
	for name, load := range map[string]float64{"usual": 1 / 1.6, "hot": 5} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(4, 1))
			limit := Limit{Rate: 14, Burst: 14}
			f := newFleetSim(91)
			for _, s := range f.shares {
				s.SetHolders(2)
			}
			holders := f.vms[:2]
			pick := func() structs.VMID { return holders[rng.IntN(2)] }
			f.play(rng, 30*time.Second, limit.Rate*load, limit, pick)
			f.checkWindows(t, limit)
			if name == "usual" {
				total := len(f.admitted) + f.refused
				assert.Assert(t, f.refused*50 <= total, "%d of %d refused", f.refused, total)
			}
		})
	}
}
