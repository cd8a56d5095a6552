package keeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

func (k *Keeper) serveCollects(ctx context.Context) {
	for {
		select {
		case j := <-k.collects.C():
			k.collect(ctx, j)
		case <-ctx.Done():
			return
		}
	}
}

// collect stores the entries that the witnesses of an epoch hold. After a failure it
// is retried as long as the row still asks for it.
func (k *Keeper) collect(ctx context.Context, a lease.CollectTail) {
	err := k.collectOnce(ctx, a)
	if err == nil {
		k.step(lease.TailCollected{Group: a.Group, Epoch: a.Epoch})
		return
	}
	collectErrors.Inc()
	k.opts.Log.Warn("journal tail not collected from its witnesses", "group", a.Group, "epoch", a.Epoch, "error", err)
	if !k.isCurrent(a) {
		return
	}
	time.AfterFunc(k.cfg.RenewInterval, func() { k.collects.TryPut(a) })
}

// isCurrent reports whether the row still has the epoch to collect, under revocation
// or released.
func (k *Keeper) isCurrent(a lease.CollectTail) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	row, known := k.node.Row(a.Group)
	return known && row.Epoch == a.Epoch && (row.Revocation != nil || row.IsReleased)
}

func (k *Keeper) collectOnce(ctx context.Context, a lease.CollectTail) error {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	k.mu.Lock()
	version := k.node.RowVersion(a.Group)
	k.mu.Unlock()
	if !k.isCurrent(a) {
		return &RowChangedError{Group: a.Group}
	}
	index, err := k.readIndex(ctx, a.Group)
	if err != nil {
		return err
	}
	entries, err := k.readTails(ctx, a)
	if err != nil {
		return err
	}
	entries = tail.EntriesAfter(tail.EndOf(a.Row.FirstEpoch-1), entries)
	fresh := distinct(tail.EntriesAfter(index.StoredTo, entries))
	if len(fresh) == 0 {
		return nil
	}
	// StoredTo is not advanced: the owner may still survive the revocation and carry
	// its tail over to the next epoch.
	next := *index
	key := k.nextObjectKey()
	next.Objects = append(slices.Clone(next.Objects), key)
	segments := []segment{{Group: a.Group, Records: fresh}}
	_, err = k.storeSegments(ctx, key, segments, []indexUpdate{{group: a.Group, leaseVersion: version, index: next}})
	return err
}

// distinct returns the records of the entries without duplicates, ordered by program
// and sequence number.
func distinct(entries []tail.Entry) []journal.Record {
	records := recordsOf(entries)
	order := func(a, b journal.Record) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Seq, b.Seq))
	}
	slices.SortStableFunc(records, order)
	return slices.CompactFunc(records, func(a, b journal.Record) bool { return order(a, b) == 0 })
}

// readTails reads the entries of the row's witnesses. It fails unless, of each witness
// set, a majority replied, or all members whose processes have not ended.
func (k *Keeper) readTails(ctx context.Context, a lease.CollectTail) ([]tail.Entry, error) {
	members := a.Row.AllWitnesses()
	replies := make([]ReadReply, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() { replies[i] = k.readTail(ctx, m, a) })
	}
	wait.Wait()
	read := make(map[structs.Incarnation]bool)
	var entries []tail.Entry
	for i, m := range members {
		read[m.Incarnation] = replies[i].OK
		entries = append(entries, replies[i].Entries...)
	}
	k.mu.Lock()
	ended := k.node.ExitedMembers(structs.Now(), members)
	k.mu.Unlock()
	for _, m := range ended {
		delete(read, m.Incarnation)
	}
	for _, set := range a.Row.WitnessSets() {
		if n := countReadWitnesses(set, read); n < 0 {
			return nil, &WitnessQuorumError{Group: a.Group, Epoch: a.Epoch, ReadCount: -n - 1}
		}
	}
	return entries, nil
}

// countReadWitnesses returns the number n of members of the set that were read, or
// -n-1 when they are too few. read has an entry for each member that has not ended.
func countReadWitnesses(set []lease.Member, read map[structs.Incarnation]bool) int {
	n, missing := 0, 0
	for _, m := range set {
		ok, asked := read[m.Incarnation]
		switch {
		case ok:
			n++
		case asked:
			missing++
		}
	}
	if 2*n > len(set) || missing == 0 {
		return n
	}
	return -n - 1
}

func (k *Keeper) readTail(ctx context.Context, m lease.Member, a lease.CollectTail) ReadReply {
	in := ReadRequest{To: m.Incarnation, Group: a.Group, Epoch: a.Epoch, Released: a.Row.IsReleased}
	if m.Incarnation == k.opts.Self.Incarnation {
		out, _ := k.HandleRead(ctx, in)
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var out ReadReply
	if err := k.opts.Sender.Call(ctx, m.Addr, MethodRead, &in, &out); err != nil {
		k.opts.Log.Debug("journal tail not read from a witness", "addr", m.Addr, "error", err)
		return ReadReply{}
	}
	return out
}

// HandleRead serves MethodRead.
func (k *Keeper) HandleRead(_ context.Context, in ReadRequest) (ReadReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if in.To != k.opts.Self.Incarnation || int(in.Group) >= len(k.groups) {
		return ReadReply{}, nil
	}
	if in.Released {
		k.witness.Promise(in.Group, in.Epoch)
	}
	entries, ok := k.witness.Read(in.Group, in.Epoch)
	return ReadReply{OK: ok, Entries: entries}, nil
}
