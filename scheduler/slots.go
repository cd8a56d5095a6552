package scheduler

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxRecoveries limits the number of concurrent slot recoveries.
	maxRecoveries = 16
	// recoverRetryDelay is the time between two attempts to recover a slot.
	recoverRetryDelay = 200 * time.Millisecond
)

// watchSlots recovers the slots that this process gains and drops those that it loses.
func (s *Scheduler) watchSlots(ctx context.Context) error {
	sem := make(chan struct{}, maxRecoveries)
	for {
		select {
		case change := <-s.opts.Ownership.Changes():
			s.applyChange(ctx, change, sem)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Scheduler) applyChange(ctx context.Context, change journal.SlotChange, sem chan struct{}) {
	s.recordChange(change)
	s.post(ctx, message{fn: func(l *loop) {
		switch {
		case change.IsContinued && l.core.OwnsSlot(change.Slot):
			l.continueSlot(change)
		case change.IsHeld:
			l.epochs[change.Slot] = change.Epoch
			s.startRecovery(change, sem)
		default:
			delete(l.epochs, change.Slot)
			l.addEvent(program.SlotLost{Slot: change.Slot})
		}
	}})
}

// continueSlot continues a slot under a later epoch. Its deferred dispatches then wait
// for the lease of that epoch.
func (l *loop) continueSlot(change journal.SlotChange) {
	l.epochs[change.Slot] = change.Epoch
	l.addEvent(program.SlotContinued{Slot: change.Slot, Epoch: change.Epoch})
	for i := range l.deferredSends {
		if l.deferredSends[i].Slot == change.Slot {
			l.deferredSends[i].Epoch = change.Epoch
		}
	}
}

func (s *Scheduler) startRecovery(change journal.SlotChange, sem chan struct{}) {
	s.kernel.Go("scheduler.recover", func(ctx context.Context) error {
		select {
		case sem <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		defer func() { <-sem }()
		s.recoverSlot(ctx, change)
		return nil
	})
}

// recordChange counts and logs a slot that was gained or lost.
func (s *Scheduler) recordChange(change journal.SlotChange) {
	if change.IsHeld {
		s.loop.metrics.slotsGained.Add(1)
		s.log.Info("slot gained", "slot", change.Slot, "epoch", change.Epoch)
		return
	}
	s.loop.metrics.slotsLost.Add(1)
	s.log.Info("slot lost", "slot", change.Slot, "epoch", change.Epoch)
}

// recoverSlot retries reading the journal of a slot until it succeeds or this process
// no longer holds the slot in that epoch.
func (s *Scheduler) recoverSlot(ctx context.Context, change journal.SlotChange) {
	for s.holdsSlot(change.Slot, change.Epoch) {
		records, err := s.opts.Journal.Recover(ctx, change.Slot, change.Epoch)
		if err == nil {
			s.post(ctx, message{fn: func(l *loop) { l.addRecoveredSlot(change, records) }})
			return
		}
		s.log.Warn("slot not recovered", "slot", change.Slot, "epoch", change.Epoch, "error", err)
		select {
		case <-time.After(recoverRetryDelay):
		case <-ctx.Done():
			return
		}
	}
}

// addRecoveredSlot passes a recovered slot to the core, unless its epoch has changed in
// the meantime.
func (l *loop) addRecoveredSlot(change journal.SlotChange, records []journal.Record) {
	if l.epochs[change.Slot] != change.Epoch {
		return
	}
	l.addEvent(program.SlotGained{Slot: change.Slot, Epoch: change.Epoch, Records: records})
}

// handOverExcess hands over idle slots that another process should own.
func (l *loop) handOverExcess() {
	releaser, ok := l.s.opts.Ownership.(Releaser)
	if !ok || l.s.isDraining.Load() {
		return
	}
	l.handOverIdle(releaser, releaser.Excess())
}

// handOverIdle gives up those of the slots in which nothing runs.
func (l *loop) handOverIdle(releaser Releaser, slots []structs.Slot) {
	for _, slot := range slots {
		if l.core.IsBusy(slot) {
			continue
		}
		if _, known := l.epochs[slot]; !known {
			continue
		}
		delete(l.epochs, slot)
		l.step(program.SlotLost{Slot: slot})
		l.s.handovers.Add(1)
		l.s.kernel.Go("scheduler.handover", func(ctx context.Context) error {
			defer l.s.handovers.Add(-1)
			if err := releaser.Release(ctx, slot); err != nil {
				l.s.log.Warn("slot not handed over", "slot", slot, "error", err)
			}
			return nil
		})
	}
}

// drainPollInterval is the time between two checks for idle slots while draining.
const drainPollInterval = 20 * time.Millisecond

// Drain hands over every slot as soon as nothing runs in it, and returns when none is
// left. In the first half of the time until ctx's deadline, new calls are accepted as
// long as their slot is owned here, so that none is refused because of the stop. After
// that they are refused as not ready, so that every slot becomes idle.
func (s *Scheduler) Drain(ctx context.Context) error {
	releaser, ok := s.opts.Ownership.(Releaser)
	s.isDraining.Store(true)
	if deadline, limited := ctx.Deadline(); limited {
		stop := time.AfterFunc(time.Until(deadline)/2, func() { s.rejectsCalls.Store(true) })
		defer stop.Stop()
	}
	if ok {
		releaser.StopAcquiring()
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		remaining, err := queryLoop(ctx, s, func(l *loop) int {
			if !ok {
				return l.core.Counts().Calls + l.core.Counts().Writes
			}
			l.handOverIdle(releaser, l.ownedSlots())
			return len(l.epochs) + int(s.handovers.Load())
		})
		if err != nil {
			return err
		}
		if remaining == 0 {
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
