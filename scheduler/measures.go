package scheduler

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// measures are the counters of what callers notice. The maps belong to the
// loop's goroutine.
type measures struct {
	set      *metrics.Set
	latency  *metrics.Histogram // of root programs, in seconds
	waited   *metrics.Histogram // of calls, from queue to target, in seconds
	prompt   *metrics.Counter   // tokens
	cached   *metrics.Counter
	output   *metrics.Counter
	gained   atomic.Uint64 // slots
	lost     atomic.Uint64
	programs map[structs.ProgramID]*lifetime
	waiting  map[program.CallID]arrival
	accounts accountShares
}

// lifetime is a root program that was created in this process.
type lifetime struct {
	began, last structs.Instant
}

// arrival is a call that waits for a target or is at one.
type arrival struct {
	account structs.AccountID
	root    structs.ProgramID
	queued  structs.Instant
	sent    structs.Instant
}

func newMeasures() *measures {
	set := metrics.NewSet()
	return &measures{
		set:      set,
		latency:  set.NewHistogram("endive_program_latency_seconds"),
		waited:   set.NewHistogram("endive_call_wait_seconds"),
		prompt:   set.NewCounter("endive_prompt_tokens_total"),
		cached:   set.NewCounter("endive_prompt_tokens_cached_total"),
		output:   set.NewCounter("endive_output_tokens_total"),
		programs: make(map[structs.ProgramID]*lifetime),
		waiting:  make(map[program.CallID]arrival),
		accounts: newAccountShares(),
	}
}

// event notes an event before the core takes it.
func (m *measures) event(now structs.Instant, e program.Event) {
	switch e := e.(type) {
	case program.CreateRequested:
		if e.Request.Parent == "" {
			m.begin(now, e.Request.ID)
		}
	case program.CallArrived:
		if e.Call.EndAfter {
			m.begin(now, e.Call.Program)
		}
	case program.DispatchFinished:
		delete(m.waiting, e.Call) // of a dispatch that was not begun
	case program.CallRejected:
		delete(m.waiting, e.Call)
	case program.EndRequested:
		if l := m.programs[e.ID]; l != nil {
			l.last = now
		}
	}
}

func (m *measures) begin(now structs.Instant, id structs.ProgramID) {
	if m.programs[id] == nil {
		m.programs[id] = &lifetime{began: now, last: now}
	}
}

// action notes an action of the core.
func (m *measures) action(now structs.Instant, a program.Action) {
	switch a := a.(type) {
	case program.Enqueue:
		m.waiting[a.Call] = arrival{account: a.Item.Account, root: program.RootOf(a.Item.Program), queued: now}
	case program.Dequeue:
		delete(m.waiting, a.Call)
	case program.Send:
		if w, found := m.waiting[a.Call]; found {
			w.sent = now
			m.waiting[a.Call] = w
			m.waited.Update(now.Sub(w.queued).Seconds())
		}
	case program.Refuse:
		m.refused(a.Refusal)
	case program.DropProgram:
		if l := m.programs[a.Program]; l != nil {
			m.latency.Update(l.last.Sub(l.began).Seconds())
			delete(m.programs, a.Program)
		}
	}
}

// refused counts a refusal. Kinds come from this system's own code only.
func (m *measures) refused(refusal *structs.Refusal) {
	if refusal == nil || refusal.Kind == structs.RefusedNotOwner {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`endive_scheduler_refusals_total{kind=%q,run=%q}`, refusal.Kind, refusal.Run)).Inc()
}

// ended notes the end of a dispatch.
func (m *measures) ended(now structs.Instant, call program.CallID, end dispatchEnd) {
	w, found := m.waiting[call]
	if !found {
		return
	}
	delete(m.waiting, call)
	if end.result != program.ResultDone {
		return
	}
	m.prompt.AddInt64(end.usage.PromptTokens)
	m.cached.AddInt64(end.usage.CachedTokens)
	m.output.AddInt64(end.usage.OutputTokens)
	if l := m.programs[w.root]; l != nil {
		l.last = now
	}
	m.accounts.add(now, w.account, w.sent.Sub(w.queued), now.Sub(w.sent))
}

// slotLost forgets the programs of a slot: another process serves them on.
func (m *measures) slotLost(slot structs.Slot, slots int) {
	for id := range m.programs {
		if program.SlotOf(id, slots) == slot {
			delete(m.programs, id)
		}
	}
}
