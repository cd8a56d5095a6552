package program

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// harness drives a core. By default every write is durable at once and every
// queued call is assigned to target "t" at once.
type harness struct {
	*testing.T
	core           *Core
	now            structs.Instant
	writeResult    WriteResult
	isHoldingQueue bool // queued calls get no target
	records        []journal.Record
	sends          []Send
	queued         []Enqueue
	replies        map[Token][]structs.CallEvent
	infos          map[Token]structs.ProgramInfo
	refusals       map[Token]*structs.Refusal
	releases       []Release
	violations     []error
}

func newHarness(t *testing.T, opts Options) *harness {
	opts.Domain, opts.Slots = "north", 1
	b := &harness{T: t, core: New(opts), writeResult: WriteDurable, replies: make(map[Token][]structs.CallEvent),
		infos: make(map[Token]structs.ProgramInfo), refusals: make(map[Token]*structs.Refusal)}
	b.step(SlotGained{Slot: 0, Epoch: 1})
	return b
}

func (b *harness) step(e Event) {
	b.now = b.now.Add(time.Millisecond)
	for _, action := range b.core.Step(b.now, e) {
		switch a := action.(type) {
		case Write:
			if b.writeResult == WriteDurable {
				b.records = append(b.records, a.Records...)
			}
			b.step(WriteFinished{ID: a.ID, Result: b.writeResult})
		case Enqueue:
			b.queued = append(b.queued, a)
			if !b.isHoldingQueue {
				b.step(TargetAssigned{Call: a.Call, Target: "t"})
			}
		case Send:
			b.sends = append(b.sends, a)
		case DeliverEvent:
			b.replies[a.Token] = append(b.replies[a.Token], a.Event)
		case DeliverInfo:
			b.infos[a.Token] = a.Info
		case Refuse:
			b.refusals[a.Token] = a.Refusal
		case Release:
			b.releases = append(b.releases, a)
		case ReportViolation:
			b.violations = append(b.violations, a.Err)
		}
	}
}

const (
	createToken Token = 1000 + iota
	endToken
)

func (b *harness) create(id structs.ProgramID, budget int64) {
	b.Helper()
	spec := structs.CreateProgram{ID: id, Account: "a", Kind: "k", Budget: budget}
	if root := RootOf(id); root != id {
		spec.Parent = root
	}
	b.step(CreateRequested{Token: createToken, Request: spec, Budget: 100000, IdleLimit: time.Hour})
}

func modelCall(id structs.ProgramID, number uint64, text string) structs.Call {
	return structs.Call{Program: id, Account: "a", Number: number, Request: "q",
		Model: &structs.ModelCall{Service: "m", MaxTokens: 100, Messages: []structs.Message{{Role: "user", Content: text}}}}
}

func plainCall(id structs.ProgramID, number uint64, path string) structs.Call {
	return structs.Call{Program: id, Account: "a", Number: number, Request: "q",
		Plain: &structs.PlainCall{Service: "s", Method: "POST", Path: path}}
}

func (b *harness) call(token Token, call structs.Call) {
	b.step(CallArrived{Token: token, Call: call, IsRepeatable: call.Model != nil, Timeout: time.Minute, Budget: 1000})
}

// finish ends the most recent dispatch.
func (b *harness) finish(result Result, data string, usage structs.Usage) {
	last := b.sends[len(b.sends)-1]
	if data != "" {
		b.step(ResponsePart{Call: last.Call, Attempt: last.Attempt, Data: []byte(data)})
	}
	b.step(DispatchFinished{Call: last.Call, Attempt: last.Attempt, Result: result, Usage: usage})
}

func (b *harness) isDone(token Token) bool {
	events := b.replies[token]
	return len(events) > 0 && events[len(events)-1].Kind == structs.EventDone
}

func (b *harness) assertRefused(token Token, kind structs.RefusalKind, run structs.Run) {
	b.Helper()
	refusal := b.refusals[token]
	assert.Assert(b, refusal != nil, "request was not refused")
	assert.Equal(b, refusal.Kind, kind)
	assert.Equal(b, refusal.Run, run)
}

func (b *harness) info(id structs.ProgramID) structs.ProgramInfo {
	b.Helper()
	info, refusal := b.core.Info(id, "a")
	assert.Assert(b, refusal == nil, "%v", refusal)
	return info
}

const testProgram = structs.ProgramID("north/p")

var someUsage = structs.Usage{PromptTokens: 5, OutputTokens: 5}

