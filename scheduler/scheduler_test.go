package scheduler

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/structs"
)

var background = context.Background()

// refusalOf returns the refusal in err, or an empty one.
func refusalOf(err error) structs.Refusal {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		return *refusal
	}
	return structs.Refusal{}
}

// The history must be sent to the target and chained by hashes, and the memory of an ended
// program must be released even if targets fail the first releases.
func TestProgramFromCreateToEnd(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		id := structs.ProgramID("north/p")
		n.create(t, id)
		for number, text := range []string{"first", "second"} {
			got, err := n.sendCall(background, modelCall(id, uint64(number+1), text))
			assert.NilError(t, err)
			assert.Equal(t, string(got.data), "answer")
		}
		_, err := n.sendCall(background, plainCall(id, 3, "/gravel"))
		assert.NilError(t, err)
		prompts := append(site.targets["a"].prompts, site.targets["b"].prompts...)
		assert.Equal(t, len(prompts), 2)
		assert.Equal(t, max(len(prompts[0]), len(prompts[1])), 3, "the second prompt must hold the first message, its response and the new message")

		history, err := n.history(background, structs.ProgramRef{ID: id, Account: "acme"})
		assert.NilError(t, err)
		assert.Equal(t, len(history.Turns), 3)
		for i, turn := range history.Turns {
			assert.Equal(t, turn.Hash, program.TurnHash(turn))
			if i > 0 {
				assert.Equal(t, turn.PrevHash, history.Turns[i-1].Hash)
			}
		}
		site.targets["a"].releaseFailures, site.targets["b"].releaseFailures = 2, 2
		info, err := n.endProgram(background, structs.ProgramRef{ID: id, Account: "acme"})
		assert.NilError(t, err)
		assert.Assert(t, info.Ended)
		time.Sleep(time.Minute)
		assert.Equal(t, site.targets["a"].heldPrograms()+site.targets["b"].heldPrograms(), 0)
		n.stop(t)
	})
}

func TestProgramIsVisibleToItsAccountOnly(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		n.create(t, "north/p")
		call := modelCall("north/p", 1, "mine")
		call.Account = "other"
		_, err := n.sendCall(background, call)
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedNotFound)
		_, err = n.getProgram(background, structs.ProgramRef{ID: "north/p", Account: "other"})
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedNotFound)
		call.Account = ""
		_, err = n.sendCall(background, call)
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedUnauthorized)
		_, err = n.createProgram(background, structs.CreateProgram{ID: "north/q", Account: "acme", Kind: "talk"})
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedForbidden)
		away := plainCall("north/p", 1, "/x")
		away.Plain.Service = "away"
		_, err = n.sendCall(background, away)
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedForbidden)
		_, err = n.sendCall(background, modelCall("south/p", 1, "elsewhere"))
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedNotOwner)
		n.stop(t)
	})
}

// An owner is cut off from the platform while a target runs a plain call, which must not be
// repeated. The next owner must report that call as unknown, replay earlier responses and
// serve further calls.
func TestNextOwnerContinuesProgram(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		first := site.start("one")
		waitForSlots(first)
		id := structs.ProgramID("north/p")
		first.create(t, id)
		_, err := first.sendCall(background, modelCall(id, 1, "first"))
		assert.NilError(t, err)

		// The call reaches its target, and the owner loses the platform before it
		// finishes.
		site.targets["o"].responseGate = make(chan struct{})
		go first.sendCall(background, plainCall(id, 2, "/gravel"))
		synctest.Wait()
		assert.Equal(t, site.targets["o"].requests(), 1)
		first.isCutOff.Store(true)

		second := site.start("two")
		waitForSlots(second)
		_, err = second.sendCall(background, plainCall(id, 2, "/gravel"))
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedOutcomeUnknown)
		assert.Equal(t, refusalOf(err).Run, structs.RunUnknown)
		assert.Equal(t, site.targets["o"].requests(), 1)
		again, err := second.sendCall(background, modelCall(id, 1, "first"))
		assert.NilError(t, err)
		assert.Assert(t, again.isReplayed)
		assert.Equal(t, string(again.data), "answer")
		_, err = second.sendCall(background, modelCall(id, 3, "third"))
		assert.NilError(t, err)
		history, err := second.history(background, structs.ProgramRef{ID: id, Account: "acme"})
		assert.NilError(t, err)
		assert.Equal(t, len(history.Turns), 3)
		assert.Equal(t, history.Turns[1].Outcome, structs.RunUnknown)
		second.stop(t)
		first.stop(t)
	})
}

