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

// EndOf returns the mark of an epoch that is stored to its end.
func EndOf(epoch structs.Epoch) Position { return Position{Epoch: epoch, Index: math.MaxUint64} }

// EntriesAfter returns the entries that were added after the mark, a place up to which
// the store has had everything. The others must not be read again: their
// programs may have ended and been left out since.
func EntriesAfter(mark Position, entries []Entry) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
		return e.Origin.Epoch < mark.Epoch || e.Origin.Epoch == mark.Epoch && e.Origin.Index <= mark.Index
	})
}

// Merge returns each record of live programs once, ordered by program and Seq.
// Records after a gap were never acknowledged and are left out. Two different
// records of one number are a *structs.InvariantError.
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
		chain, err := chainOf(all[:n])
		if err != nil {
			return nil, err
		}
		out = append(out, chain...)
		all = all[n:]
	}
	return out, nil
}

// chainOf checks the sorted records of one program. It is empty for a program
// that has ended.
func chainOf(records []journal.Record) ([]journal.Record, error) {
	var chain []journal.Record
	for _, r := range records {
		last := len(chain)
		switch {
		case r.Seq == uint64(last) && last > 0:
			if have := chain[last-1]; have.Kind != r.Kind || have.Epoch != r.Epoch || !bytes.Equal(have.Body, r.Body) {
				return nil, &structs.InvariantError{
					Package: "tail", Name: "one record for each number",
					Detail: fmt.Sprintf("program %s, number %d, epochs %d and %d", r.Program, r.Seq, have.Epoch, r.Epoch),
				}
			}
		case r.Seq == uint64(last)+1:
			chain = append(chain, r)
		default:
			return withoutEnded(chain), nil
		}
	}
	return withoutEnded(chain), nil
}

func withoutEnded(chain []journal.Record) []journal.Record {
	if len(chain) > 0 && chain[len(chain)-1].Kind == journal.KindEnded {
		return nil
	}
	return chain
}
