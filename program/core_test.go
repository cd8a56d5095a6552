package program

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// bench steps a core whose writes are durable at once and whose calls are
// given target "t" at once, unless it is told otherwise.
type bench struct {
	*testing.T
	core    *Core
	now     structs.Instant
	result  WriteResult
	wait    bool // calls wait for a target
	records []journal.Record
	sends   []Send
	queued  []Enqueue
	replies map[Token][]structs.CallEvent
	infos   map[Token]structs.ProgramInfo
	refused map[Token]*structs.Refusal
	freed   []Release
	faults  []error
}

func newBench(t *testing.T, opts Options) *bench {
	opts.Domain, opts.Slots = "north", 1
	b := &bench{T: t, core: New(opts), result: WriteDurable, replies: make(map[Token][]structs.CallEvent),
		infos: make(map[Token]structs.ProgramInfo), refused: make(map[Token]*structs.Refusal)}
	b.step(SlotGained{Slot: 0, Epoch: 1})
	return b
}

func (b *bench) step(e Event) {
	b.now = b.now.Add(time.Millisecond)
	for _, action := range b.core.Step(b.now, e) {
		switch a := action.(type) {
		case Write:
			if b.result == WriteDurable {
				b.records = append(b.records, a.Records...)
			}
			b.step(WriteFinished{ID: a.ID, Result: b.result})
		case Enqueue:
			b.queued = append(b.queued, a)
			if !b.wait {
				b.step(TargetAssigned{Call: a.Call, Target: "t"})
			}
		case Send:
			b.sends = append(b.sends, a)
		case DeliverEvent:
			b.replies[a.Token] = append(b.replies[a.Token], a.Event)
		case DeliverInfo:
			b.infos[a.Token] = a.Info
		case Refuse:
			b.refused[a.Token] = a.Refusal
		case Release:
			b.freed = append(b.freed, a)
		case ReportViolation:
			b.faults = append(b.faults, a.Err)
		}
	}
}

const (
	createToken Token = 1000 + iota
	endToken
)