func TestPlannedStopInterruptsNoCall(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		first := site.start("one")
		waitForSlots(first)
		id := structs.ProgramID("north/p")
		first.create(t, id)
		site.targets["o"].responseGate = make(chan struct{})
		result := make(chan error, 1)
		go func() {
			_, err := first.sendCall(background, plainCall(id, 1, "/gravel"))
			result <- err
		}()
		synctest.Wait()
		second := site.start("two")
		first.cancel()
		time.Sleep(10 * time.Second)
		select {
		case err := <-result:
			t.Fatalf("the call ended before its target responded: %v", err)
		default:
		}
		close(site.targets["o"].responseGate)
		assert.NilError(t, <-result)
		assert.NilError(t, <-first.done)
		waitForSlots(second)
		got, err := second.sendCall(background, plainCall(id, 1, "/gravel"))
		assert.NilError(t, err)
		assert.Assert(t, got.isReplayed)
		assert.Equal(t, string(got.data), "done")
		second.stop(t)
	})
}

func TestCallCompletesAfterCallerDisconnects(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		n.create(t, "north/p")
		gate := make(chan struct{})
		site.targets["a"].responseGate, site.targets["b"].responseGate = gate, gate
		ctx, cancel := context.WithCancel(background)
		go n.sendCall(ctx, modelCall("north/p", 1, "first"))
		synctest.Wait()
		cancel()
		synctest.Wait()
		close(gate)
		got, err := n.sendCall(background, modelCall("north/p", 1, "first"))
		assert.NilError(t, err)
		assert.Equal(t, string(got.data), "answer")
		assert.Equal(t, site.targets["a"].requests()+site.targets["b"].requests(), 1)
		n.stop(t)
	})
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		crash := func(req target.Request) error {
			if req.Messages[len(req.Messages)-1].Content == "poison" {
				return &target.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
			}
			return nil
		}
		site.targets["a"].fail, site.targets["b"].fail = crash, crash
		n.create(t, "north/p")
		_, err := n.sendCall(background, modelCall("north/p", 1, "poison"))
		assert.Equal(t, refusalOf(err).Run, structs.RunUnknown)
		assert.Equal(t, site.targets["a"].requests()+site.targets["b"].requests(), 2)
		n.create(t, "north/q")
		_, err = n.sendCall(background, modelCall("north/q", 1, "poison"))
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedQuarantined)
		assert.Equal(t, refusalOf(err).Run, structs.RunNo)
		time.Sleep(2 * targetDownPeriod)
		_, err = n.sendCall(background, modelCall("north/q", 1, "sound"))
		assert.NilError(t, err)
		n.stop(t)
	})
}

func TestQuarantineIsSharedWithOtherSchedulers(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		first := site.start("one")
		waitForSlots(first)
		crash := func(target.Request) error { return &target.IncompleteResponseError{Cause: io.ErrUnexpectedEOF} }
		site.targets["a"].fail, site.targets["b"].fail = crash, crash
		first.create(t, "north/p")
		_, err := first.sendCall(background, modelCall("north/p", 1, "poison"))
		assert.Equal(t, refusalOf(err).Run, structs.RunUnknown)
		time.Sleep(2 * syncInterval)
		first.stop(t)
		second := site.start("two")
		waitForSlots(second)
		time.Sleep(2 * syncInterval)
		requests := site.targets["a"].requests() + site.targets["b"].requests()
		second.create(t, "north/q")
		_, err = second.sendCall(background, modelCall("north/q", 1, "poison"))
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedQuarantined)
		assert.Equal(t, site.targets["a"].requests()+site.targets["b"].requests(), requests)
		time.Sleep(quarantine.DefaultPeriod)
		site.targets["a"].fail, site.targets["b"].fail = nil, nil
		_, err = second.sendCall(background, modelCall("north/q", 1, "poison"))
		assert.NilError(t, err)
		second.stop(t)
	})
}

