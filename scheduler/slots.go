package scheduler

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxRecoveries bounds the slots that are recovered at a time.
	maxRecoveries = 16
	// recoverRetry is the time between two tries to recover a slot.
	recoverRetry = 200 * time.Millisecond
)

// followSlots takes gained slots over and drops lost ones.
func (s *Scheduler) followSlots(ctx context.Context) error {
	room := make(chan struct{}, maxRecoveries)
	for {
		select {
		case change := <-s.opts.Ownership.Changes():
			s.changed(ctx, change, room)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Scheduler) changed(ctx context.Context, change journal.SlotChange, room chan struct{}) {
	s.noteChange(change)
	s.post(ctx, message{do: func(l *loop) {
		switch {
		case change.IsContinued && l.core.OwnsSlot(change.Slot):
			l.continued(change)
		case change.IsHeld:
			l.epochs[change.Slot] = change.Epoch
			s.startRecovery(change, room)
		default:
			delete(l.epochs, change.Slot)
			l.queue(program.SlotLost{Slot: change.Slot})
		}
	}})
}

// continued goes on with a slot under a later epoch. Calls that wait for the
// lease wait for that epoch's.
func (l *loop) continued(change journal.SlotChange) {
	l.epochs[change.Slot] = change.Epoch
	l.queue(program.SlotContinued{Slot: change.Slot, Epoch: change.Epoch})
	for i := range l.parked {
		if l.parked[i].Slot == change.Slot {
			l.parked[i].Epoch = change.Epoch
		}
	}
}

func (s *Scheduler) startRecovery(change journal.SlotChange, room chan struct{}) {
	s.kernel.Go("scheduler.recover", func(ctx context.Context) error {
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		defer func() { <-room }()
		s.recoverSlot(ctx, change)
		return nil
	})
}

// noteChange counts and logs a slot that was gained or lost.
func (s *Scheduler) noteChange(change journal.SlotChange) {
	if change.IsHeld {
		s.loop.measures.gained.Add(1)
		s.log.Info("slot gained", "slot", change.Slot, "epoch", change.Epoch)
		return
	}
	s.loop.measures.lost.Add(1)
	s.log.Info("slot lost", "slot", change.Slot, "epoch", change.Epoch)
}

// recoverSlot reads the journal of a slot until it succeeds or the slot has
// moved on.
func (s *Scheduler) recoverSlot(ctx context.Context, change journal.SlotChange) {
	for s.holds(change.Slot, change.Epoch) {
		records, err := s.opts.Journal.Recover(ctx, change.Slot, change.Epoch)
		if err == nil {
			s.post(ctx, message{do: func(l *loop) { l.recovered(change, records) }})
			return
		}
		s.log.Warn("slot not recovered", "slot", change.Slot, "epoch", change.Epoch, "error", err)
		select {
		case <-time.After(recoverRetry):
		case <-ctx.Done():
			return
		}
	}
}

// recovered hands a slot to the core, unless it has moved on meanwhile.
func (l *loop) recovered(change journal.SlotChange, records []journal.Record) {
	if l.epochs[change.Slot] != change.Epoch {
		return
	}
	l.queue(program.SlotGained{Slot: change.Slot, Epoch: change.Epoch, Records: records})
}

// returnExcess hands idle slots to a process that has too few.
func (l *loop) returnExcess() {
	releaser, ok := l.s.opts.Ownership.(Releaser)
	if !ok || l.s.draining.Load() {
		return
	}
	l.handOver(releaser, releaser.Excess())
}

// handOver gives up those of the slots in which nothing runs.
func (l *loop) handOver(releaser Releaser, slots []structs.Slot) {
	for _, slot := range slots {
		if l.core.IsBusy(slot) {
			continue
		}
		if _, known := l.epochs[slot]; !known {
			continue
		}
		delete(l.epochs, slot)
		l.step(program.SlotLost{Slot: slot})
		l.s.handing.Add(1)
		l.s.kernel.Go("scheduler.handover", func(ctx context.Context) error {
			defer l.s.handing.Add(-1)
			if err := releaser.Release(ctx, slot); err != nil {
				l.s.log.Warn("slot not handed over", "slot", slot, "error", err)
			}
			return nil
		})
	}
}

// drainStep is the time between two looks at the slots while draining.
const drainStep = 20 * time.Millisecond

// Drain hands every slot over as soon as nothing runs in it, and returns when
// none is left. In the first half of its time, new calls are taken as long as
// their slot is here, so that none is refused for the stop; after that they
// are refused as not ready, so that every slot falls idle.
func (s *Scheduler) Drain(ctx context.Context) error {
	releaser, ok := s.opts.Ownership.(Releaser)
	s.draining.Store(true)
	if deadline, limited := ctx.Deadline(); limited {
		stop := time.AfterFunc(time.Until(deadline)/2, func() { s.closed.Store(true) })
		defer stop.Stop()
	}
	if ok {
		releaser.StopAcquiring()
	}
	ticker := time.NewTicker(drainStep)
	defer ticker.Stop()
	for {
		left := 0
		err := s.ask(ctx, func(l *loop) {
			if !ok {
				left = l.core.Counts().Calls + l.core.Counts().Writes
				return
			}
			l.handOver(releaser, l.ownedSlots())
			left = len(l.epochs) + int(s.handing.Load())
		})
		if err != nil {
			return err
		}
		if left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *loop) ownedSlots() []structs.Slot {
	slots := make([]structs.Slot, 0, len(l.epochs))
	for slot := range l.epochs {
		slots = append(slots, slot)
	}
	return slots
}
