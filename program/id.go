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

// headerField is one field of an answer's header.
type headerField struct {
	Name   string
	Values []string
}

// TurnHash returns the chain hash of a turn: it covers every field but Hash. The
// header of a plain answer is hashed in the order of its names, since the
// encoder leaves the order of such a map open.
func TurnHash(turn structs.Turn) uint64 {
	turn.Hash = 0
	if turn.Plain == nil {
		return digestOf(turn)
	}
	plain := *turn.Plain
	header := make([]headerField, 0, len(plain.Header))
	for _, name := range sortedKeys(plain.Header) {
		header = append(header, headerField{Name: name, Values: plain.Header[name]})
	}
	plain.Header = nil
	turn.Plain = &plain
	return digestOf(struct {
		Turn   structs.Turn
		Header []headerField
	}{turn, header})
}

// digestOf hashes the encoding of a value that holds no map.
func digestOf(v any) uint64 {
	digest := xxhash.New()
	if err := msgpack.NewEncoder(digest).Encode(v); err != nil {
		return 0
	}
	return digest.Sum64()
}
