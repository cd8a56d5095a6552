package storeonly

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// member is one scheduler of the failure domain. Beat grows with every
// renewal.
type member struct {
	Addr    string `msgpack:"a"`
	Beat    uint64 `msgpack:"b"`
	Leaving bool   `msgpack:"l,omitempty"`
}

// slotOwner is the owner of one slot; an empty Owner is none.
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

// fairShare is how many slots each taking member should own.
func (r ownersRow) fairShare(dead map[structs.Incarnation]bool) int {
	taking := 0
	for id, m := range r.Members {
		if !m.Leaving && !dead[id] {
			taking++
		}
	}
	if taking == 0 {
		return len(r.Slots)
	}
	return (len(r.Slots) + taking - 1) / taking
}

// plan returns the row that a member writes next: its own renewal, the slots
// of dead members freed, and free slots taken up to its fair share.
func (r ownersRow) plan(self structs.Incarnation, me member, dead map[structs.Incarnation]bool, giveUp map[structs.Slot]bool) ownersRow {
	next := r.clone()
	next.Members[self] = me
	for id := range dead {
		delete(next.Members, id)
	}
	owned := 0
	for slot := range next.Slots {
		s := &next.Slots[slot]
		if _, lives := next.Members[s.Owner]; s.Owner != "" && !lives {
			s.Owner = ""
		}
		if s.Owner == self && giveUp[structs.Slot(slot)] {
			s.Owner = ""
		}
		if s.Owner == self {
			owned++
		}
	}
	if me.Leaving {
		return next
	}
	share := next.fairShare(nil)
	for slot := range next.Slots {
		s := &next.Slots[slot]
		if s.Owner == "" && owned < share && !giveUp[structs.Slot(slot)] {
			s.Owner = self
			s.Epoch++
			owned++
		}
	}
	return next
}
