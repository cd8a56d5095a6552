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
// journal.Ownership and journal.Journal, and can hand over slots.
type Store struct {
	opts        Options
	log         *slog.Logger
	changes     chan journal.SlotChange
	wake        chan struct{}
	journal     journalQueues
	startWorker func(name string, worker func(ctx context.Context) error)
	renewMu     sync.Mutex // held by renewLease, so that rows are applied in the order written

	mu         sync.Mutex
	row        ownersRow
	heartbeat  uint64
	leaseEnd   structs.Instant // this process owns its slots until then
	held       map[structs.Slot]structs.Epoch
	heartbeats map[structs.Incarnation]observation
	toRelease  map[structs.Slot]bool
	isLeaving  bool
	renewals   int64
	conflicts  int64
}

// observation is a member's heartbeat and the time it was first read.
type observation struct {
	heartbeat uint64
	firstSeen structs.Instant
}

// New returns a store that owns no slots.
func New(opts Options) *Store {
	log := opts.Log
	if log == nil {
		log = slog.Default()
	}
	return &Store{
		opts:       opts,
		log:        log.With("component", "storeonly"),
		changes:    make(chan journal.SlotChange, 2*opts.Settings.Lease.Slots+1),
		wake:       make(chan struct{}, 1),
		journal:    journalQueues{queues: make(map[structs.Slot]*slotQueue)},
		held:       make(map[structs.Slot]structs.Epoch),
		heartbeats: make(map[structs.Incarnation]observation),
		toRelease:  make(map[structs.Slot]bool),
	}
}

func (s *Store) Name() string { return "storeonly" }

// Start starts the worker that renews the lease.
func (s *Store) Start(_ context.Context, k *kernel.Kernel) error {
	s.startWorker = k.Go
	k.Go("storeonly.lease", s.run)
	return nil
}

// Stop releases the slots still owned, so that a successor need not wait for the lease
// to expire.
func (s *Store) Stop(ctx context.Context) error {
	s.StopAcquiring()
	s.mu.Lock()
	for slot := range s.held {
		s.toRelease[slot] = true
	}
	s.mu.Unlock()
	s.renewLease(ctx)
	return nil
}

func (s *Store) run(ctx context.Context) error {
	renew := time.NewTicker(s.opts.Settings.Lease.Renew.Std())
	defer renew.Stop()
	end := time.NewTimer(s.opts.leaseValidity())
	defer end.Stop()
	for {
		s.renewLease(ctx)
		end.Reset(s.leaseRemaining())
		if !s.waitForRenewal(ctx, renew, end) {
			return nil
		}
	}
}

// waitForRenewal waits until the next renewal is due, and gives up the slots if the lease
// expires before. It returns false when ctx ends.
func (s *Store) waitForRenewal(ctx context.Context, renew *time.Ticker, end *time.Timer) bool {
	for {
		select {
		case <-renew.C:
			return true
		case <-s.wake:
			return true
		case <-end.C:
			s.dropExpired(ctx)
		case <-ctx.Done():
			return false
		}
	}
}

// leaseRemaining returns the time until the lease expires.
func (s *Store) leaseRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.leaseEnd.Sub(structs.Now()), 0)
}

// maxRenewAttempts limits the attempts of one renewal after conflicts.
const maxRenewAttempts = 8

// renewLease renews the lease and takes or releases slots.
func (s *Store) renewLease(ctx context.Context) {
	s.renewMu.Lock()
	defer s.renewMu.Unlock()
	for range maxRenewAttempts {
		done, err := s.tryRenew(ctx)
		if err != nil {
			s.log.Warn("lease not renewed", "error", err)
		}
		s.dropExpired(ctx)
		if done || err != nil {
			return
		}
	}
}

// tryRenew reads the row and writes the next one. It returns false if another member
// has written the row in between.
func (s *Store) tryRenew(ctx context.Context) (bool, error) {
	renewCtx, cancel := context.WithTimeout(ctx, s.opts.Settings.Lease.Duration.Std())
	defer cancel()
	key := ownersKey(s.opts.Settings.Domain)
	found, err := s.opts.Table.Get(renewCtx, key)
	if err != nil {
		return false, errors.Wrap(err, "read slot owners")
	}
	row, err := decodeRow(found.Value, s.opts.Settings.Lease.Slots)
	if err != nil {
		return false, errors.Wrap(err, "decode slot owners")
	}
	dead := s.findDeadMembers(row)
	next, heartbeat := s.nextRow(row, dead)
	value, err := msgpack.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "encode slot owners")
	}
	sent := structs.Now()
	_, err = s.opts.Table.Commit(renewCtx, backing.Txn{
		Require: []backing.Condition{{Key: key, Version: found.Version}},
		Writes:  []backing.Write{{Key: key, Value: value}},
	})
	return s.finishCommit(renewCtx, ctx, err, next, heartbeat, sent)
}

