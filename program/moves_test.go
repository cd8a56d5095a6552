package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

func (w *world) token() Token {
	w.lastToken++
	return w.lastToken
}

func (w *world) create() {
	if w.draw(4) > 0 {
		return
	}
	id := structs.NewProgramID(modelHome, fmt.Sprintf("p%d", len(w.programs)))
	parent := structs.ProgramID("")
	if len(w.programs) > 0 && w.draw(3) == 0 {
		parent = w.programs[w.draw(len(w.programs))]
		id = NewChildID(parent, fmt.Sprintf("c%d", len(w.programs)))
	}
	w.programs = append(w.programs, id)
	w.step(CreateRequested{Token: w.token(), Request: structs.CreateProgram{ID: id, Account: "a", Kind: "k", Parent: parent,
		Budget: int64(20 + w.draw(1500))}, Budget: 1500, IdleLimit: time.Minute})
}

// call sends a call whose content is fixed by its program and number, so that
// a repeated number is a duplicate; now and then it is not.
func (w *world) call() {
	if len(w.programs) == 0 {
		return
	}
	recent := w.programs[max(0, len(w.programs)-recentPrograms):]
	id := recent[w.draw(len(recent))]
	number := uint64(1 + w.draw(int(w.acked[id])+4))
	asked := askedCall{program: id, number: number, repeatable: true, other: w.draw(12) == 0}
	call := structs.Call{Program: id, Account: "a", Number: number, Request: "q"}
	switch number % 3 {
	case 0:
		call.Plain = &structs.PlainCall{Service: "s", Method: "GET", Path: asked.key()}
	case 1:
		asked.repeatable = false
		call.Plain = &structs.PlainCall{Service: "s", Method: "POST", Path: asked.key()}
	default:
		call.Model = &structs.ModelCall{Service: "m", MaxTokens: 20, Messages: []structs.Message{{Role: "user", Content: asked.key()}}}
	}
	token := w.token()
	w.asked[token] = asked
	w.step(CallArrived{Token: token, Call: call, IsRepeatable: asked.repeatable, Timeout: time.Duration(1+w.draw(3000)) * time.Millisecond})
}

// single sends an order that brings its own program, now and then again.
func (w *world) single() {
	if len(w.singles) == 0 || w.draw(2) == 0 {
		w.singles = append(w.singles, structs.NewProgramID(modelHome, fmt.Sprintf("s%d", len(w.singles))))
		w.programs = append(w.programs, w.singles[len(w.singles)-1])
	}
	id := w.singles[w.draw(len(w.singles))]
	asked := askedCall{program: id, number: 1}
	token := w.token()
	w.asked[token] = asked
	call := structs.Call{Program: id, Account: "a", Number: 1, Request: "q", Kind: "k", EndAfter: true,
		Plain: &structs.PlainCall{Service: "s", Method: "POST", Path: asked.key()}}
	w.step(CallArrived{Token: token, Call: call, Timeout: time.Second, Budget: 100})
}

func (w *world) endOne() {
	if len(w.programs) > 0 {
		w.step(EndRequested{Token: w.token(), ID: w.programs[w.draw(len(w.programs))], Account: "a"})
	}
}

// crash kills the owner: each write and each dispatch under way may or may not
// have taken effect.
func (w *world) crash() {
	w.injected["crash"]++
	for _, write := range w.pending {
		if w.draw(2) == 0 {
			w.keep(write.Records)
		}
	}
	for _, s := range w.sends {
		if w.draw(2) == 0 {
			w.arrived(s, s.Request.MaxTokens)
		}
	}
	if w.draw(2) == 0 { // a loss that the owner sees
		w.sends = nil
		w.step(SlotLost{Slot: 0})
	}
	w.takeOver()
	w.checkHistories()
}

func (w *world) checkHistories() {
	for id, number := range w.acked {
		history, refusal := w.core.History(id, "a")
		if refusal != nil || uint64(len(history.Turns)) < number {
			w.fail("%s: %d calls were acknowledged and %d turns are left (%v)", id, number, len(history.Turns), refusal)
		}
		for _, turn := range history.Turns {
			if turn.Plain != nil && !strings.HasPrefix(turn.Plain.Path, string(id)+"#") {
				w.fail("%s holds a turn of %s", id, turn.Plain.Path)
			}
		}
	}
}

func (w *world) tick() {
	w.now = w.now.Add(time.Duration(w.draw(60)) * time.Millisecond)
	w.step(Tick{})
}

func (w *world) random() {
	moves := []func(){w.create, w.single, w.call, w.call, w.call, w.call, w.write, w.write, w.write, w.write,
		w.choose, w.choose, w.choose, w.finish, w.finish, w.finish, w.tick}
	switch n := w.draw(len(moves)*8 + 2); {
	case n == 0:
		w.crash()
	case n == 1:
		w.endOne()
	default:
		moves[n%len(moves)]()
	}
}

// drain ends every program without further failures and checks that nothing
// stays held.
func (w *world) drain() {
	for _, id := range w.programs {
		w.step(EndRequested{Token: w.token(), ID: id, Account: "a"})
	}
	for range 400 {
		w.now = w.now.Add(drainStep)
		w.tick()
		writes := w.pending
		w.pending = nil
		for _, write := range writes {
			w.keep(write.Records)
			w.step(WriteFinished{ID: write.ID, Result: WriteDurable})
		}
	}
	w.sweepAll()
	w.calm = true
	for range 10 {
		w.now = w.now.Add(maxReleaseDelay)
		w.tick()
	}
	w.sweepAll()
	for id, targets := range w.holds {
		if len(targets) > 0 {
			w.fail("%s has ended and is held by %d targets", id, len(targets))
		}
	}
	for _, info := range w.core.List("") {
		if !info.Ended {
			w.fail("%s does not end", info.ID)
		}
	}
}

func (w *world) sweepAll() {
	for id, targets := range w.holds {
		for target := range targets {
			w.step(MemoryReported{Target: target, Programs: []structs.ProgramID{id}})
		}
	}
}
