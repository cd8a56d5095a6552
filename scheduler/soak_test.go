package scheduler

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

// soakFleet is a failure domain whose schedulers are disconnected, stopped and replaced
// while callers run programs.
type soakFleet struct {
	*testSite
	mu         sync.Mutex
	rng        *rand.Rand
	nodes      []*testNode
	removed    []*testNode
	executions map[string]int // path of a plain call -> times it reached a target
	counts     map[string]int
	err        error
	started    int
}

func (f *soakFleet) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *soakFleet) count(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]++
}

func (f *soakFleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

func (f *soakFleet) hasFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err != nil
}

// injectTargetFault delays a request, and makes some fail as unreachable or with an
// incomplete response.
func (f *soakFleet) injectTargetFault(req target.Request) error {
	kind := f.randomInt(20)
	if kind == 0 {
		return &target.NotSentError{Cause: io.EOF}
	}
	if req.Plain != nil {
		f.mu.Lock()
		f.executions[req.Plain.Path]++
		f.mu.Unlock()
	}
	time.Sleep(time.Duration(f.randomInt(400)) * time.Millisecond)
	if kind == 1 {
		return &target.IncompleteResponseError{Cause: context.DeadlineExceeded}
	}
	return nil
}

func (f *soakFleet) startNode() {
	f.started++
	n := f.start(fmt.Sprintf("n%d", f.started))
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
}

// nodeFor returns the scheduler at an address, or a random one if there is none.
func (f *soakFleet) nodeFor(addr string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.opts.Settings.Listen.Wire == addr {
			return n
		}
	}
	return f.nodes[f.rng.IntN(len(f.nodes))]
}

// callOwner retries a request, following redirects to the owner, until a scheduler
// serves it or refuses it for another reason than ownership or readiness.
func (f *soakFleet) callOwner(do func(*testNode) error) error {
	owner := ""
	for range 600 {
		err := do(f.nodeFor(owner))
		refusal := refusalOf(err)
		owner = refusal.Owner
		switch refusal.Kind {
		case structs.RefusedNotOwner, structs.RefusedNotReady:
			time.Sleep(50 * time.Millisecond)
		default:
			return err
		}
	}
	return structs.Refuse(structs.RefusedTimeout, structs.RunUnknown, "no scheduler serves")
}

// maxStartDelay is the upper bound of a program's random start delay, in milliseconds.
const maxStartDelay = 40_000

// runProgram creates a program, makes its calls one after another, checks that its
// history has every acknowledged turn, and ends it.
func (f *soakFleet) runProgram(id structs.ProgramID, calls int) {
	ref := structs.ProgramRef{ID: id, Account: "acme"}
	time.Sleep(time.Duration(f.randomInt(maxStartDelay)) * time.Millisecond)
	err := f.callOwner(func(n *testNode) error {
		_, err := n.createProgram(background, structs.CreateProgram{ID: id, Account: "acme", Kind: "plan"})
		return err
	})
	if err != nil {
		f.fail("%s: create: %v", id, err)
		return
	}
	acked := 0
	for number := uint64(1); int(number) <= calls && !f.hasFailed(); {
		outcome := f.runCall(id, number)
		switch {
		case outcome == structs.RunYes:
			acked++
			number++
		case outcome == structs.RunUnknown:
			number = f.nextNumber(ref, number)
		}
		time.Sleep(time.Duration(f.randomInt(1000)) * time.Millisecond)
	}
	var history structs.History
	err = f.callOwner(func(n *testNode) (err error) {
		history, err = n.history(background, ref)
		return err
	})
	if err != nil || len(history.Turns) < acked {
		f.fail("%s: %d calls were acknowledged, but the history has %d turns (%v)", id, acked, len(history.Turns), err)
	}
	err = f.callOwner(func(n *testNode) error {
		_, err := n.endProgram(background, ref)
		return err
	})
	if err != nil {
		f.fail("%s: end: %v", id, err)
	}
}

