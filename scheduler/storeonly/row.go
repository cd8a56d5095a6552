package storeonly

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// member is one scheduler of the failure domain. Every renewal increments Heartbeat.
type member struct {
	Addr      string `msgpack:"a"`
	Heartbeat uint64 `msgpack:"b"`
	IsLeaving bool   `msgpack:"l,omitempty"`
}

// slotOwner is the owner of one slot; Owner is empty if there is none.
type slotOwner struct {
	Owner structs.Incarnation `msgpack:"o,omitempty"`
	Epoch structs.Epoch       `msgpack:"e"`
}

// ownersRow is the table row of a failure domain.
type ownersRow struct {
	Members map[structs.Incarnation]member `msgpack:"m"`
	Slots   []slotOwner                    `msgpack:"s"`
}

func ownersKey(domain structs.DomainID) string { return "owners/" + string(domain) }

func decodeRow(value []byte, slots int) (ownersRow, error) {
	row := ownersRow{Members: make(map[structs.Incarnation]member)}
	if len(value) > 0 {
		if err := msgpack.Unmarshal(value, &row); err != nil {
			return row, err
		}
	}
	if row.Members == nil {
		row.Members = make(map[structs.Incarnation]member)
	}
	for len(row.Slots) < slots {
		row.Slots = append(row.Slots, slotOwner{})
	}
	return row, nil
}

func (r ownersRow) clone() ownersRow {
	copied := ownersRow{Members: make(map[structs.Incarnation]member, len(r.Members)), Slots: slices.Clone(r.Slots)}
	for id, m := range r.Members {
		copied.Members[id] = m
	}
	return copied
}

// fairShare returns how many slots each member that acquires slots should own.
func (r ownersRow) fairShare(dead map[structs.Incarnation]bool) int {
	acquiring := 0
	for id, m := range r.Members {
		if !m.IsLeaving && !dead[id] {
			acquiring++
		}
	}
	if acquiring == 0 {
		return len(r.Slots)
	}
	return (len(r.Slots) + acquiring - 1) / acquiring
}

// planNext returns the row that a member writes next: it renews its own lease, frees
// the slots of dead members and those in toRelease, and takes free slots up to its fair
// share.
func (r ownersRow) planNext(self structs.Incarnation, own member, dead map[structs.Incarnation]bool, toRelease map[structs.Slot]bool) ownersRow {
	next := r.clone()
	next.Members[self] = own
	for id := range dead {
		delete(next.Members, id)
	}
	owned := 0
	for slot := range next.Slots {
		s := &next.Slots[slot]
		if _, isMember := next.Members[s.Owner]; s.Owner != "" && !isMember {
			s.Owner = ""
		}
		if s.Owner == self && toRelease[structs.Slot(slot)] {
			s.Owner = ""
		}
		if s.Owner == self {
			owned++
		}
	}
	if own.IsLeaving {
		return next
	}
	share := next.fairShare(nil)
	for slot := range next.Slots {
		s := &next.Slots[slot]
		if s.Owner == "" && owned < share && !toRelease[structs.Slot(slot)] {
			s.Owner = self
			s.Epoch++
			owned++
		}
	}
	return next
}
