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

// journalState is the records that are on their way to the object store.
type journalState struct {
	mu     sync.Mutex
	bytes  int64
	queues map[structs.Slot]*slotQueue
}

// slotQueue is the records of one slot that the next object will hold. One
// object is written at a time.
type slotQueue struct {
	epoch   structs.Epoch
	next    uint64 // number of the next object
	writing bool
	waiting []*pendingAppend
}

type pendingAppend struct {
	records []journal.Record
	bytes   int64
	done    chan error // capacity 1
}

func (j *journalState) size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bytes
}

// Append writes records of one slot together with those that wait beside them.
func (s *Store) Append(ctx context.Context, records []journal.Record) error {
	if len(records) == 0 {
		return nil
	}
	slot, epoch := records[0].Slot, records[0].Epoch
	if !s.owns(slot, epoch) {
		return &journal.FencedError{Slot: slot, Epoch: epoch}
	}
	pending := &pendingAppend{records: records, done: make(chan error, 1)}
	for _, r := range records {
		pending.bytes += int64(len(r.Body))
	}
	q, start, err := s.journal.add(slot, epoch, pending, s.opts.Settings.Limits.MaxTail)
	if err != nil {
		return err
	}
	if start {
		s.spawn("storeonly.append", func(context.Context) error {
			s.drainQueue(q, slot)
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

func (s *Store) owns(slot structs.Slot, epoch structs.Epoch) bool {
	held, owned := s.HeldEpoch(slot)
	return owned && held == epoch
}

// add queues an append and reports whether a writer has to be started.
func (j *journalState) add(slot structs.Slot, epoch structs.Epoch, p *pendingAppend, limit int64) (*slotQueue, bool, error) {
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
	q.waiting = append(q.waiting, p)
	start := !q.writing
	q.writing = true
	return q, start, nil
}

// take returns all that waits, or nothing and ends the writer.
func (j *journalState) take(q *slotQueue) ([]*pendingAppend, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	batch := q.waiting
	q.waiting = nil
	if len(batch) == 0 {
		q.writing = false
		return nil, 0
	}
	q.next++
	return batch, q.next
}

func (s *Store) drainQueue(q *slotQueue, slot structs.Slot) {
	for {
		batch, number := s.journal.take(q)
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

// putRetry is the time between two tries to write an object.
const putRetry = 50 * time.Millisecond

// putBatch writes one object. It counts only if the lease still runs once the
// object stands: a successor reads the slot after that instant.
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
		if !s.owns(slot, epoch) {
			return &journal.FencedError{Slot: slot, Epoch: epoch}
		}
		err := s.put(key, body)
		if err == nil {
			break
		}
		s.log.Warn("journal object not written", "key", key, "error", err)
		time.Sleep(putRetry)
	}
	if !s.owns(slot, epoch) {
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
