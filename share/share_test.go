package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// Limits from the requirements: an account may exceed its quota within quotaWindow by the
// factor overage plus slack requests.
const (
	quotaWindow    = 5 * time.Second
	overage        = 0.1
	slack          = 20.0
	reportInterval = 300 * time.Millisecond
	step           = 5 * time.Millisecond
)

// simulation runs VMs that report to each other, in virtual time.
type simulation struct {
	now      structs.Instant
	vms      []structs.VMID
	limiters map[structs.VMID]*Limiter
	isolated map[structs.VMID]bool
	admitted []structs.Instant
	refused  int
	rounds   int
	// deliverEvery is the number of rounds after which reports reach the other VMs.
	deliverEvery int
}

const testAccount = structs.AccountID("tenant")

func newSimulation(count int) *simulation {
	f := &simulation{deliverEvery: 1, limiters: make(map[structs.VMID]*Limiter), isolated: make(map[structs.VMID]bool)}
	for i := range count {
		vm := structs.VMID(fmt.Sprintf("vm-%d", i))
		f.vms = append(f.vms, vm)
		f.limiters[vm] = New(f.now, slack)
	}
	f.exchangeReports()
	f.exchangeReports()
	return f
}

func (f *simulation) canReach(a, b structs.VMID) bool { return !f.isolated[a] && !f.isolated[b] }

// exchangeReports simulates a round of reports. Peers in another region get every second
// report; a third of the VMs is in the other region.
func (f *simulation) exchangeReports() {
	f.rounds++
	for i, from := range f.vms {
		demand, spare := f.limiters[from].Demand(f.now), f.limiters[from].SpareTokens(f.now)
		for j, to := range f.vms {
			skipped := (i%3 == 0) != (j%3 == 0) && (f.rounds+i)%2 == 0
			if from != to && f.canReach(from, to) && !skipped && f.rounds%f.deliverEvery == 0 {
				f.limiters[to].Report(f.now, from, true, demand, spare)
			}
		}
	}
}

// sendRequest simulates one request, including the tokens borrowed for it and its wait
// for a token, as in package edge.
func (f *simulation) sendRequest(vm structs.VMID, limit Limit) bool {
	s := f.limiters[vm]
	request := Request{Account: testAccount, Limit: limit}
	s.RecordRequest(f.now, request)
	decision := s.Admit(f.now, request)
	for _, lender := range decision.Lenders {
		if decision.Admitted || !f.canReach(vm, lender) {
			continue
		}
		s.AddBorrowed(f.now, lender, request, f.limiters[lender].Lend(f.now, request))
		decision = s.Admit(f.now, request)
	}
	if !decision.Admitted {
		request.MaxWait = MaxTokenWait
		decision = s.Admit(f.now, request)
	}
	if decision.Admitted {
		f.admitted = append(f.admitted, f.now.Add(decision.Wait))
	} else {
		f.refused++
	}
	return decision.Admitted
}

// run sends requests at the given rate for a duration; pickVM returns the VM for each.
func (f *simulation) run(rng *rand.Rand, d time.Duration, perSecond float64, limit Limit, pickVM func() structs.VMID) {
	lastDigest := f.now
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		if f.now.Sub(lastDigest) >= reportInterval {
			lastDigest = f.now
			f.exchangeReports()
		}
		for n := perSecond * step.Seconds(); n > 0; n-- {
			if rng.Float64() < n {
				f.sendRequest(pickVM(), limit)
			}
		}
	}
}

// checkQuota fails the test if any window has more requests than the quota allows.
func (f *simulation) checkQuota(t *testing.T, limit Limit) {
	t.Helper()
	allowed := (limit.Rate*quotaWindow.Seconds()+limit.Burst)*(1+overage) + slack
	slices.Sort(f.admitted)
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

func (f *simulation) randomVM(rng *rand.Rand) func() structs.VMID {
	return func() structs.VMID { return f.vms[rng.IntN(len(f.vms))] }
}

// An account that starts to send four times its rate through all VMs must stay within its
// quota, even while VMs are cut off from the others and restarted with empty state.
func TestOverloadingAccountStaysWithinQuota(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{Rate: 20 + 80*rng.Float64()}
		limit.Burst = limit.Rate
		f := newSimulation(9)
		f.run(rng, 4*time.Second, limit.Rate/1.6, limit, f.randomVM(rng))
		f.run(rng, 4*time.Second, 4*limit.Rate, limit, f.randomVM(rng))
		for range 3 {
			vm := f.randomVM(rng)()
			f.isolated[vm] = true
		}
		f.run(rng, 6*time.Second, 4*limit.Rate, limit, f.randomVM(rng))
		f.isolated = make(map[structs.VMID]bool)
		for range 4 {
			vm := f.randomVM(rng)()
			f.limiters[vm] = New(f.now, slack)
		}
		f.exchangeReports()
		f.run(rng, 6*time.Second, 4*limit.Rate, limit, f.randomVM(rng))
		f.checkQuota(t, limit)
	}
}

