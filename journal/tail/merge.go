package tail

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// EndOf returns the stored position of an epoch whose entries are all stored.
func EndOf(epoch structs.Epoch) Position { return Position{Epoch: epoch, Index: math.MaxUint64} }

// EntriesAfter returns the entries that were added after a position up to which the
// store has had everything. The others must not be read again: their programs may have
// ended since and been removed from the store.
func EntriesAfter(position Position, entries []Entry) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
		return e.Origin.Epoch < position.Epoch || e.Origin.Epoch == position.Epoch && e.Origin.Index <= position.Index
	})
}

// Merge returns each record of live programs once, ordered by program and Seq. Records
// after a gap were never acknowledged and are left out. Two different records with the
// same Seq are a *structs.InvariantError.
func Merge(stored []journal.Record, tails ...[]Entry) ([]journal.Record, error) {
	all := slices.Clone(stored)
	for _, entries := range tails {
		for _, e := range entries {
			all = append(all, e.Record)
		}
	}
	slices.SortStableFunc(all, func(a, b journal.Record) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Seq, b.Seq))
	})
	var out []journal.Record
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].Program == all[0].Program {
			n++
		}
		chain, err := validChain(all[:n])
		if err != nil {
			return nil, err
		}
		out = append(out, chain...)
		all = all[n:]
	}
	return out, nil
}

// validChain returns the sorted records of one program up to the first gap. It is empty
// for a program that has ended.
func validChain(records []journal.Record) ([]journal.Record, error) {
	var chain []journal.Record
	for _, r := range records {
		last := len(chain)
		switch {
		case r.Seq == uint64(last) && last > 0:
			if previous := chain[last-1]; previous.Kind != r.Kind || previous.Epoch != r.Epoch || !bytes.Equal(previous.Body, r.Body) {
				return nil, &structs.InvariantError{
					Package: "tail", Name: "one record per sequence number",
					Detail: fmt.Sprintf("program %s, record %d, epochs %d and %d", r.Program, r.Seq, previous.Epoch, r.Epoch),
				}
			}
		case r.Seq == uint64(last)+1:
			chain = append(chain, r)
		default:
			return dropIfEnded(chain), nil
		}
	}
	return dropIfEnded(chain), nil
}

func dropIfEnded(chain []journal.Record) []journal.Record {
	if len(chain) > 0 && chain[len(chain)-1].Kind == journal.KindEnded {
		return nil
	}
	return chain
}
