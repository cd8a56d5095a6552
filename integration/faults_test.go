package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/standin/plain"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	faultsFor    = 12 * time.Second // faults are drawn
	finishWithin = 60 * time.Second // of the last fault, every program has ended
	freeWithin   = 30 * time.Second // of the last end, engines hold nothing
	faultSeed    = 1
	// maxSeeds bounds the seeds of one run, which take about 16 s each.
	maxSeeds = 20
	// plainTimeout is that of a call to a plain target, which may hang.
	plainTimeout = 2 * time.Second
	// ampleRate keeps callers below their rate.
	ampleRate = 2000
)

// number reads a number from the environment.
func number(t *testing.T, name string, otherwise uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// accraAgents are the callers' accounts, with the program that each runs.
var accraAgents = []struct {
	account structs.AccountID
	kind    string
}{
	{"court-wardens", "rake-agent"},
	{"crew-dispatch", "round-planner"},
	{"court-wardens", "round-planner"},
}

// ample raises all rates.
func ample(document *config.Document) {
	for id, account := range document.Accounts {
		account.Rate, account.Burst = ampleRate, ampleRate
		document.Accounts[id] = account
	}
}

// ampleAndShort also shortens the calls to plain targets, which may hang.
func ampleAndShort(document *config.Document) {
	ample(document)
	service := document.Services["courts-app"]
	service.Timeout = settings.Duration(plainTimeout)
	document.Services["courts-app"] = service
}

// Callers at all nine gateways run programs while two faults at a time, drawn
// from the seed, strike the daemons, the platform and the targets.
func TestSoakFaults(t *testing.T) {
	first := number(t, "ENDIVE_SOAK_FIRST", faultSeed)
	for seed := first; seed < first+min(number(t, "ENDIVE_SOAK_SEEDS", 1), maxSeeds); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	f := startFleet(t, fleetOptions{
		name: "accra", cuttable: true, document: ampleAndShort,
		engine: engine.Options{TokenTime: 5 * time.Millisecond},
		plain:  plain.Options{Delay: 5 * time.Millisecond},
	})
	faultsOver := make(chan struct{})
	ctx, cancel := context.WithTimeout(t.Context(), faultsFor+finishWithin)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	agents := make([]*agent, len(f.gateways))
	for i := range f.gateways {
		agents[i] = newAgent(f, seed, i)
		group.Go(func() error { return agents[i].run(ctx, faultsOver) })
	}
	injector := &injector{f: f, random: rand.New(rand.NewPCG(seed, 0)), counts: make(map[string]int)}
	injector.run(ctx)
	close(faultsOver)
	assert.NilError(t, group.Wait(), "seed %d", seed)
	total := sum(agents)
	t.Logf("seed %d: %+v; faults %v", seed, total, injector.counts)
	assert.Assert(t, total.Programs >= len(agents))
	checkExecutions(t, f, agents)
	assert.Assert(t, total.Spent > 0)
	checkBudgets(t, f, agents)
	f.waitFree()
	checkSecrets(t, f, agents)
}

func sum(agents []*agent) agentCounts {
	var total agentCounts
	for _, a := range agents {
		total.Programs += a.counts.Programs
		total.Turns += a.counts.Turns
		total.Lost += a.counts.Lost
		total.Orders += a.counts.Orders
		total.Refused += a.counts.Refused
		total.Quarantined += a.counts.Quarantined
		total.Spent += a.counts.Spent
	}
	return total
}

// checkExecutions checks that each order took effect at most once, and exactly
// once when it was answered.
func checkExecutions(t *testing.T, f *fleet, agents []*agent) {
	t.Helper()
	ran := f.orders()
	for _, a := range agents {
		for body, answered := range a.orders {
			n := ran[body]
			assert.Assert(t, n <= 1, "%s ran %d times", body, n)
			assert.Assert(t, !answered || n == 1, "%s was answered and ran %d times", body, n)
		}
	}
}

// orders returns how often each order took effect, by body.
func (f *fleet) orders() map[string]int {
	ran := make(map[string]int)
	for call, n := range f.site.Executions(orderPath) {
		ran[call.Body] += n
	}
	return ran
}

// checkBudgets counts what engines were asked for each program and its
// descendants together.
func checkBudgets(t *testing.T, f *fleet, agents []*agent) {
	t.Helper()
	spent := make(map[structs.ProgramID]int64)
	for _, server := range f.site.Engines {
		for _, request := range server.Requests() {
			hold := structs.ProgramID(request.Header.Get("X-Hold"))
			if hold != "" {
				spent[program.RootOf(hold)] += tokensOf(t, request.Body)
			}
		}
	}
	for _, a := range agents {
		for _, id := range a.roots {
			tokens := spent[structs.ProgramID(strings.Replace(string(id), "~", "/", 1))]
			assert.Assert(t, tokens <= a.budget, "%s used %d tokens of %d", id, tokens, a.budget)
		}
	}
}

// waitFree waits until no engine holds memory.
func (f *fleet) waitFree() {
	f.t.Helper()
	started := time.Now()
	for held := f.site.HeldPrograms(); len(held) > 0; held = f.site.HeldPrograms() {
		assert.Assert(f.t, time.Since(started) < freeWithin, "engines still hold %v", held)
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Logf("engines hold nothing after %s", time.Since(started).Round(time.Millisecond))
}

// unexpected says that an answer broke a promise of the interface.
type unexpected struct {
	what string
	got  any
}

func (e *unexpected) Error() string { return fmt.Sprintf("%s: %v", e.what, e.got) }