// An account with full buckets that suddenly sends six times its rate through all VMs
// must stay within its quota, although no VM knows of the others' demand at first.
func TestSuddenSurgeStaysWithinQuota(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		limit := Limit{Rate: 110, Burst: 110}
		f := newSimulation(9)
		f.run(rng, 3*time.Second, limit.Rate/1.6/4, limit, f.randomVM(rng))
		f.run(rng, 6*time.Second, 6*limit.Rate, limit, f.randomVM(rng))
		f.checkQuota(t, limit)
	}
}

// If all VMs restart during an account's overload, their new buckets must not grant the
// burst a second time.
func TestQuotaHoldsWhenAllVMsRestart(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	limit := Limit{Rate: 60, Burst: 60}
	f := newSimulation(9)
	f.run(rng, 5*time.Second, 4*limit.Rate, limit, f.randomVM(rng))
	for _, vm := range f.vms {
		f.limiters[vm] = New(f.now, slack)
	}
	f.exchangeReports()
	f.run(rng, 5*time.Second, 4*limit.Rate, limit, f.randomVM(rng))
	f.checkQuota(t, limit)
}

// An account at its usual rate, 1/1.6 of the limit, whose requests arrive at one VM at a
// time must rarely be refused, although each VM has only a share of the rate.
func TestBurstyAccountBelowItsRateIsAdmitted(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	limit := Limit{Rate: 12, Burst: 12}
	f := newSimulation(9)
	f.now = f.now.Add(2 * startupPeriod) // past startupPeriod
	current := f.vms[0]
	pickVM := func() structs.VMID {
		if rng.IntN(20) == 0 {
			current = f.randomVM(rng)()
		}
		return current
	}
	f.run(rng, 60*time.Second, limit.Rate/1.6, limit, pickVM)
	f.checkQuota(t, limit)
	total := len(f.admitted) + f.refused
	assert.Assert(t, f.refused*100 <= total, "%d of %d refused", f.refused, total)
}

// While tokens are low, requests that start programs must be refused first, so that the
// programs already running can complete.
func TestProgramStartsLeaveTokensForRunningPrograms(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 20}
	s := New(0, 0)
	now := structs.Instant(10 * time.Second)
	s.RecordRequest(now, Request{Account: testAccount, Limit: limit})
	starts := 0
	for s.Admit(now, Request{Account: testAccount, Limit: limit, StartsProgram: true}).Admitted {
		starts++
	}
	rest := 0
	for s.Admit(now, Request{Account: testAccount, Limit: limit}).Admitted {
		rest++
	}
	assert.Assert(t, starts >= 12 && starts <= 14, "%d starts", starts)
	assert.Assert(t, rest >= 6, "%d others after the starts", rest)
}

// A loan must move tokens: what a peer lends is taken out of its own bucket, even if the
// peer that asked never gets it.
func TestLoansMoveTokens(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 20}
	now := structs.Instant(10 * time.Second)
	a, b := New(0, 0), New(0, 0)
	a.Report(now, "b", true, nil, nil)
	b.Report(now, "a", true, nil, nil)
	request := Request{Account: testAccount, Limit: limit}
	before := a.account(now, request).tokens
	loan := a.Lend(now, request)
	assert.Assert(t, loan > 0)
	assert.Equal(t, a.account(now, request).tokens, before-float64(loan))
	other := b.account(now, request).tokens
	b.AddBorrowed(now, "a", request, loan)
	assert.Equal(t, b.account(now, request).tokens, other+float64(loan))
}

