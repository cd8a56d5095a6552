package storeonly

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// journalQueues holds the records that are not yet in the object store.
type journalQueues struct {
	mu     sync.Mutex
	bytes  int64
	queues map[structs.Slot]*slotQueue
}

// slotQueue holds the appends of one slot that go into the next object. One object of a
// slot is written at a time.
type slotQueue struct {
	epoch      structs.Epoch
	lastNumber uint64 // number of the last object
	isWriting  bool
	pending    []*pendingAppend
}

type pendingAppend struct {
	records []journal.Record
	bytes   int64
	done    chan error // capacity 1
}

func (j *journalQueues) size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bytes
}

// Append writes records of one slot. Appends that arrive while an object is being
// written share the next object.
func (s *Store) Append(ctx context.Context, records []journal.Record) error {
	if len(records) == 0 {
		return nil
	}
	slot, epoch := records[0].Slot, records[0].Epoch
	if !s.holdsSlot(slot, epoch) {
		return &journal.FencedError{Slot: slot, Epoch: epoch}
	}
	pending := &pendingAppend{records: records, done: make(chan error, 1)}
	for _, r := range records {
		pending.bytes += int64(len(r.Body))
	}
	q, needsWriter, err := s.journal.enqueue(slot, epoch, pending, s.opts.Settings.Limits.MaxTail)
	if err != nil {
		return err
	}
	if needsWriter {
		s.startWorker("storeonly.append", func(context.Context) error {
			s.writeQueue(q, slot)
			return nil
		})
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) holdsSlot(slot structs.Slot, epoch structs.Epoch) bool {
	held, owned := s.HeldEpoch(slot)
	return owned && held == epoch
}

// enqueue queues an append and reports whether a writer must be started.
func (j *journalQueues) enqueue(slot structs.Slot, epoch structs.Epoch, p *pendingAppend, limit int64) (*slotQueue, bool, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if limit > 0 && j.bytes+p.bytes > limit {
		return nil, false, &journal.FullError{Bytes: j.bytes, Max: limit}
	}
	q := j.queues[slot]
	if q == nil || q.epoch < epoch {
		q = &slotQueue{epoch: epoch}
		j.queues[slot] = q
	}
	if q.epoch > epoch {
		return nil, false, &journal.FencedError{Slot: slot, Epoch: epoch}
	}
	j.bytes += p.bytes
	q.pending = append(q.pending, p)
	needsWriter := !q.isWriting
	q.isWriting = true
	return q, needsWriter, nil
}

// takeBatch returns all pending appends and the number of their object. If there are
// none, it returns nil and marks the writer as stopped.
func (j *journalQueues) takeBatch(q *slotQueue) ([]*pendingAppend, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	batch := q.pending
	q.pending = nil
	if len(batch) == 0 {
		q.isWriting = false
		return nil, 0
	}
	q.lastNumber++
	return batch, q.lastNumber
}

func (s *Store) writeQueue(q *slotQueue, slot structs.Slot) {
	for {
		batch, number := s.journal.takeBatch(q)
		if batch == nil {
			return
		}
		err := s.putBatch(slot, q.epoch, number, batch)
		for _, p := range batch {
			s.journal.mu.Lock()
			s.journal.bytes -= p.bytes
			s.journal.mu.Unlock()
			p.done <- err
		}
	}
}

// putRetryDelay is the time between two attempts to write an object.
const putRetryDelay = 50 * time.Millisecond

// putBatch writes one object, retrying until it succeeds or the lease expires. The
// write succeeds only if the lease is still valid once the object is stored: a
// successor reads the slot after the lease has expired, so it finds the object.
func (s *Store) putBatch(slot structs.Slot, epoch structs.Epoch, number uint64, batch []*pendingAppend) error {
	var records []journal.Record
	for _, p := range batch {
		records = append(records, p.records...)
	}
	body, err := msgpack.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode records")
	}
	key := s.objectKey(slot, epoch, fmt.Sprintf("%012d", number))
	for {
		if !s.holdsSlot(slot, epoch) {
			return &journal.FencedError{Slot: slot, Epoch: epoch}
		}
		err := s.put(key, body)
		if err == nil {
			break
		}
		s.log.Warn("journal object not written", "key", key, "error", err)
		time.Sleep(putRetryDelay)
	}
	if !s.holdsSlot(slot, epoch) {
		return &journal.FencedError{Slot: slot, Epoch: epoch}
	}
	return nil
}

func (s *Store) put(key string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Settings.Lease.Duration.Std())
	defer cancel()
	return s.opts.Objects.Put(ctx, key, body)
}

func (s *Store) slotPrefix(slot structs.Slot) string {
	return fmt.Sprintf("journal/%s/%05d/", s.opts.Settings.Domain, slot)
}

func (s *Store) objectKey(slot structs.Slot, epoch structs.Epoch, name string) string {
	return fmt.Sprintf("%s%012d/%s", s.slotPrefix(slot), epoch, name)
}
