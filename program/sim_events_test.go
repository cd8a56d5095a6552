package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

func (w *simulation) newToken() Token {
	w.lastToken++
	return w.lastToken
}

func (w *simulation) createProgram() {
	if w.draw(4) > 0 {
		return
	}
	id := structs.NewProgramID(testDomain, fmt.Sprintf("p%d", len(w.programs)))
	parent := structs.ProgramID("")
	if len(w.programs) > 0 && w.draw(3) == 0 {
		parent = w.programs[w.draw(len(w.programs))]
		id = NewChildID(parent, fmt.Sprintf("c%d", len(w.programs)))
	}
	w.programs = append(w.programs, id)
	w.step(CreateRequested{Token: w.newToken(), Request: structs.CreateProgram{ID: id, Account: "a", Kind: "k", Parent: parent,
		Budget: int64(20 + w.draw(1500))}, Budget: 1500, IdleLimit: time.Minute})
}

// sendCall sends a call. Program and number determine its content, so that a
// repeated number is a duplicate. With a chance of 1 in 12 the content differs,
// which is a conflict.
func (w *simulation) sendCall() {
	if len(w.programs) == 0 {
		return
	}
	recent := w.programs[max(0, len(w.programs)-recentPrograms):]
	id := recent[w.draw(len(recent))]
	number := uint64(1 + w.draw(int(w.acked[id])+4))
	sent := sentCall{program: id, number: number, isRepeatable: true, hasOtherContent: w.draw(12) == 0}
	call := structs.Call{Program: id, Account: "a", Number: number, Request: "q"}
	switch number % 3 {
	case 0:
		call.Plain = &structs.PlainCall{Service: "s", Method: "GET", Path: sent.key()}
	case 1:
		sent.isRepeatable = false
		call.Plain = &structs.PlainCall{Service: "s", Method: "POST", Path: sent.key()}
	default:
		call.Model = &structs.ModelCall{Service: "m", MaxTokens: 20, Messages: []structs.Message{{Role: "user", Content: sent.key()}}}
	}
	token := w.newToken()
	w.sentCalls[token] = sent
	w.step(CallArrived{Token: token, Call: call, IsRepeatable: sent.isRepeatable, Timeout: time.Duration(1+w.draw(3000)) * time.Millisecond})
}

// sendSingleCall sends a plain call that creates its own program, or repeats an
// earlier one.
func (w *simulation) sendSingleCall() {
	if len(w.singlePrograms) == 0 || w.draw(2) == 0 {
		w.singlePrograms = append(w.singlePrograms, structs.NewProgramID(testDomain, fmt.Sprintf("s%d", len(w.singlePrograms))))
		w.programs = append(w.programs, w.singlePrograms[len(w.singlePrograms)-1])
	}
	id := w.singlePrograms[w.draw(len(w.singlePrograms))]
	sent := sentCall{program: id, number: 1}
	token := w.newToken()
	w.sentCalls[token] = sent
	call := structs.Call{Program: id, Account: "a", Number: 1, Request: "q", Kind: "k", EndAfter: true,
		Plain: &structs.PlainCall{Service: "s", Method: "POST", Path: sent.key()}}
	w.step(CallArrived{Token: token, Call: call, Timeout: time.Second, Budget: 100})
}

func (w *simulation) endProgram() {
	if len(w.programs) > 0 {
		w.step(EndRequested{Token: w.newToken(), ID: w.programs[w.draw(len(w.programs))], Account: "a"})
	}
}

// crash stops the owner and starts another. Each write and each dispatch in
// progress may or may not have taken effect.
func (w *simulation) crash() {
	w.eventCounts["crash"]++
	for _, write := range w.pending {
		if w.draw(2) == 0 {
			w.appendDurable(write.Records)
		}
	}
	for _, s := range w.sends {
		if w.draw(2) == 0 {
			w.recordArrival(s, s.Request.MaxTokens)
		}
	}
	if w.draw(2) == 0 { // the owner learns that it lost the slot
		w.sends = nil
		w.step(SlotLost{Slot: 0})
	}
	w.startOwner()
	w.checkHistories()
}

func (w *simulation) checkHistories() {
	for id, number := range w.acked {
		history, refusal := w.core.History(id, "a")
		if refusal != nil || uint64(len(history.Turns)) < number {
			w.fail("program %s: %d calls were acknowledged, but the history has %d turns (%v)", id, number, len(history.Turns), refusal)
		}
		for _, turn := range history.Turns {
			if turn.Plain != nil && !strings.HasPrefix(turn.Plain.Path, string(id)+"#") {
				w.fail("history of program %s contains the turn of call %s", id, turn.Plain.Path)
			}
		}
	}
}

func (w *simulation) tick() {
	w.now = w.now.Add(time.Duration(w.draw(60)) * time.Millisecond)
	w.step(Tick{})
}

func (w *simulation) randomEvent() {
	moves := []func(){w.createProgram, w.sendSingleCall, w.sendCall, w.sendCall, w.sendCall, w.sendCall, w.finishWrite, w.finishWrite, w.finishWrite, w.finishWrite,
		w.assignTarget, w.assignTarget, w.assignTarget, w.finishDispatch, w.finishDispatch, w.finishDispatch, w.tick}
	switch n := w.draw(len(moves)*8 + 2); {
	case n == 0:
		w.crash()
	case n == 1:
		w.endProgram()
	default:
		moves[n%len(moves)]()
	}
}

// drain ends every program with all writes succeeding and checks that no target
// still holds memory.
func (w *simulation) drain() {
	for _, id := range w.programs {
		w.step(EndRequested{Token: w.newToken(), ID: id, Account: "a"})
	}
	for range 400 {
		w.now = w.now.Add(drainStep)
		w.tick()
		writes := w.pending
		w.pending = nil
		for _, write := range writes {
			w.appendDurable(write.Records)
			w.step(WriteFinished{ID: write.ID, Result: WriteDurable})
		}
	}
	w.reportAllMemory()
	w.isReleaseReliable = true
	for range 10 {
		w.now = w.now.Add(maxReleaseDelay)
		w.tick()
	}
	w.reportAllMemory()
	for id, targets := range w.memoryHolds {
		if len(targets) > 0 {
			w.fail("program %s has ended, but %d targets still hold memory for it", id, len(targets))
		}
	}
	for _, info := range w.core.List("") {
		if !info.Ended {
			w.fail("program %s does not end", info.ID)
		}
	}
}

func (w *simulation) reportAllMemory() {
	for id, targets := range w.memoryHolds {
		for target := range targets {
			w.step(MemoryReported{Target: target, Programs: []structs.ProgramID{id}})
		}
	}
}