func TestCoreScenarios(t *testing.T) {
	cases := []struct {
		name string
		opts Options
		run  func(b *harness)
	}{
		{"early call waits for the calls before it", Options{}, func(b *harness) {
			b.call(2, modelCall(testProgram, 2, "second"))
			assert.Equal(b, len(b.sends), 0)
			b.call(1, modelCall(testProgram, 1, "first"))
			assert.Equal(b, len(b.sends), 1)
			b.finish(ResultDone, "one", someUsage)
			assert.Assert(b, b.isDone(1))
			assert.Equal(b, len(b.sends[1].Request.Messages), 3)
			assert.Equal(b, b.sends[1].Request.Messages[1].Content, "one")
		}},
		{"call beyond the reorder window is refused", Options{ReorderWindow: 2}, func(b *harness) {
			b.call(1, modelCall(testProgram, 3, "third"))
			b.assertRefused(1, structs.RefusedOutOfOrder, structs.RunNo)
		}},
		{"duplicate joins the running call and is replayed afterwards", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.step(ResponsePart{Call: b.sends[0].Call, Attempt: 1, Data: []byte("an")})
			b.call(2, modelCall(testProgram, 1, "x"))
			b.finish(ResultDone, "swer", someUsage)
			assert.Assert(b, b.isDone(1) && b.isDone(2))
			b.call(3, modelCall(testProgram, 1, "x"))
			assert.Assert(b, b.isDone(3))
			assert.Equal(b, string(b.replies[3][1].Data), "answer")
			assert.Equal(b, len(b.sends), 1)
		}},
		{"known number with other content is refused", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.call(2, modelCall(testProgram, 1, "y"))
			b.assertRefused(2, structs.RefusedConflict, structs.RunNo)
			b.finish(ResultDone, "a", someUsage)
			b.call(3, modelCall(testProgram, 1, "y"))
			b.assertRefused(3, structs.RefusedConflict, structs.RunNo)
		}},
		{"idempotency key identifies a call without a number", Options{}, func(b *harness) {
			callWithKey := plainCall(testProgram, 0, "/x")
			callWithKey.IdempotencyKey = "key"
			b.call(1, callWithKey)
			b.call(2, callWithKey)
			b.finish(ResultDone, "a", structs.Usage{})
			b.call(3, callWithKey)
			assert.Assert(b, b.isDone(1) && b.isDone(2) && b.isDone(3))
			assert.Equal(b, len(b.sends), 1)
		}},
		{"output is cut to the budget", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.finish(ResultDone, "a", structs.Usage{PromptTokens: 10, OutputTokens: 50})
			b.call(2, modelCall(testProgram, 2, "x"))
			assert.Equal(b, b.sends[1].Request.MaxTokens, int64(200-60-60-13))
		}},
		{"call without budget left is refused", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.finish(ResultDone, "a", structs.Usage{PromptTokens: 10, OutputTokens: 100})
			b.call(2, modelCall(testProgram, 2, "x"))
			b.assertRefused(2, structs.RefusedOverBudget, structs.RunNo)
			assert.Equal(b, b.info(testProgram).NextNumber, uint64(2))
		}},
		{"spent budget ends the program", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.finish(ResultDone, "a", structs.Usage{PromptTokens: 100, OutputTokens: 500})
			assert.Equal(b, b.info(testProgram).Spent, int64(200))
			assert.Assert(b, b.info(testProgram).Ended)
			assert.Equal(b, len(b.releases), 1)
		}},
		{"unspent budget of a child is returned once", Options{}, func(b *harness) {
			child := NewChildID(testProgram, "c")
			b.create(child, 150)
			assert.Equal(b, b.info(testProgram).Reserved, int64(150))
			b.create(NewChildID(testProgram, "d"), 51)
			b.assertRefused(createToken, structs.RefusedOverBudget, structs.RunNo)
			b.call(1, modelCall(child, 1, "x"))
			b.finish(ResultDone, "a", someUsage)
			b.step(EndRequested{Token: endToken, ID: child, Account: "a"})
			b.step(EndRequested{Token: endToken, ID: child, Account: "a"})
			assert.Equal(b, b.info(testProgram).Reserved, int64(0))
			assert.Equal(b, b.info(testProgram).Spent, int64(10))
		}},
		{"end of a parent ends its children", Options{}, func(b *harness) {
			child := NewChildID(testProgram, "c")
			b.create(child, 150)
			b.call(1, modelCall(child, 1, "x"))
			b.step(EndRequested{Token: endToken, ID: testProgram, Account: "a"})
			b.assertRefused(1, structs.RefusedProgramEnded, structs.RunUnknown)
			assert.Assert(b, b.info(child).Ended && b.infos[endToken].Ended)
			assert.Equal(b, b.info(testProgram).Reserved, int64(0))
		}},
		{"call that was not sent is sent again", Options{MaxAttempts: 2}, func(b *harness) {
			b.call(1, plainCall(testProgram, 1, "/x"))
			b.finish(ResultNotSent, "", structs.Usage{})
			assert.Equal(b, len(b.sends), 2)
			b.finish(ResultNotSent, "", structs.Usage{})
			b.assertRefused(1, structs.RefusedNoTarget, structs.RunNo)
			assert.Equal(b, b.info(testProgram).NextNumber, uint64(1))
		}},
		{"plain call without an outcome is not sent again", Options{}, func(b *harness) {
			b.call(1, plainCall(testProgram, 1, "/x"))
			b.finish(ResultIncomplete, "", structs.Usage{})
			b.assertRefused(1, structs.RefusedOutcomeUnknown, structs.RunUnknown)
			b.call(2, plainCall(testProgram, 1, "/x"))
			b.assertRefused(2, structs.RefusedOutcomeUnknown, structs.RunUnknown)
			assert.Equal(b, len(b.sends), 1)
			assert.Equal(b, b.info(testProgram).NextNumber, uint64(2))
		}},
		{"repeated model call costs the reservation of the failed attempt", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.finish(ResultIncomplete, "", structs.Usage{})
			assert.Equal(b, len(b.sends), 2)
			b.finish(ResultDone, "a", someUsage)
			assert.Assert(b, b.isDone(1))
			assert.Equal(b, b.info(testProgram).Spent, int64(113+10))
		}},
		{"response that ends early is not repeated", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.finish(ResultIncomplete, "a", structs.Usage{})
			b.assertRefused(1, structs.RefusedAnswerIncomplete, structs.RunUnknown)
			assert.Equal(b, len(b.sends), 1)
		}},
		{"plain call is sent after its intent is durable", Options{}, func(b *harness) {
			b.writeResult = WriteUnknown
			b.call(1, plainCall(testProgram, 1, "/x"))
			assert.Equal(b, len(b.sends), 0)
			b.writeResult = WriteDurable
			b.now = b.now.Add(time.Second)
			b.step(Tick{})
			assert.Equal(b, len(b.sends), 1)
		}},
		{"full journal refuses calls and programs", Options{}, func(b *harness) {
			b.writeResult = WriteTailFull
			b.call(1, plainCall(testProgram, 1, "/x"))
			b.assertRefused(1, structs.RefusedTailFull, structs.RunNo)
			b.create("north/q", 10)
			b.assertRefused(createToken, structs.RefusedTailFull, structs.RunNo)
			b.writeResult = WriteDurable
			b.call(2, plainCall(testProgram, 1, "/x"))
			assert.Equal(b, len(b.sends), 1)
		}},
		{"no acknowledgement before the turn is durable", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.writeResult = WriteTailFull
			b.finish(ResultDone, "a", someUsage)
			assert.Assert(b, !b.isDone(1))
			b.writeResult = WriteDurable
			b.now = b.now.Add(time.Second)
			b.step(Tick{})
			assert.Assert(b, b.isDone(1))
		}},
		{"calls and programs above the limits are refused", Options{MaxCalls: 1, MaxPrograms: 1}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.call(2, modelCall(testProgram, 2, "x"))
			b.assertRefused(2, structs.RefusedQueueFull, structs.RunNo)
			b.create("north/q", 10)
			b.assertRefused(createToken, structs.RefusedQueueFull, structs.RunNo)
		}},
		{"timeouts", Options{}, func(b *harness) {
			b.isHoldingQueue = true
			b.call(1, plainCall(testProgram, 1, "/x"))
			b.call(3, plainCall(testProgram, 3, "/x"))
			b.now = b.now.Add(time.Hour / 2)
			b.step(Tick{})
			b.assertRefused(1, structs.RefusedTimeout, structs.RunNo)
			b.assertRefused(3, structs.RefusedOutOfOrder, structs.RunNo)
			b.isHoldingQueue = false
			b.call(2, plainCall(testProgram, 1, "/x"))
			b.now = b.now.Add(time.Hour / 2)
			b.step(Tick{})
			b.assertRefused(2, structs.RefusedTimeout, structs.RunUnknown)
		}},
		{"idle program ends", Options{}, func(b *harness) {
			b.call(1, modelCall(testProgram, 1, "x"))
			b.finish(ResultDone, "a", someUsage)
			b.now = b.now.Add(time.Hour)
			b.step(Tick{})
			assert.Equal(b, b.info(testProgram).EndedReason, reasonIdle)
			assert.Equal(b, len(b.releases), 1)
			b.step(ReleaseFinished{Program: testProgram, Target: "t", OK: false})
			b.now = b.now.Add(time.Second)
			b.step(Tick{})
			assert.Equal(b, len(b.releases), 2)
			b.step(TargetRemoved{Target: "t"})
			b.now = b.now.Add(time.Minute)
			b.step(Tick{})
			assert.Equal(b, len(b.releases), 2)
		}},
		{"memory of running programs and of other slots is kept", Options{}, func(b *harness) {
			b.step(MemoryReported{Target: "t", Programs: []structs.ProgramID{testProgram, "south/x", "north/gone"}})
			assert.DeepEqual(b, b.releases, []Release{{Program: "north/gone", Target: "t"}})
		}},
		{"recovered plain call without a turn is not sent again", Options{}, func(b *harness) {
			b.call(1, plainCall(testProgram, 1, "/x"))
			b.step(SlotLost{Slot: 0})
			b.assertRefused(1, structs.RefusedAnswerIncomplete, structs.RunUnknown)
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: b.records})
			b.call(2, plainCall(testProgram, 1, "/x"))
			b.assertRefused(2, structs.RefusedOutcomeUnknown, structs.RunUnknown)
			assert.Equal(b, len(b.sends), 1)
		}},
		{"recovered program of a single call ends", Options{}, func(b *harness) {
			singleCall := modelCall("north/s", 1, "x")
			singleCall.EndAfter, singleCall.Kind = true, "k"
			b.call(1, singleCall)
			b.step(SlotLost{Slot: 0})
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: b.records})
			b.call(2, singleCall)
			b.finish(ResultDone, "a", someUsage)
			assert.Assert(b, b.isDone(2))
			assert.Equal(b, b.info("north/s").Spent, int64(113+10))
			b.step(SlotGained{Slot: 0, Epoch: 3, Records: b.records[:3]})
			b.now = b.now.Add(2 * singleIdleLimit)
			b.step(Tick{})
			assert.Assert(b, b.info("north/s").Ended)
		}},
		{"gap in the history is detected", Options{}, func(b *harness) {
			for n := range uint64(3) {
				b.call(Token(n), modelCall(testProgram, n+1, "x"))
				b.finish(ResultDone, "a", someUsage)
			}
			withGap := append([]journal.Record(nil), b.records[:3]...)
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: append(withGap, b.records[5:]...)})
			assert.Equal(b, len(b.violations), 1)
			b.violations = nil
			b.call(9, modelCall(testProgram, 4, "x"))
			b.assertRefused(9, structs.RefusedInvariant, structs.RunNo)
		}},
		{"turn of another program is detected", Options{}, func(b *harness) {
			b.create("north/q", 200)
			for _, id := range []structs.ProgramID{testProgram, "north/q"} {
				b.call(1, modelCall(id, 1, "x"))
				b.finish(ResultDone, "a", someUsage)
			}
			records := append([]journal.Record(nil), b.records...)
			for i := range records {
				if records[i].Kind == journal.KindTurn && records[i].Program == testProgram {
					records[i].Body = b.records[len(b.records)-1].Body
				}
			}
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: records})
			assert.Equal(b, len(b.violations), 1)
			b.violations = nil
			_, refusal := b.core.History(testProgram, "a")
			assert.Equal(b, refusal.Kind, structs.RefusedInvariant)
			assert.Equal(b, len(b.core.programs["north/q"].turns), 1)
		}},
		{"program of another account is not found", Options{}, func(b *harness) {
			otherAccountCall := modelCall(testProgram, 1, "x")
			otherAccountCall.Account = "b"
			b.call(1, otherAccountCall)
			b.assertRefused(1, structs.RefusedNotFound, structs.RunNo)
			b.step(EndRequested{Token: 2, ID: testProgram, Account: "b"})
			b.assertRefused(2, structs.RefusedNotFound, structs.RunNo)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, c.opts)
			b.create(testProgram, 200)
			c.run(b)
			assert.Equal(b, len(b.violations), 0, "%v", b.violations)
		})
	}
}