// A lowered limit must also apply to the tokens already in the buckets.
func TestLowerLimitCapsTokens(t *testing.T) {
	now := structs.Instant(10 * time.Second)
	s := New(0, 0)
	s.RecordRequest(now, Request{Account: testAccount, Limit: Limit{Rate: 100, Burst: 100}})
	assert.Assert(t, s.Admit(now, Request{Account: testAccount, Limit: Limit{Rate: 100, Burst: 100}}).Admitted)
	low := Limit{Rate: 2, Burst: 2}
	admitted := 0
	for s.Admit(now, Request{Account: testAccount, Limit: low}).Admitted {
		admitted++
	}
	assert.Assert(t, admitted <= 2, "%d admitted", admitted)
}

// If two of 91 VMs hold an account's buckets, a small account must stay within its quota
// when it overloads them and must rarely be refused at its usual rate. With a bucket at
// every VM, each would hold less than one token.
func TestTwoHoldersOfManyVMsKeepQuota(t *testing.T) {
	for name, load := range map[string]float64{"usual": 1 / 1.6, "hot": 5} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(4, 1))
			limit := Limit{Rate: 14, Burst: 14}
			f := newSimulation(91)
			for _, s := range f.limiters {
				s.SetHolders(f.now, 2)
			}
			holders := f.vms[:2]
			pickVM := func() structs.VMID { return holders[rng.IntN(2)] }
			f.run(rng, 30*time.Second, limit.Rate*load, limit, pickVM)
			f.checkQuota(t, limit)
			if name == "usual" {
				total := len(f.admitted) + f.refused
				assert.Assert(t, f.refused*50 <= total, "%d of %d refused", f.refused, total)
			}
		})
	}
}

// An account that was idle, so that its holder dropped its full bucket, must have its
// whole burst again when it returns. If the holder may just have changed, the bucket
// starts low instead, since the previous holder may have spent the burst.
func TestReturningAccountHasItsBurst(t *testing.T) {
	const now = structs.Instant(time.Minute)
	limit := Limit{Rate: 4, Burst: 20}
	admitAll := func(heldSince structs.Instant) int {
		s := New(0, slack)
		s.SetHolders(0, 2)
		admitted := 0
		for s.Admit(now, Request{Account: testAccount, Limit: limit, HeldSince: heldSince}).Admitted {
			admitted++
		}
		return admitted
	}
	assert.Equal(t, admitAll(structs.Instant(time.Second)), 10)
	assert.Equal(t, admitAll(now), 5)
}

// A program of a small account starts its sub-programs at once. Their requests must get
// the account's tokens one after the other. If each came back after the time for one
// token instead, all but one of them would be refused each time.
func TestRequestsThatArriveTogetherGetTokensInTurn(t *testing.T) {
	const now = structs.Instant(time.Minute)
	const together = 9
	limit := Limit{Rate: 5, Burst: 5}
	s := New(0, 0)
	s.SetHolders(0, 1)
	request := Request{Account: testAccount, Limit: limit, MaxWait: MaxTokenWait}
	for i := range together {
		decision := s.Admit(now, request)
		assert.Assert(t, decision.Admitted, "request %d is refused", i)
		earliest := time.Duration(max(0, i+1-int(limit.Burst))) * time.Second / time.Duration(limit.Rate)
		assert.Assert(t, decision.Wait >= earliest-time.Millisecond, "request %d runs after %s", i, decision.Wait)
	}
	for s.Admit(now, request).Admitted {
	}
	refusal := s.Admit(now, request)
	assert.Assert(t, !refusal.Admitted && refusal.Wait >= MaxTokenWait, "a refused request is told when it gets a token: %s", refusal.Wait)
}

// The holders of an account in two regions exchange reports every fourth round in a fleet with
// coordinators. If the account suddenly sends many times its rate through both, they must
// not both take the whole rate until they know of each other.
func TestHoldersOfTwoRegionsShareRate(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		limit := Limit{Rate: 10, Burst: 10}
		f := newSimulation(2)
		f.deliverEvery = 4
		for _, s := range f.limiters {
			s.SetHolders(f.now, 2)
		}
		f.now = f.now.Add(10 * time.Second)
		f.run(rng, 3*time.Second, limit.Rate/4, limit, func() structs.VMID { return "vm-0" })
		f.run(rng, 10*time.Second, 6*limit.Rate, limit, f.randomVM(rng))
		f.checkQuota(t, limit)
	}
}
