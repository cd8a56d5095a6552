package ledger

import "time"

const (
	// overdueTime is how long a transaction has to take until another one of the partition is
	// started beside it. A partition executes its transactions one after another, so a second
	// one would wait there; programs that arrive meanwhile share the next one instead, and a
	// slow store gets larger transactions rather than more of them. A transaction takes 40 ms,
	// but one whose answer is lost would hold the others up.
	overdueTime = 250 * time.Millisecond
	// maxWriters limits the concurrent transactions of this VM in one partition.
	maxWriters = 4
	// maxTxEntries and maxTxBytes limit the size of a transaction. The store accepts 100
	// entries and 1 MB in base64.
	maxTxEntries = 96
	maxTxBytes   = 640 << 10
)

// commitQueue holds the programs of one partition that have changes to commit.
type commitQueue struct {
	entries []*entry
	writers int
	ended   int         // transactions that have ended
	overdue *time.Timer // starts another writer, nil if none is needed
}

// enqueue adds an entry with waiting changes to the commit queue of its partition. The
// caller holds the lock.
func (k *Keeper) enqueue(e *entry) {
	if e.isWriting || e.isQueued || len(e.waiting) == 0 {
		return
	}
	if e.settleTimer != nil {
		e.settleTimer.Stop()
		e.settleTimer = nil
	}
	q := k.queues[e.key.Partition]
	if q == nil {
		q = &commitQueue{}
		k.queues[e.key.Partition] = q
	}
	e.isQueued = true
	q.entries = append(q.entries, e)
	k.startWriter(q)
}

// startWriter starts a writer for a queue with entries. Further ones start while the
// transactions in progress are overdue. The caller holds the lock.
func (k *Keeper) startWriter(q *commitQueue) {
	if q.writers == 0 {
		q.writers++
		go k.commitQueued(q)
		return
	}
	if q.writers >= maxWriters || q.overdue != nil {
		return
	}
	ended := q.ended
	q.overdue = time.AfterFunc(overdueTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		q.overdue = nil
		if len(q.entries) == 0 {
			return
		}
		if q.ended == ended {
			q.writers++
			go k.commitQueued(q)
		}
		k.startWriter(q)
	})
}

// commitQueued commits batches until the queue is empty.
func (k *Keeper) commitQueued(q *commitQueue) {
	for {
		batch := k.nextBatch(q)
		if len(batch) == 0 {
			return
		}
		k.commitBatch(batch)
		k.mu.Lock()
		q.ended++
		k.mu.Unlock()
	}
}

// nextBatch takes the changes of the next transaction off the queue.
func (k *Keeper) nextBatch(q *commitQueue) []*batchItem {
	k.mu.Lock()
	defer k.mu.Unlock()
	var batch []*batchItem
	capacity := txCapacity{entries: maxTxEntries, bytes: maxTxBytes}
	for len(q.entries) > 0 {
		e := q.entries[0]
		if len(e.waiting) == 0 { // withdrawn after it was queued
			q.entries, e.isQueued = q.entries[1:], false
			continue
		}
		if len(batch) > 0 && !hasSameRelayRegions(batch[0].changes, e.waiting) {
			break
		}
		changes := capacity.takeFitting(e.waiting, len(batch) == 0)
		if len(changes) == 0 {
			break
		}
		q.entries = q.entries[1:]
		e.isQueued, e.isWriting, e.inFlight = false, true, changes
		e.waiting = e.waiting[len(changes):]
		batch = append(batch, &batchItem{entry: e, changes: changes})
	}
	if len(batch) == 0 {
		q.writers--
	}
	return batch
}

// txCapacity is the remaining capacity of a transaction.
type txCapacity struct{ entries, bytes int }

// takeFitting returns the leading changes that fit, and at least one if isAlone is set.
func (tc *txCapacity) takeFitting(changes []*change, isAlone bool) []*change {
	const balanceEntries = 2 // an expectation and a put
	left := txCapacity{entries: tc.entries - balanceEntries, bytes: tc.bytes}
	count := 0
	for _, c := range changes {
		next := left
		next.entries -= len(c.rows.Expect) + len(c.rows.Put)
		for _, put := range c.rows.Put {
			next.bytes -= len(put.Value)
		}
		if (next.entries < 0 || next.bytes < 0) && (count > 0 || !isAlone) {
			break
		}
		left = next
		count++
	}
	if count > 0 {
		*tc = left
	}
	return changes[:count]
}
