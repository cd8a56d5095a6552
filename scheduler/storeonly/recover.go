package storeonly

import (
	"context"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// snapshotName sorts before the numbered objects of its epoch. The snapshot of an epoch
// holds all live records of earlier epochs.
const snapshotName = "000000000000"

// Recover reads the slot's records of earlier epochs and writes them as the snapshot of
// the new epoch. Objects that an earlier owner writes after that are never read.
func (s *Store) Recover(ctx context.Context, slot structs.Slot, epoch structs.Epoch) ([]journal.Record, error) {
	keys, err := s.opts.Objects.List(ctx, s.slotPrefix(slot))
	if err != nil {
		return nil, errors.Wrap(err, "list journal objects")
	}
	sort.Strings(keys)
	live := s.liveKeys(keys, slot, epoch)
	var records []journal.Record
	for _, key := range live {
		part, err := s.readObject(ctx, key)
		if err != nil {
			return nil, err
		}
		records = append(records, part...)
	}
	records = dropEnded(records)
	if epoch > 1 {
		if err := s.writeSnapshot(ctx, slot, epoch, records); err != nil {
			return nil, err
		}
	}
	if !s.holdsSlot(slot, epoch) {
		return nil, &journal.FencedError{Slot: slot, Epoch: epoch}
	}
	s.deleteObjects(ctx, keys, slot, epoch)
	return records, nil
}

// liveKeys returns the keys from the last snapshot on. If that is the snapshot of this
// epoch, written by an earlier attempt, it is complete and the only key returned.
func (s *Store) liveKeys(keys []string, slot structs.Slot, epoch structs.Epoch) []string {
	first := 0
	for i, key := range keys {
		if strings.HasSuffix(key, "/"+snapshotName) {
			first = i
		}
	}
	kept := keys[first:]
	if len(kept) > 0 && s.epochOf(kept[0], slot) == epoch && strings.HasSuffix(kept[0], "/"+snapshotName) {
		return kept[:1]
	}
	return kept
}

func (s *Store) epochOf(key string, slot structs.Slot) structs.Epoch {
	rest := strings.TrimPrefix(key, s.slotPrefix(slot))
	text, _, _ := strings.Cut(rest, "/")
	epoch, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return structs.Epoch(epoch)
}

func (s *Store) readObject(ctx context.Context, key string) ([]journal.Record, error) {
	body, err := s.opts.Objects.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrapf(err, "read journal object %s", key)
	}
	var records []journal.Record
	if err := msgpack.Unmarshal(body, &records); err != nil {
		return nil, errors.Wrapf(err, "decode journal object %s", key)
	}
	return records, nil
}

func (s *Store) writeSnapshot(ctx context.Context, slot structs.Slot, epoch structs.Epoch, records []journal.Record) error {
	body, err := msgpack.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	return errors.Wrap(s.opts.Objects.Put(ctx, s.objectKey(slot, epoch, snapshotName), body), "write snapshot")
}

// deleteObjects deletes the objects of earlier epochs. The next recovery ignores any
// that remain.
func (s *Store) deleteObjects(ctx context.Context, keys []string, slot structs.Slot, epoch structs.Epoch) {
	for _, key := range keys {
		if s.epochOf(key, slot) >= epoch {
			continue
		}
		var missing *backing.NotFoundError
		if err := s.opts.Objects.Delete(ctx, key); err != nil && !errors.As(err, &missing) {
			s.log.Warn("journal object not deleted", "key", key, "error", err)
			return
		}
	}
}

// dropEnded drops the records of programs whose root ended under an epoch before the
// last one. The programs of one root are kept or dropped together, because a parent's
// budget counts its ended children. A program that ended under the last epoch is kept,
// so that a duplicate of its calls is recognised.
func dropEnded(records []journal.Record) []journal.Record {
	var last structs.Epoch
	for _, r := range records {
		last = max(last, r.Epoch)
	}
	ended := make(map[structs.ProgramID]bool)
	for _, r := range records {
		if r.Kind == journal.KindEnded && r.Epoch < last && program.RootOf(r.Program) == r.Program {
			ended[r.Program] = true
		}
	}
	var kept []journal.Record
	for _, r := range records {
		if !ended[program.RootOf(r.Program)] {
			kept = append(kept, r)
		}
	}
	sort.SliceStable(kept, func(i, j int) bool {
		if kept[i].Program != kept[j].Program {
			return kept[i].Program < kept[j].Program
		}
		return kept[i].Seq < kept[j].Seq
	})
	return kept
}