func TestLeavingTargetGetsNoCalls(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		n.create(t, "north/p")
		site.leaving.Store(structs.TargetID("a"), true)
		for number := uint64(1); number <= 5; number++ {
			_, err := n.sendCall(background, modelCall("north/p", number, "text"))
			assert.NilError(t, err)
		}
		assert.Equal(t, site.targets["a"].requests(), 0)
		site.leaving.Store(structs.TargetID("b"), true)
		_, err := n.sendCall(background, modelCall("north/p", 6, "text"))
		assert.Equal(t, refusalOf(err).Run, structs.RunNo)
		n.stop(t)
	})
}

func TestSlotsSpreadOverSchedulers(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		nodes := []*testNode{site.start("one"), site.start("two")}
		time.Sleep(10 * time.Second)
		waitForSlots(nodes...)
		for _, n := range nodes {
			var slots int
			n.runOnLoop(background, func(l *loop) { slots = l.core.Counts().Slots })
			assert.Equal(t, slots, testSlots/2)
		}
		id := structs.ProgramID("north/p")
		slot := program.SlotOf(id, testSlots)
		owner, other := nodes[0], nodes[1]
		if _, held := owner.store.HeldEpoch(slot); !held {
			owner, other = other, owner
		}
		_, err := other.createProgram(background, structs.CreateProgram{ID: id, Account: "acme", Kind: "plan"})
		refusal := refusalOf(err)
		assert.Equal(t, refusal.Kind, structs.RefusedNotOwner)
		assert.Equal(t, refusal.Owner, owner.opts.Settings.Listen.Wire)
		for _, n := range nodes {
			n.stop(t)
		}
	})
}

func TestSingleCalls(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		direct := plainCall("north/d", 1, "/court")
		direct.EndAfter = true
		_, err := n.sendCall(background, direct)
		assert.NilError(t, err)
		again, err := n.sendCall(background, direct)
		assert.NilError(t, err)
		assert.Assert(t, again.isReplayed)
		assert.Equal(t, site.targets["o"].requests(), 1)
		chat := modelCall("north/c", 1, "hello")
		chat.Kind, chat.EndAfter = "plan", true
		_, err = n.sendCall(background, chat)
		assert.NilError(t, err)
		info, err := n.getProgram(background, structs.ProgramRef{ID: "north/c", Account: "acme"})
		assert.NilError(t, err)
		assert.Assert(t, info.Ended)
		time.Sleep(time.Minute)
		assert.Equal(t, site.targets["a"].heldPrograms()+site.targets["b"].heldPrograms(), 0)
		n.stop(t)
	})
}

// A caller that stops waiting for the loop must not share memory with the function that
// the loop still runs for it. The race detector reports the shared variable.
func TestAbandonedQuerySharesNoMemoryWithLoop(t *testing.T) {
	const rounds = 20
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		id := structs.ProgramID("north/p")
		n.create(t, id)
		for range rounds {
			blocked := make(chan struct{})
			go n.runOnLoop(background, func(*loop) { <-blocked })
			synctest.Wait()
			ctx, cancel := context.WithCancel(background)
			turns := make(chan int, 1)
			go func() {
				history, _ := n.history(ctx, structs.ProgramRef{ID: id, Account: "acme"})
				turns <- len(history.Turns)
			}()
			synctest.Wait()
			cancel()
			close(blocked)
			<-turns
			synctest.Wait()
		}
		n.stop(t)
	})
}
