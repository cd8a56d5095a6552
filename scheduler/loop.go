package scheduler

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/structs"
)

// retryNotReady is when a caller may ask again while a slot is being taken
// over.
const retryNotReady = 100 * time.Millisecond

// message is what other goroutines hand to the loop: an event for the core or
// a function to run on the loop's goroutine.
type message struct {
	event program.Event
	do    func(*loop)
}

// loop is the only goroutine that touches the core, the dispatchers and the
// quarantine.
type loop struct {
	s           *Scheduler
	core        *program.Core
	quarantine  *quarantine.List
	dispatchers map[structs.ServiceID]*dispatcher
	cancels     map[dispatchID]context.CancelFunc
	epochs      map[structs.Slot]structs.Epoch // being recovered or owned
	version     uint64                         // of the configuration that the targets follow
	synced      bool
	todo        []program.Event
	parked      []program.Send // that wait for their slot's lease
	measures    *measures
}

// dispatchID names one dispatch of a call.
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
		measures:    newMeasures(),
	}
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.s.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-l.s.events.C():
			l.take(m)
		case <-ticker.C:
			l.tick()
		case <-ctx.Done():
			return nil
		}
		l.settle()
	}
}

func (l *loop) take(m message) {
	if m.do != nil {
		m.do(l)
	}
	if m.event != nil {
		l.queue(m.event)
	}
}

func (l *loop) queue(e program.Event) { l.todo = append(l.todo, e) }

func (l *loop) tick() {
	l.syncTargets()
	l.queue(program.Tick{})
	l.sendParked()
	l.returnExcess()
}

// settle steps the core until no event is left and no waiting call can be
// given a target.
func (l *loop) settle() {
	for {
		for len(l.todo) > 0 {
			event := l.todo[0]
			l.todo = l.todo[1:]
			l.step(event)
		}
		l.todo = nil
		if !l.pump() {
			return
		}
	}
}

// step gives the core one event and carries its actions out.
func (l *loop) step(event program.Event) {
	now := structs.Now()
	l.measures.event(now, event)
	for _, action := range l.core.Step(now, event) {
		l.measures.action(now, action)
		l.act(action)
	}
	if lost, ok := event.(program.SlotLost); ok {
		l.measures.slotLost(lost.Slot, l.s.opts.Settings.Lease.Slots)
	}
}

// pump chooses targets for waiting calls.
func (l *loop) pump() bool {
	now := structs.Now()
	for _, d := range l.dispatchers {
		for {
			call, target, found := l.next(now, d)
			if !found {
				break
			}
			l.queue(program.TargetAssigned{Call: call, Target: target})
		}
	}
	return len(l.todo) > 0
}