func (b *bench) create(id structs.ProgramID, budget int64) {
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

func (b *bench) call(token Token, call structs.Call) {
	b.step(CallArrived{Token: token, Call: call, IsRepeatable: call.Model != nil, Timeout: time.Minute, Budget: 1000})
}

// finish ends the last dispatch.
func (b *bench) finish(result Result, data string, usage structs.Usage) {
	last := b.sends[len(b.sends)-1]
	if data != "" {
		b.step(ResponsePart{Call: last.Call, Attempt: last.Attempt, Data: []byte(data)})
	}
	b.step(DispatchFinished{Call: last.Call, Attempt: last.Attempt, Result: result, Usage: usage})
}

func (b *bench) done(token Token) bool {
	events := b.replies[token]
	return len(events) > 0 && events[len(events)-1].Kind == structs.EventDone
}

func (b *bench) wantRefused(token Token, kind structs.RefusalKind, run structs.Run) {
	b.Helper()
	refusal := b.refused[token]
	assert.Assert(b, refusal != nil, "not refused")
	assert.Equal(b, refusal.Kind, kind)
	assert.Equal(b, refusal.Run, run)
}

func (b *bench) info(id structs.ProgramID) structs.ProgramInfo {
	b.Helper()
	info, refusal := b.core.Info(id, "a")
	assert.Assert(b, refusal == nil, "%v", refusal)
	return info
}

const p = structs.ProgramID("north/p")

var someUsage = structs.Usage{PromptTokens: 5, OutputTokens: 5}

func TestCore(t *testing.T) {
	cases := []struct {
		name string
		opts Options
		run  func(b *bench)
	}{
		{"early calls wait for their turn", Options{}, func(b *bench) {
			b.call(2, modelCall(p, 2, "second"))
			assert.Equal(b, len(b.sends), 0)
			b.call(1, modelCall(p, 1, "first"))
			assert.Equal(b, len(b.sends), 1)
			b.finish(ResultDone, "one", someUsage)
			assert.Assert(b, b.done(1))
			assert.Equal(b, len(b.sends[1].Request.Messages), 3)
			assert.Equal(b, b.sends[1].Request.Messages[1].Content, "one")
		}},
		{"too far ahead", Options{ReorderWindow: 2}, func(b *bench) {
			b.call(1, modelCall(p, 3, "third"))
			b.wantRefused(1, structs.RefusedOutOfOrder, structs.RunNo)
		}},
		{"duplicate joins and replays", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.step(ResponsePart{Call: b.sends[0].Call, Attempt: 1, Data: []byte("an")})
			b.call(2, modelCall(p, 1, "x"))
			b.finish(ResultDone, "swer", someUsage)
			assert.Assert(b, b.done(1) && b.done(2))
			b.call(3, modelCall(p, 1, "x"))
			assert.Assert(b, b.done(3))
			assert.Equal(b, string(b.replies[3][1].Data), "answer")
			assert.Equal(b, len(b.sends), 1)
		}},
		{"number with another content", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.call(2, modelCall(p, 1, "y"))
			b.wantRefused(2, structs.RefusedConflict, structs.RunNo)
			b.finish(ResultDone, "a", someUsage)
			b.call(3, modelCall(p, 1, "y"))
			b.wantRefused(3, structs.RefusedConflict, structs.RunNo)
		}},
		{"idempotency key without number", Options{}, func(b *bench) {
			keyed := plainCall(p, 0, "/x")
			keyed.IdempotencyKey = "key"
			b.call(1, keyed)
			b.call(2, keyed)
			b.finish(ResultDone, "a", structs.Usage{})
			b.call(3, keyed)
			assert.Assert(b, b.done(1) && b.done(2) && b.done(3))
			assert.Equal(b, len(b.sends), 1)
		}},
		{"output is cut to the budget", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.finish(ResultDone, "a", structs.Usage{PromptTokens: 10, OutputTokens: 50})
			b.call(2, modelCall(p, 2, "x"))
			assert.Equal(b, b.sends[1].Request.MaxTokens, int64(200-60-60-13))
		}},
		{"nothing left", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.finish(ResultDone, "a", structs.Usage{PromptTokens: 10, OutputTokens: 100})
			b.call(2, modelCall(p, 2, "x"))
			b.wantRefused(2, structs.RefusedOverBudget, structs.RunNo)
			assert.Equal(b, b.info(p).NextNumber, uint64(2))
		}},
		{"spent budget ends the program", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.finish(ResultDone, "a", structs.Usage{PromptTokens: 100, OutputTokens: 500})
			assert.Equal(b, b.info(p).Spent, int64(200))
			assert.Assert(b, b.info(p).Ended)
			assert.Equal(b, len(b.freed), 1)
		}},
		{"a child's rest returns once", Options{}, func(b *bench) {
			child := NewChildID(p, "c")
			b.create(child, 150)
			assert.Equal(b, b.info(p).Reserved, int64(150))
			b.create(NewChildID(p, "d"), 51)
			b.wantRefused(createToken, structs.RefusedOverBudget, structs.RunNo)
			b.call(1, modelCall(child, 1, "x"))
			b.finish(ResultDone, "a", someUsage)
			b.step(EndRequested{Token: endToken, ID: child, Account: "a"})
			b.step(EndRequested{Token: endToken, ID: child, Account: "a"})
			assert.Equal(b, b.info(p).Reserved, int64(0))
			assert.Equal(b, b.info(p).Spent, int64(10))
		}},
		{"a parent's end ends its children", Options{}, func(b *bench) {
			child := NewChildID(p, "c")
			b.create(child, 150)
			b.call(1, modelCall(child, 1, "x"))
			b.step(EndRequested{Token: endToken, ID: p, Account: "a"})
			b.wantRefused(1, structs.RefusedProgramEnded, structs.RunUnknown)
			assert.Assert(b, b.info(child).Ended && b.infos[endToken].Ended)
			assert.Equal(b, b.info(p).Reserved, int64(0))
		}},
		{"not sent is sent again", Options{MaxAttempts: 2}, func(b *bench) {
			b.call(1, plainCall(p, 1, "/x"))
			b.finish(ResultNotSent, "", structs.Usage{})
			assert.Equal(b, len(b.sends), 2)
			b.finish(ResultNotSent, "", structs.Usage{})
			b.wantRefused(1, structs.RefusedNoTarget, structs.RunNo)
			assert.Equal(b, b.info(p).NextNumber, uint64(1))
		}},
		{"broken order is not sent again", Options{}, func(b *bench) {
			b.call(1, plainCall(p, 1, "/x"))
			b.finish(ResultIncomplete, "", structs.Usage{})
			b.wantRefused(1, structs.RefusedOutcomeUnknown, structs.RunUnknown)
			b.call(2, plainCall(p, 1, "/x"))
			b.wantRefused(2, structs.RefusedOutcomeUnknown, structs.RunUnknown)
			assert.Equal(b, len(b.sends), 1)
			assert.Equal(b, b.info(p).NextNumber, uint64(2))
		}},
		{"broken model call costs its reservation", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.finish(ResultIncomplete, "", structs.Usage{})
			assert.Equal(b, len(b.sends), 2)
			b.finish(ResultDone, "a", someUsage)
			assert.Assert(b, b.done(1))
			assert.Equal(b, b.info(p).Spent, int64(113+10))
		}},
		{"answer cut after its first byte", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.finish(ResultIncomplete, "a", structs.Usage{})
			b.wantRefused(1, structs.RefusedAnswerIncomplete, structs.RunUnknown)
			assert.Equal(b, len(b.sends), 1)
		}},
		{"intent before an order is sent", Options{}, func(b *bench) {
			b.result = WriteUnknown
			b.call(1, plainCall(p, 1, "/x"))
			assert.Equal(b, len(b.sends), 0)
			b.result = WriteDurable
			b.now = b.now.Add(time.Second)
			b.step(Tick{})
			assert.Equal(b, len(b.sends), 1)
		}},
		{"no room in the journal", Options{}, func(b *bench) {
			b.result = WriteTailFull
			b.call(1, plainCall(p, 1, "/x"))
			b.wantRefused(1, structs.RefusedTailFull, structs.RunNo)
			b.create("north/q", 10)
			b.wantRefused(createToken, structs.RefusedTailFull, structs.RunNo)
			b.result = WriteDurable
			b.call(2, plainCall(p, 1, "/x"))
			assert.Equal(b, len(b.sends), 1)
		}},
		{"no acknowledgement before the turn is durable", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.result = WriteTailFull
			b.finish(ResultDone, "a", someUsage)
			assert.Assert(b, !b.done(1))
			b.result = WriteDurable
			b.now = b.now.Add(time.Second)
			b.step(Tick{})
			assert.Assert(b, b.done(1))
		}},
		{"too many calls and programs", Options{MaxCalls: 1, MaxPrograms: 1}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.call(2, modelCall(p, 2, "x"))
			b.wantRefused(2, structs.RefusedQueueFull, structs.RunNo)
			b.create("north/q", 10)
			b.wantRefused(createToken, structs.RefusedQueueFull, structs.RunNo)
		}},
		{"timeouts", Options{}, func(b *bench) {
			b.wait = true
			b.call(1, plainCall(p, 1, "/x"))
			b.call(3, plainCall(p, 3, "/x"))
			b.now = b.now.Add(time.Hour / 2)
			b.step(Tick{})
			b.wantRefused(1, structs.RefusedTimeout, structs.RunNo)
			b.wantRefused(3, structs.RefusedOutOfOrder, structs.RunNo)
			b.wait = false
			b.call(2, plainCall(p, 1, "/x"))
			b.now = b.now.Add(time.Hour / 2)
			b.step(Tick{})
			b.wantRefused(2, structs.RefusedTimeout, structs.RunUnknown)
		}},
		{"idle program ends", Options{}, func(b *bench) {
			b.call(1, modelCall(p, 1, "x"))
			b.finish(ResultDone, "a", someUsage)
			b.now = b.now.Add(time.Hour)
			b.step(Tick{})
			assert.Equal(b, b.info(p).EndedReason, reasonIdle)
			assert.Equal(b, len(b.freed), 1)
			b.step(ReleaseFinished{Program: p, Target: "t", OK: false})
			b.now = b.now.Add(time.Second)
			b.step(Tick{})
			assert.Equal(b, len(b.freed), 2)
			b.step(TargetRemoved{Target: "t"})
			b.now = b.now.Add(time.Minute)
			b.step(Tick{})
			assert.Equal(b, len(b.freed), 2)
		}},
		{"sweep spares what may run", Options{}, func(b *bench) {
			b.step(MemoryReported{Target: "t", Programs: []structs.ProgramID{p, "south/x", "north/gone"}})
			assert.DeepEqual(b, b.freed, []Release{{Program: "north/gone", Target: "t"}})
		}},
		{"recovered order without an end", Options{}, func(b *bench) {
			b.call(1, plainCall(p, 1, "/x"))
			b.step(SlotLost{Slot: 0})
			b.wantRefused(1, structs.RefusedAnswerIncomplete, structs.RunUnknown)
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: b.records})
			b.call(2, plainCall(p, 1, "/x"))
			b.wantRefused(2, structs.RefusedOutcomeUnknown, structs.RunUnknown)
			assert.Equal(b, len(b.sends), 1)
		}},
		{"recovered single call ends", Options{}, func(b *bench) {
			single := modelCall("north/s", 1, "x")
			single.EndAfter, single.Kind = true, "k"
			b.call(1, single)
			b.step(SlotLost{Slot: 0})
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: b.records})
			b.call(2, single)
			b.finish(ResultDone, "a", someUsage)
			assert.Assert(b, b.done(2))
			assert.Equal(b, b.info("north/s").Spent, int64(113+10))
			b.step(SlotGained{Slot: 0, Epoch: 3, Records: b.records[:3]})
			b.now = b.now.Add(2 * singleIdleLimit)
			b.step(Tick{})
			assert.Assert(b, b.info("north/s").Ended)
		}},
		{"gap in the history", Options{}, func(b *bench) {
			for n := range uint64(3) {
				b.call(Token(n), modelCall(p, n+1, "x"))
				b.finish(ResultDone, "a", someUsage)
			}
			cut := append([]journal.Record(nil), b.records[:3]...)
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: append(cut, b.records[5:]...)})
			assert.Equal(b, len(b.faults), 1)
			b.faults = nil
			b.call(9, modelCall(p, 4, "x"))
			b.wantRefused(9, structs.RefusedInvariant, structs.RunNo)
		}},
		{"turn of another program", Options{}, func(b *bench) {
			b.create("north/q", 200)
			for _, id := range []structs.ProgramID{p, "north/q"} {
				b.call(1, modelCall(id, 1, "x"))
				b.finish(ResultDone, "a", someUsage)
			}
			mixed := append([]journal.Record(nil), b.records...)
			for i := range mixed {
				if mixed[i].Kind == journal.KindTurn && mixed[i].Program == p {
					mixed[i].Body = b.records[len(b.records)-1].Body
				}
			}
			b.step(SlotGained{Slot: 0, Epoch: 2, Records: mixed})
			assert.Equal(b, len(b.faults), 1)
			b.faults = nil
			_, refusal := b.core.History(p, "a")
			assert.Equal(b, refusal.Kind, structs.RefusedInvariant)
			assert.Equal(b, len(b.core.programs["north/q"].turns), 1)
		}},
		{"other account", Options{}, func(b *bench) {
			foreign := modelCall(p, 1, "x")
			foreign.Account = "b"
			b.call(1, foreign)
			b.wantRefused(1, structs.RefusedNotFound, structs.RunNo)
			b.step(EndRequested{Token: 2, ID: p, Account: "b"})
			b.wantRefused(2, structs.RefusedNotFound, structs.RunNo)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, c.opts)
			b.create(p, 200)
			c.run(b)
			assert.Equal(b, len(b.faults), 0, "%v", b.faults)
		})
	}
}
