package program

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// childSeparator separates the random part of a root program's ID from those
// of its descendants.
const childSeparator = "."

// NewChildID returns the ID of a sub-program of parent. The random part must
// contain neither a slash nor a dot.
func NewChildID(parent structs.ProgramID, random string) structs.ProgramID {
	return parent + structs.ProgramID(childSeparator+random)
}

// RootOf returns the ID of the root program that the program descends from.
func RootOf(id structs.ProgramID) structs.ProgramID {
	home, random, found := strings.Cut(string(id), "/")
	if !found {
		return id
	}
	root, _, _ := strings.Cut(random, childSeparator)
	return structs.NewProgramID(structs.DomainID(home), root)
}

// SlotOf returns the slot of a program. All programs of one root share a slot,
// so that budgets move between them without a message.
func SlotOf(id structs.ProgramID, slots int) structs.Slot {
	return structs.SlotOf(string(RootOf(id)), slots)
}

// Fingerprint identifies the content of a call: two calls with the same
// fingerprint ask for the same thing. Headers do not count, since those of a
// repeated request differ in dates and trace IDs.
func Fingerprint(call *structs.Call) uint64 {
	content := struct {
		Model *structs.ModelCall
		Plain *structs.PlainCall
	}{Model: call.Model}
	if call.Plain != nil {
		plain := *call.Plain
		plain.Header = nil
		content.Plain = &plain
	}
	return digestOf(content)
}

// HashOf returns the chain hash of a turn: it covers every field but Hash.
func HashOf(turn structs.Turn) uint64 {
	turn.Hash = 0
	return digestOf(turn)
}

func digestOf(v any) uint64 {
	digest := xxhash.New()
	encoder := msgpack.NewEncoder(digest)
	encoder.SetSortMapKeys(true)
	if err := encoder.Encode(v); err != nil {
		return 0
	}
	return digest.Sum64()
}
