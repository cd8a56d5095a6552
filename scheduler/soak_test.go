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

// fleet is a domain whose schedulers are cut off, stopped and replaced while
// callers run programs.
type fleet struct {
	*site
	mu     sync.Mutex
	source *rand.Rand
	nodes  []*node
	gone   []*node
	runs   map[string]int // arrivals of orders at targets
	stats  map[string]int
	err    error
	names  int
}

func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source.IntN(n)
}

func (f *fleet) count(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats[name]++
}

func (f *fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

func (f *fleet) failed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err != nil
}

// disturbTarget makes a target slow, unreachable or break its answers.
func (f *fleet) disturbTarget(req target.Request) error {
	kind := f.draw(20)
	if kind == 0 {
		return &target.NotSentError{Cause: io.EOF}
	}
	if req.Plain != nil {
		f.mu.Lock()
		f.runs[req.Plain.Path]++
		f.mu.Unlock()
	}
	time.Sleep(time.Duration(f.draw(400)) * time.Millisecond)
	if kind == 1 {
		return &target.IncompleteResponseError{Cause: context.DeadlineExceeded}
	}
	return nil
}

func (f *fleet) add() {
	f.names++
	n := f.start(fmt.Sprintf("n%d", f.names))
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
}

// nodeFor returns the scheduler at an address, or any.
func (f *fleet) nodeFor(addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.opts.Settings.Listen.Wire == addr {
			return n
		}
	}
	return f.nodes[f.source.IntN(len(f.nodes))]
}

// retry asks schedulers until one does more than pass the request on.
func (f *fleet) retry(do func(*node) error) error {
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

// maxStart spreads the starts of programs, in milliseconds.
const maxStart = 40_000

// runProgram creates a program, makes its calls one after another, reads its
// history back and ends it.
func (f *fleet) runProgram(id structs.ProgramID, calls int) {
	ref := structs.ProgramRef{ID: id, Account: "acme"}
	time.Sleep(time.Duration(f.draw(maxStart)) * time.Millisecond)
	err := f.retry(func(n *node) error {
		_, err := n.createProgram(background, structs.CreateProgram{ID: id, Account: "acme", Kind: "plan"})
		return err
	})
	if err != nil {
		f.fail("%s: create: %v", id, err)
		return
	}
	acked := 0
	for number := uint64(1); int(number) <= calls && !f.failed(); {
		outcome := f.runCall(id, number)
		switch {
		case outcome == structs.RunYes:
			acked++
			number++
		case outcome == structs.RunUnknown:
			number = f.nextNumber(ref, number)
		}
		time.Sleep(time.Duration(f.draw(1000)) * time.Millisecond)
	}
	var history structs.History
	err = f.retry(func(n *node) (err error) {
		history, err = n.history(background, ref)
		return err
	})
	if err != nil || len(history.Turns) < acked {
		f.fail("%s: %d calls were acknowledged and %d turns are left (%v)", id, acked, len(history.Turns), err)
	}
	err = f.retry(func(n *node) error {
		_, err := n.endProgram(background, ref)
		return err
	})
	if err != nil {
		f.fail("%s: end: %v", id, err)
	}
}

// runCall makes one call and checks what its caller is told against what the
// targets saw.
func (f *fleet) runCall(id structs.ProgramID, number uint64) structs.Run {
	path := fmt.Sprintf("/%s/%d", id, number)
	call := ask(id, number, path)
	if number%2 == 0 {
		call = order(id, number, path)
	}
	err := f.retry(func(n *node) error {
		_, err := n.do(background, call)
		return err
	})
	f.mu.Lock()
	ran := f.runs[path]
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
		f.fail("%s ran and was refused: %v", path, err)
	case isOrder && run == structs.RunYes && ran != 1:
		f.fail("%s was answered and ran %d times", path, ran)
	}
	return run
}

// nextNumber asks whether the number of a call without a known end is used up.
func (f *fleet) nextNumber(ref structs.ProgramRef, number uint64) uint64 {
	f.retry(func(n *node) error {
		info, err := n.getProgram(background, ref)
		number = max(number, info.NextNumber)
		return err
	})
	return number
}

// disturb cuts one scheduler off for good or for a while, or replaces it in
// the planned way.
func (f *fleet) disturb() {
	i := f.draw(len(f.nodes))
	n := f.nodes[i]
	switch f.draw(3) {
	case 0:
		f.count("cut for a while")
		n.cut.Store(true)
		time.Sleep(time.Duration(1+f.draw(8)) * time.Second)
		n.cut.Store(false)
		return
	case 1:
		f.count("cut for good")
		n.cut.Store(true)
	default:
		f.count("planned stop")
		n.cancel()
	}
	f.add()
	f.mu.Lock()
	f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
	f.gone = append(f.gone, n)
	f.mu.Unlock()
}

func runFleet(t *testing.T, seed uint64, programs int) *fleet {
	f := &fleet{site: newSite(), source: rand.New(rand.NewPCG(seed, 3)), runs: make(map[string]int), stats: make(map[string]int)}
	virtualTime(t, func(*testing.T) {
		for _, b := range f.targets {
			b.fail = f.disturbTarget
		}
		for range 3 {
			f.add()
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
				f.disturb()
			}
		}
		time.Sleep(30 * time.Second)
		for id, b := range f.targets {
			if held := b.holds(); held > 0 {
				f.fail("target %s holds memory of %d programs", id, held)
			}
		}
		for _, n := range append(f.nodes, f.gone...) {
			f.finish(n)
		}
	})
	return f
}

// finish stops a node and checks that it saw no violated invariant.
func (f *fleet) finish(n *node) {
	if faults := n.stats.faults.Load(); faults > 0 {
		f.fail("%d invariants are violated", faults)
	}
	n.cancel()
	<-n.done
}

func TestSoakFleet(t *testing.T) {
	first, seeds := env("ENDIVE_SOAK_FIRST", 1), env("ENDIVE_SOAK_SEEDS", 3)
	programs := min(env("ENDIVE_SOAK_STEPS", 20), 40)
	total := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		f := runFleet(t, uint64(seed), programs)
		assert.NilError(t, f.err, "seed %d", seed)
		for name, n := range f.stats {
			total[name] += n
		}
	}
	t.Logf("%d seeds of %d programs, no violation; %v", seeds, programs, total)
}
