package storeonly

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

// Store is a component that owns slots and keeps their journals. It implements
// journal.Ownership and journal.Journal, and can hand slots over.
type Store struct {
	opts    Options
	log     *slog.Logger
	changes chan journal.SlotChange
	wake    chan struct{}
	journal journalState
	spawn   func(name string, duty func(ctx context.Context) error)
	rounds  sync.Mutex // one round at a time, so that rows are adopted in order

	mu        sync.Mutex
	row       ownersRow
	beat      uint64
	until     structs.Instant // this process owns its slots before this
	held      map[structs.Slot]structs.Epoch
	seen      map[structs.Incarnation]sighting
	giveUp    map[structs.Slot]bool
	leaving   bool
	renewals  int64
	conflicts int64
}

// sighting is when a member's beat was first read.
type sighting struct {
	beat uint64
	at   structs.Instant
}

// New makes a store that owns nothing.
func New(opts Options) *Store {
	log := opts.Log
	if log == nil {
		log = slog.Default()
	}
	return &Store{
		opts:    opts,
		log:     log.With("component", "storeonly"),
		changes: make(chan journal.SlotChange, 2*opts.Settings.Lease.Slots+1),
		wake:    make(chan struct{}, 1),
		journal: journalState{queues: make(map[structs.Slot]*slotQueue)},
		held:    make(map[structs.Slot]structs.Epoch),
		seen:    make(map[structs.Incarnation]sighting),
		giveUp:  make(map[structs.Slot]bool),
	}
}

// Name returns "storeonly".
func (s *Store) Name() string { return "storeonly" }

// Start starts the renewal of the lease.
func (s *Store) Start(_ context.Context, k *kernel.Kernel) error {
	s.spawn = k.Go
	k.Go("storeonly.lease", s.run)
	return nil
}

// Stop frees what is still owned, so that a successor need not wait.
func (s *Store) Stop(ctx context.Context) error {
	s.StopAcquiring()
	s.mu.Lock()
	for slot := range s.held {
		s.giveUp[slot] = true
	}
	s.mu.Unlock()
	s.round(ctx)
	return nil
}

func (s *Store) run(ctx context.Context) error {
	renew := time.NewTicker(s.opts.Settings.Lease.Renew.Std())
	defer renew.Stop()
	end := time.NewTimer(s.opts.ownFor())
	defer end.Stop()
	for {
		s.round(ctx)
		end.Reset(s.lapsesIn())
		if !s.waitRound(ctx, renew, end) {
			return nil
		}
	}
}

// waitRound waits until the next round is due, and gives the slots up when the
// lease ends before. It reports false at the end of ctx.
func (s *Store) waitRound(ctx context.Context, renew *time.Ticker, end *time.Timer) bool {
	for {
		select {
		case <-renew.C:
			return true
		case <-s.wake:
			return true
		case <-end.C:
			s.dropLapsed(ctx)
		case <-ctx.Done():
			return false
		}
	}
}

// lapsesIn returns the time until the lease ends.
func (s *Store) lapsesIn() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.until.Sub(structs.Now()), 0)
}

// roundTries bounds the tries of one round after conflicts.
const roundTries = 8

// round renews the lease and takes or frees slots.
func (s *Store) round(ctx context.Context) {
	s.rounds.Lock()
	defer s.rounds.Unlock()
	for range roundTries {
		done, err := s.tryRound(ctx)
		if err != nil {
			s.log.Warn("lease not renewed", "error", err)
		}
		s.dropLapsed(ctx)
		if done || err != nil {
			return
		}
	}
}

// tryRound reads the row and writes the next one. It reports false when
// another member was faster.
func (s *Store) tryRound(ctx context.Context) (bool, error) {
	roundCtx, cancel := context.WithTimeout(ctx, s.opts.Settings.Lease.Duration.Std())
	defer cancel()
	key := ownersKey(s.opts.Settings.Domain)
	found, err := s.opts.Table.Get(roundCtx, key)
	if err != nil {
		return false, errors.Wrap(err, "read owners")
	}
	row, err := decodeRow(found.Value, s.opts.Settings.Lease.Slots)
	if err != nil {
		return false, errors.Wrap(err, "decode owners")
	}
	dead := s.observe(row)
	next, beat := s.nextRow(row, dead)
	value, err := msgpack.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "encode owners")
	}
	sent := structs.Now()
	_, err = s.opts.Table.Commit(roundCtx, backing.Txn{
		Require: []backing.Condition{{Key: key, Version: found.Version}},
		Writes:  []backing.Write{{Key: key, Value: value}},
	})
	return s.committed(roundCtx, ctx, err, next, beat, sent)
}

