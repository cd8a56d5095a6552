package scheduler

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/structs"
)

// notReadyRetryAfter is the retry delay sent to a caller while a slot is being taken
// over.
const notReadyRetryAfter = 100 * time.Millisecond

// message is an event for the core, a function to run on the loop's goroutine, or both.
type message struct {
	event program.Event
	fn    func(*loop)
}

// loop steps the core. Only its goroutine accesses the core, the dispatchers and the
// quarantine.
type loop struct {
	s             *Scheduler
	core          *program.Core
	quarantine    *quarantine.List
	dispatchers   map[structs.ServiceID]*dispatcher
	cancels       map[dispatchID]context.CancelFunc
	epochs        map[structs.Slot]structs.Epoch // being recovered or owned
	configVersion uint64                         // configuration version applied to the targets
	isSynced      bool
	pendingEvents []program.Event
	deferredSends []program.Send // waiting for the renewal of their slot's lease
	metrics       *loopMetrics
}

// dispatchID identifies one dispatch attempt of a call.
type dispatchID struct {
	call    program.CallID
	attempt int
}

func newLoop(s *Scheduler) *loop {
	return &loop{
		s:           s,
		core:        program.New(s.coreOptions()),
		quarantine:  quarantine.New(quarantine.Options{}),
		dispatchers: make(map[structs.ServiceID]*dispatcher),
		cancels:     make(map[dispatchID]context.CancelFunc),
		epochs:      make(map[structs.Slot]structs.Epoch),
		metrics:     newLoopMetrics(),
	}
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.s.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-l.s.events.C():
			l.handle(m)
		case <-ticker.C:
			l.tick()
		case <-ctx.Done():
			return nil
		}
		l.processEvents()
	}
}

func (l *loop) handle(m message) {
	if m.fn != nil {
		m.fn(l)
	}
	if m.event != nil {
		l.addEvent(m.event)
	}
}

func (l *loop) addEvent(e program.Event) { l.pendingEvents = append(l.pendingEvents, e) }

func (l *loop) tick() {
	l.syncTargets()
	l.addEvent(program.Tick{})
	l.sendDeferred()
	l.handOverExcess()
}

// processEvents steps the core until no event is pending and no waiting call can be
// assigned a target.
func (l *loop) processEvents() {
	for {
		for len(l.pendingEvents) > 0 {
			event := l.pendingEvents[0]
			l.pendingEvents = l.pendingEvents[1:]
			l.step(event)
		}
		l.pendingEvents = nil
		if !l.assignTargets() {
			return
		}
	}
}

// step passes one event to the core and executes the actions it returns.
func (l *loop) step(event program.Event) {
	now := structs.Now()
	l.metrics.recordEvent(now, event)
	for _, action := range l.core.Step(now, event) {
		l.metrics.recordAction(now, action)
		l.execute(action)
	}
	if lost, ok := event.(program.SlotLost); ok {
		l.metrics.dropSlot(lost.Slot, l.s.opts.Settings.Lease.Slots)
	}
}

// assignTargets assigns targets to waiting calls, and reports whether events are
// pending.
func (l *loop) assignTargets() bool {
	now := structs.Now()
	for _, d := range l.dispatchers {
		for {
			call, target, found := l.nextAssignment(now, d)
			if !found {
				break
			}
			l.addEvent(program.TargetAssigned{Call: call, Target: target})
		}
	}
	return len(l.pendingEvents) > 0
}