// runCall makes one call and compares the reported outcome with the number of times
// that targets ran it.
func (f *soakFleet) runCall(id structs.ProgramID, number uint64) structs.Run {
	path := fmt.Sprintf("/%s/%d", id, number)
	call := modelCall(id, number, path)
	if number%2 == 0 {
		call = plainCall(id, number, path)
	}
	err := f.callOwner(func(n *testNode) error {
		_, err := n.sendCall(background, call)
		return err
	})
	f.mu.Lock()
	ran := f.executions[path]
	f.mu.Unlock()
	run := structs.RunYes
	if err != nil {
		run = refusalOf(err).Run
	}
	f.count("run " + string(run))
	isOrder := call.Plain != nil
	switch {
	case run == "" || refusalOf(err).Kind == structs.RefusedNotFound:
		f.fail("%s: %v", path, err)
	case isOrder && ran > 1:
		f.fail("%s ran %d times", path, ran)
	case isOrder && run == structs.RunNo && ran > 0:
		f.fail("%s ran, but was refused as not run: %v", path, err)
	case isOrder && run == structs.RunYes && ran != 1:
		f.fail("%s got a response, but ran %d times", path, ran)
	}
	return run
}

// nextNumber asks for the program's next call number after a call with unknown outcome,
// which may or may not have used its number.
func (f *soakFleet) nextNumber(ref structs.ProgramRef, number uint64) uint64 {
	f.callOwner(func(n *testNode) error {
		info, err := n.getProgram(background, ref)
		number = max(number, info.NextNumber)
		return err
	})
	return number
}

// injectFault disconnects a scheduler from the platform for some time, or disconnects
// it for good and replaces it, or replaces it after a planned stop.
func (f *soakFleet) injectFault() {
	i := f.randomInt(len(f.nodes))
	n := f.nodes[i]
	switch f.randomInt(3) {
	case 0:
		f.count("disconnected for a time")
		n.isCutOff.Store(true)
		time.Sleep(time.Duration(1+f.randomInt(8)) * time.Second)
		n.isCutOff.Store(false)
		return
	case 1:
		f.count("disconnected for good")
		n.isCutOff.Store(true)
	default:
		f.count("planned stop")
		n.cancel()
	}
	f.startNode()
	f.mu.Lock()
	f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
	f.removed = append(f.removed, n)
	f.mu.Unlock()
}

func runFleet(t *testing.T, seed uint64, programs int) *soakFleet {
	f := &soakFleet{testSite: newTestSite(), rng: rand.New(rand.NewPCG(seed, 3)), executions: make(map[string]int), counts: make(map[string]int)}
	virtualTime(t, func(*testing.T) {
		for _, b := range f.targets {
			b.fail = f.injectTargetFault
		}
		for range 3 {
			f.startNode()
		}
		var callers sync.WaitGroup
		for i := range programs {
			callers.Go(func() { f.runProgram(structs.NewProgramID("north", fmt.Sprintf("p%d", i)), 12) })
		}
		finished := make(chan struct{})
		go func() {
			callers.Wait()
			close(finished)
		}()
		for running := true; running; {
			select {
			case <-finished:
				running = false
			case <-time.After(3 * time.Second):
				f.injectFault()
			}
		}
		time.Sleep(30 * time.Second)
		for id, b := range f.targets {
			if held := b.heldPrograms(); held > 0 {
				f.fail("target %s still holds memory of %d programs", id, held)
			}
		}
		for _, n := range append(f.nodes, f.removed...) {
			f.stopNode(n)
		}
	})
	return f
}

// stopNode stops a node and checks that it reported no violated invariant.
func (f *soakFleet) stopNode(n *testNode) {
	if violations := n.stats.violations.Load(); violations > 0 {
		f.fail("%d invariant violations", violations)
	}
	n.cancel()
	<-n.done
}

func TestSoakFleet(t *testing.T) {
	first, seeds := envInt("ENDIVE_SOAK_FIRST", 1), envInt("ENDIVE_SOAK_SEEDS", 3)
	programs := min(envInt("ENDIVE_SOAK_STEPS", 20), 40)
	total := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		f := runFleet(t, uint64(seed), programs)
		assert.NilError(t, f.err, "seed %d", seed)
		for name, n := range f.counts {
			total[name] += n
		}
	}
	t.Logf("%d seeds of %d programs, no violation; %v", seeds, programs, total)
}