// committed concludes a commit. One without an answer is read back.
func (s *Store) committed(readCtx, ctx context.Context, err error, next ownersRow, beat uint64, sent structs.Instant) (bool, error) {
	var conflict *backing.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		s.mu.Lock()
		s.conflicts++
		s.mu.Unlock()
		return false, nil
	default:
		found, readErr := s.opts.Table.Get(readCtx, ownersKey(s.opts.Settings.Domain))
		if readErr != nil {
			return false, errors.Wrap(err, "write owners")
		}
		row, decodeErr := decodeRow(found.Value, s.opts.Settings.Lease.Slots)
		if decodeErr != nil || row.Members[s.opts.Incarnation].Beat != beat {
			return false, errors.Wrap(err, "write owners")
		}
		next = row
	}
	s.adopt(ctx, next, sent)
	return true, nil
}

// observe notes which beats are new and returns the members that have been
// unchanged for longer than any owner may act.
func (s *Store) observe(row ownersRow) map[structs.Incarnation]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := structs.Now()
	dead := make(map[structs.Incarnation]bool)
	for id, m := range row.Members {
		if id == s.opts.Incarnation {
			continue
		}
		last, known := s.seen[id]
		if !known || last.beat != m.Beat {
			s.seen[id] = sighting{beat: m.Beat, at: now}
			continue
		}
		if now.Sub(last.at) > s.opts.waitFor() {
			dead[id] = true
		}
	}
	for id := range s.seen {
		if _, listed := row.Members[id]; !listed {
			delete(s.seen, id)
		}
	}
	return dead
}

func (s *Store) nextRow(row ownersRow, dead map[structs.Incarnation]bool) (ownersRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beat++
	me := member{Addr: s.opts.addr(), Beat: s.beat, Leaving: s.leaving}
	return row.plan(s.opts.Incarnation, me, dead, s.giveUp), s.beat
}

// adopt makes a written row the known one and reports what changed. A lease
// that has ended meanwhile is not taken up again: its users have seen the loss.
func (s *Store) adopt(ctx context.Context, row ownersRow, sent structs.Instant) {
	s.dropLapsed(ctx)
	s.mu.Lock()
	s.renewals++
	s.row = row
	s.until = sent.Add(s.opts.ownFor())
	var changes []journal.SlotChange
	for slot := range row.Slots {
		changes = append(changes, s.adoptSlot(structs.Slot(slot), row.Slots[slot])...)
	}
	s.mu.Unlock()
	s.report(ctx, changes)
}

func (s *Store) adoptSlot(slot structs.Slot, owner slotOwner) []journal.SlotChange {
	epoch, held := s.held[slot]
	mine := owner.Owner == s.opts.Incarnation
	if !mine {
		delete(s.giveUp, slot)
	}
	var changes []journal.SlotChange
	if s.giveUp[slot] && !held {
		return nil // freed by the next write
	}
	if held && (!mine || epoch != owner.Epoch) {
		delete(s.held, slot)
		changes = append(changes, journal.SlotChange{Slot: slot, Epoch: epoch})
	}
	if mine && (!held || epoch != owner.Epoch) {
		s.held[slot] = owner.Epoch
		changes = append(changes, journal.SlotChange{Slot: slot, Epoch: owner.Epoch, IsHeld: true})
	}
	return changes
}

// dropLapsed gives up every slot once the lease has ended. The slots are taken
// again under a new epoch only: this process frees them with its next write.
func (s *Store) dropLapsed(ctx context.Context) {
	s.mu.Lock()
	var changes []journal.SlotChange
	if structs.Now() >= s.until {
		for slot, epoch := range s.held {
			delete(s.held, slot)
			s.giveUp[slot] = true
			changes = append(changes, journal.SlotChange{Slot: slot, Epoch: epoch})
		}
	}
	s.mu.Unlock()
	s.report(ctx, changes)
}

func (s *Store) report(ctx context.Context, changes []journal.SlotChange) {
	for _, change := range changes {
		select {
		case s.changes <- change:
		case <-ctx.Done():
			return
		}
	}
}
