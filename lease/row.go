package lease

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// MaxGroups bounds the number of groups of a failure domain. With 57
// schedulers in a domain each owns one or two groups; with 3, about 21.
const MaxGroups = 64

// Group numbers one group of slots.
type Group uint16

// GroupCount returns the number of groups for a number of slots.
func GroupCount(slots int) int { return min(slots, MaxGroups) }

// GroupOf returns the group of a slot.
func GroupOf(slot structs.Slot, slots int) Group {
	return Group(int(slot) % GroupCount(slots))
}

// SlotsOf returns the slots of a group in ascending order.
func SlotsOf(group Group, slots int) []structs.Slot {
	var out []structs.Slot
	for slot := int(group); slot < slots; slot += GroupCount(slots) {
		out = append(out, structs.Slot(slot))
	}
	return out
}

// Member is one scheduler process.
type Member struct {
	Incarnation structs.Incarnation `msgpack:"i"`
	VM          structs.VMID        `msgpack:"v"`
	Addr        string              `msgpack:"a"` // wire address, host:port
}

// Revocation says that an epoch is being revoked.
type Revocation struct {
	Epoch structs.Epoch       `msgpack:"e"`
	By    structs.Incarnation `msgpack:"b"`
	// RowVersion is the version of the row that the mark was written over.
	RowVersion uint64 `msgpack:"o"`
}

// Row is the table row of one group.
type Row struct {
	Group Group         `msgpack:"g"`
	Epoch structs.Epoch `msgpack:"e"`
	// FirstEpoch is the epoch under which the owner followed another. Everything of
	// earlier epochs was stored by then.
	FirstEpoch structs.Epoch `msgpack:"s"`
	Owner      Member        `msgpack:"o"`
	Witnesses  []Member      `msgpack:"w"`
	// PendingWitnesses is the next witness set while a change is under way.
	PendingWitnesses []Member `msgpack:"p,omitempty"`
	// ReadsRenew is set while the owner's reads of the row count as renewals.
	// Without it only the write of the row counts.
	ReadsRenew bool `msgpack:"t,omitempty"`
	// Revocation is set while the epoch is being revoked.
	Revocation *Revocation `msgpack:"m,omitempty"`
	// IsReleased is set when the owner has given the group up on purpose; Next
	// is the process that it would have follow.
	IsReleased bool                `msgpack:"r,omitempty"`
	NextOwner  structs.Incarnation `msgpack:"n,omitempty"`
}

// Encode returns the row's value in the table.
func (r Row) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	return data, errors.Wrap(err, "encode lease row")
}

// DecodeRow reads the value of a table row.
func DecodeRow(data []byte) (Row, error) {
	var r Row
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Row{}, errors.Wrap(err, "decode lease row")
	}
	return r, nil
}

// WitnessSets returns the witness sets whose majorities the row asks for.
func (r Row) WitnessSets() [][]Member {
	if r.PendingWitnesses == nil {
		return [][]Member{r.Witnesses}
	}
	return [][]Member{r.Witnesses, r.PendingWitnesses}
}

// AllWitnesses returns every witness of the row once.
func (r Row) AllWitnesses() []Member { return union(r.WitnessSets()) }

func union(sets [][]Member) []Member {
	var all []Member
	for _, set := range sets {
		for _, m := range set {
			if !contains(all, m.Incarnation) {
				all = append(all, m)
			}
		}
	}
	return all
}

func contains(set []Member, inc structs.Incarnation) bool {
	return slices.ContainsFunc(set, func(m Member) bool { return m.Incarnation == inc })
}

// majorities reports whether counted holds for a majority of each set. An
// empty set has no majority.
func majorities(sets [][]Member, counted func(Member) bool) bool {
	for _, set := range sets {
		n := 0
		for _, m := range set {
			if counted(m) {
				n++
			}
		}
		if 2*n <= len(set) {
			return false
		}
	}
	return true
}
