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

// snapshotName sorts before the numbered objects of its epoch. An epoch's
// snapshot holds all that counts of earlier epochs.
const snapshotName = "000000000000"

// Recover reads the slot's records of earlier epochs and writes them as the
// snapshot of the new one. What an earlier owner still writes after that is
// never read again.
func (s *Store) Recover(ctx context.Context, slot structs.Slot, epoch structs.Epoch) ([]journal.Record, error) {
	keys, err := s.opts.Objects.List(ctx, s.slotPrefix(slot))
	if err != nil {
		return nil, errors.Wrap(err, "list journal")
	}
	sort.Strings(keys)
	counted := s.counted(keys, slot, epoch)
	var records []journal.Record
	for _, key := range counted {
		part, err := s.readObject(ctx, key)
		if err != nil {
			return nil, err
		}
		records = append(records, part...)
	}
	records = liveOnly(records)
	if epoch > 1 {
		if err := s.writeSnapshot(ctx, slot, epoch, records); err != nil {
			return nil, err
		}
	}
	if !s.owns(slot, epoch) {
		return nil, &journal.FencedError{Slot: slot, Epoch: epoch}
	}
	s.deleteObjects(ctx, keys, slot, epoch)
	return records, nil
}

// counted returns the keys from the last snapshot on. An own snapshot of an
// earlier try is among them and complete.
func (s *Store) counted(keys []string, slot structs.Slot, epoch structs.Epoch) []string {
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
		return nil, errors.Wrapf(err, "read %s", key)
	}
	var records []journal.Record
	if err := msgpack.Unmarshal(body, &records); err != nil {
		return nil, errors.Wrapf(err, "decode %s", key)
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

// deleteObjects drops the objects of earlier epochs. One that stays is passed
// over by the next recovery.
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

// liveOnly drops the records of programs whose root ended under an epoch
// before the last one. Programs of one root stay together, because a parent's
// budget counts its ended children; one that ended last is kept so that a
// duplicate of its calls is recognised.
func liveOnly(records []journal.Record) []journal.Record {
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
