package scheduler

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// loopMetrics holds the metrics that the loop records: latency, waiting time, tokens,
// refusals and slot changes. Only the loop's goroutine accesses the maps.
type loopMetrics struct {
	set            *metrics.Set
	programLatency *metrics.Histogram // of root programs, in seconds
	callWait       *metrics.Histogram // from enqueueing a call to its dispatch, in seconds
	promptTokens   *metrics.Counter
	cachedTokens   *metrics.Counter
	outputTokens   *metrics.Counter
	slotsGained    atomic.Uint64
	slotsLost      atomic.Uint64
	programs       map[structs.ProgramID]*lifetime
	pending        map[program.CallID]pendingCall
	accounts       accountSlowdowns
}

// lifetime records when a root program created in this process started and when its
// last call finished.
type lifetime struct {
	startedAt, lastCallAt structs.Instant
}

// pendingCall is a call that waits for a target or runs at one.
type pendingCall struct {
	account  structs.AccountID
	root     structs.ProgramID
	queuedAt structs.Instant
	sentAt   structs.Instant
}

func newLoopMetrics() *loopMetrics {
	set := metrics.NewSet()
	return &loopMetrics{
		set:            set,
		programLatency: set.NewHistogram("endive_program_latency_seconds"),
		callWait:       set.NewHistogram("endive_call_wait_seconds"),
		promptTokens:   set.NewCounter("endive_prompt_tokens_total"),
		cachedTokens:   set.NewCounter("endive_prompt_tokens_cached_total"),
		outputTokens:   set.NewCounter("endive_output_tokens_total"),
		programs:       make(map[structs.ProgramID]*lifetime),
		pending:        make(map[program.CallID]pendingCall),
		accounts:       newAccountSlowdowns(),
	}
}

// recordEvent records an event before the core processes it.
func (m *loopMetrics) recordEvent(now structs.Instant, e program.Event) {
	switch e := e.(type) {
	case program.CreateRequested:
		if e.Request.Parent == "" {
			m.startProgram(now, e.Request.ID)
		}
	case program.CallArrived:
		if e.Call.EndAfter {
			m.startProgram(now, e.Call.Program)
		}
	case program.DispatchFinished:
		delete(m.pending, e.Call) // the dispatch was never sent; recordFinish handles the others
	case program.CallRejected:
		delete(m.pending, e.Call)
	case program.EndRequested:
		if l := m.programs[e.ID]; l != nil {
			l.lastCallAt = now
		}
	}
}

func (m *loopMetrics) startProgram(now structs.Instant, id structs.ProgramID) {
	if m.programs[id] == nil {
		m.programs[id] = &lifetime{startedAt: now, lastCallAt: now}
	}
}

// recordAction records an action of the core.
func (m *loopMetrics) recordAction(now structs.Instant, a program.Action) {
	switch a := a.(type) {
	case program.Enqueue:
		m.pending[a.Call] = pendingCall{account: a.Item.Account, root: program.RootOf(a.Item.Program), queuedAt: now}
	case program.Dequeue:
		delete(m.pending, a.Call)
	case program.Send:
		if w, found := m.pending[a.Call]; found {
			w.sentAt = now
			m.pending[a.Call] = w
			m.callWait.Update(now.Sub(w.queuedAt).Seconds())
		}
	case program.Refuse:
		m.countRefusal(a.Refusal)
	case program.DropProgram:
		if l := m.programs[a.Program]; l != nil {
			m.programLatency.Update(l.lastCallAt.Sub(l.startedAt).Seconds())
			delete(m.programs, a.Program)
		}
	}
}

// countRefusal counts a refusal. The number of series is bounded, because kinds come
// from this system's code only.
func (m *loopMetrics) countRefusal(refusal *structs.Refusal) {
	if refusal == nil || refusal.Kind == structs.RefusedNotOwner {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`endive_scheduler_refusals_total{kind=%q,run=%q}`, refusal.Kind, refusal.Run)).Inc()
}

// recordFinish records the end of a dispatch.
func (m *loopMetrics) recordFinish(now structs.Instant, call program.CallID, end dispatchOutcome) {
	w, found := m.pending[call]
	if !found {
		return
	}
	delete(m.pending, call)
	if end.result != program.ResultDone {
		return
	}
	m.promptTokens.AddInt64(end.usage.PromptTokens)
	m.cachedTokens.AddInt64(end.usage.CachedTokens)
	m.outputTokens.AddInt64(end.usage.OutputTokens)
	if l := m.programs[w.root]; l != nil {
		l.lastCallAt = now
	}
	m.accounts.add(now, w.account, w.sentAt.Sub(w.queuedAt), now.Sub(w.sentAt))
}

// dropSlot removes the programs of a slot that another process now serves.
func (m *loopMetrics) dropSlot(slot structs.Slot, slots int) {
	for id := range m.programs {
		if program.SlotOf(id, slots) == slot {
			delete(m.programs, id)
		}
	}
}