// finishCommit applies the result of a commit. If the outcome is unknown, it reads the
// row back to see whether the write took effect.
func (s *Store) finishCommit(readCtx, ctx context.Context, err error, next ownersRow, heartbeat uint64, sent structs.Instant) (bool, error) {
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
			return false, errors.Wrap(err, "write slot owners")
		}
		row, decodeErr := decodeRow(found.Value, s.opts.Settings.Lease.Slots)
		if decodeErr != nil || row.Members[s.opts.Incarnation].Heartbeat != heartbeat {
			return false, errors.Wrap(err, "write slot owners")
		}
		next = row
	}
	s.applyRow(ctx, next, sent)
	return true, nil
}

// findDeadMembers records new heartbeats and returns the members whose heartbeat has
// been unchanged for longer than an owner may act without renewal.
func (s *Store) findDeadMembers(row ownersRow) map[structs.Incarnation]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := structs.Now()
	dead := make(map[structs.Incarnation]bool)
	for id, m := range row.Members {
		if id == s.opts.Incarnation {
			continue
		}
		last, isKnown := s.heartbeats[id]
		if !isKnown || last.heartbeat != m.Heartbeat {
			s.heartbeats[id] = observation{heartbeat: m.Heartbeat, firstSeen: now}
			continue
		}
		if now.Sub(last.firstSeen) > s.opts.failureTimeout() {
			dead[id] = true
		}
	}
	for id := range s.heartbeats {
		if _, listed := row.Members[id]; !listed {
			delete(s.heartbeats, id)
		}
	}
	return dead
}

func (s *Store) nextRow(row ownersRow, dead map[structs.Incarnation]bool) (ownersRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeat++
	own := member{Addr: s.opts.addr(), Heartbeat: s.heartbeat, IsLeaving: s.isLeaving}
	return row.planNext(s.opts.Incarnation, own, dead, s.toRelease), s.heartbeat
}

// applyRow stores a written row as the current one and reports the changes. If the
// lease has expired in the meantime, its slots are not resumed under the same epoch,
// because their loss has been reported.
func (s *Store) applyRow(ctx context.Context, row ownersRow, sent structs.Instant) {
	s.dropExpired(ctx)
	s.mu.Lock()
	s.renewals++
	s.row = row
	s.leaseEnd = sent.Add(s.opts.leaseValidity())
	var changes []journal.SlotChange
	for slot := range row.Slots {
		changes = append(changes, s.applySlot(structs.Slot(slot), row.Slots[slot])...)
	}
	s.mu.Unlock()
	s.sendChanges(ctx, changes)
}

func (s *Store) applySlot(slot structs.Slot, owner slotOwner) []journal.SlotChange {
	epoch, held := s.held[slot]
	isMine := owner.Owner == s.opts.Incarnation
	if !isMine {
		delete(s.toRelease, slot)
	}
	var changes []journal.SlotChange
	if s.toRelease[slot] && !held {
		return nil // freed by the next write
	}
	if held && (!isMine || epoch != owner.Epoch) {
		delete(s.held, slot)
		changes = append(changes, journal.SlotChange{Slot: slot, Epoch: epoch})
	}
	if isMine && (!held || epoch != owner.Epoch) {
		s.held[slot] = owner.Epoch
		changes = append(changes, journal.SlotChange{Slot: slot, Epoch: owner.Epoch, IsHeld: true})
	}
	return changes
}

// dropExpired gives up every slot once the lease has expired. This process releases the
// slots with its next write, so it can own them again only under a new epoch.
func (s *Store) dropExpired(ctx context.Context) {
	s.mu.Lock()
	var changes []journal.SlotChange
	if structs.Now() >= s.leaseEnd {
		for slot, epoch := range s.held {
			delete(s.held, slot)
			s.toRelease[slot] = true
			changes = append(changes, journal.SlotChange{Slot: slot, Epoch: epoch})
		}
	}
	s.mu.Unlock()
	s.sendChanges(ctx, changes)
}

func (s *Store) sendChanges(ctx context.Context, changes []journal.SlotChange) {
	for _, change := range changes {
		select {
		case s.changes <- change:
		case <-ctx.Done():
			return
		}
	}
}
