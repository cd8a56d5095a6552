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
	faultPeriod          = 12 * time.Second // faults are injected
	finishTimeout        = 60 * time.Second // from the last fault until every program has ended
	memoryReleaseTimeout = 30 * time.Second // from the end of the last program until engines hold no memory
	faultSeed            = 1
	// maxSeeds bounds the seeds of one run; each takes about 16 s.
	maxSeeds = 20
	// plainTimeout is the timeout of a call to a plain target, which may hang.
	plainTimeout = 2 * time.Second
	// raisedRate is so high that callers stay below it.
	raisedRate = 2000
)

// envNumber returns the number in an environment variable, or fallback if it is
// not set.
func envNumber(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// accraAgents are the client accounts of the agents and the kind of program that
// each runs.
var accraAgents = []struct {
	account structs.AccountID
	kind    string
}{
	{"court-wardens", "rake-agent"},
	{"crew-dispatch", "round-planner"},
	{"court-wardens", "round-planner"},
}

// raiseRates raises the rate and burst of all accounts.
func raiseRates(document *config.Document) {
	for id, account := range document.Accounts {
		account.Rate, account.Burst = raisedRate, raisedRate
		document.Accounts[id] = account
	}
}

// raiseRatesShortenTimeout raises all rates and shortens the timeout of calls to
// plain targets, which may hang.
func raiseRatesShortenTimeout(document *config.Document) {
	raiseRates(document)
	service := document.Services["courts-app"]
	service.Timeout = settings.Duration(plainTimeout)
	document.Services["courts-app"] = service
}

// Callers at all nine gateways run programs while faults of the daemons, the
// platform and the targets are injected two at a time, as the seed determines. No
// order may run twice, no budget be exceeded, no key leak, and no engine memory
// stay held once the programs have ended.
func TestSoakFaults(t *testing.T) {
	first := envNumber(t, "ENDIVE_SOAK_FIRST", faultSeed)
	for seed := first; seed < first+min(envNumber(t, "ENDIVE_SOAK_SEEDS", 1), maxSeeds); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	f := startFleet(t, fleetOptions{
		name: "accra", hasForwarders: true, document: raiseRatesShortenTimeout,
		engine: engine.Options{TokenTime: 5 * time.Millisecond},
		plain:  plain.Options{Delay: 5 * time.Millisecond},
	})
	faultsOver := make(chan struct{})
	ctx, cancel := context.WithTimeout(t.Context(), faultPeriod+finishTimeout)
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
	total := totalCounts(agents)
	t.Logf("seed %d: %+v; faults %v", seed, total, injector.counts)
	assert.Assert(t, total.Programs >= len(agents))
	checkExecutions(t, f, agents)
	assert.Assert(t, total.Spent > 0)
	checkBudgets(t, f, agents)
	f.waitMemoryReleased()
	checkSecrets(t, f, agents)
}

func totalCounts(agents []*agent) agentCounts {
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
// once if it was confirmed.
func checkExecutions(t *testing.T, f *fleet, agents []*agent) {
	t.Helper()
	ran := f.orders()
	for _, a := range agents {
		for body, answered := range a.orders {
			n := ran[body]
			assert.Assert(t, n <= 1, "%s ran %d times", body, n)
			assert.Assert(t, !answered || n == 1, "%s was confirmed and ran %d times", body, n)
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

// checkBudgets checks that the completions which engines received for a program
// and its descendants together cost no more than the program's budget.
func checkBudgets(t *testing.T, f *fleet, agents []*agent) {
	t.Helper()
	spent := make(map[structs.ProgramID]int64)
	for _, server := range f.site.Engines {
		for _, request := range server.Requests() {
			hold := structs.ProgramID(request.Header.Get("X-Hold"))
			if hold != "" {
				spent[program.RootOf(hold)] += tokenCost(t, request.Body)
			}
		}
	}
	for _, a := range agents {
		for _, id := range a.rootPrograms {
			tokens := spent[structs.ProgramID(strings.Replace(string(id), "~", "/", 1))]
			assert.Assert(t, tokens <= a.budget, "%s used %d tokens of %d", id, tokens, a.budget)
		}
	}
}

// waitMemoryReleased waits until no engine holds memory for a program.
func (f *fleet) waitMemoryReleased() {
	f.t.Helper()
	started := time.Now()
	for held := f.site.HeldPrograms(); len(held) > 0; held = f.site.HeldPrograms() {
		assert.Assert(f.t, time.Since(started) < memoryReleaseTimeout, "engines still hold memory of programs: %v", held)
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Logf("engines hold no memory after %s", time.Since(started).Round(time.Millisecond))
}

// unexpectedError reports a response that violates the guarantees of the interface.
type unexpectedError struct {
	what string
	got  any
}

func (e *unexpectedError) Error() string { return fmt.Sprintf("%s: %v", e.what, e.got) }
