package program

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// childSeparator separates the random part of a root program's ID from the random
// parts of its descendants.
const childSeparator = "."

// NewChildID returns the ID of a sub-program of parent. The random part must
// contain neither a slash nor a dot.
func NewChildID(parent structs.ProgramID, random string) structs.ProgramID {
	return parent + structs.ProgramID(childSeparator+random)
}

// RootOf returns the ID of the program's root, which is the program itself if it
// has no parent.
func RootOf(id structs.ProgramID) structs.ProgramID {
	home, random, found := strings.Cut(string(id), "/")
	if !found {
		return id
	}
	root, _, _ := strings.Cut(random, childSeparator)
	return structs.NewProgramID(structs.DomainID(home), root)
}

// SlotOf returns the slot of a program. A root program and all its descendants
// share a slot, so that budget moves between them without a message to another
// process.
func SlotOf(id structs.ProgramID, slots int) structs.Slot {
	return structs.SlotOf(string(RootOf(id)), slots)
}

// Fingerprint returns a hash of the content of a call. Two calls with the same
// fingerprint ask for the same thing. Headers are left out, because a repeated
// request carries other dates and trace IDs.
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
	return hashEncoded(content)
}

// headerField is one header field of a response.
type headerField struct {
	Name   string
	Values []string
}

// TurnHash returns the hash of a turn in the hash chain of its program's history.
// It covers every field except Hash. The header of a plain response is hashed in
// the order of its field names, because the encoder does not define the order of
// a map[string][]string.
func TurnHash(turn structs.Turn) uint64 {
	turn.Hash = 0
	if turn.Plain == nil {
		return hashEncoded(turn)
	}
	plain := *turn.Plain
	header := make([]headerField, 0, len(plain.Header))
	for _, name := range sortedKeys(plain.Header) {
		header = append(header, headerField{Name: name, Values: plain.Header[name]})
	}
	plain.Header = nil
	turn.Plain = &plain
	return hashEncoded(struct {
		Turn   structs.Turn
		Header []headerField
	}{turn, header})
}

// hashEncoded returns the hash of the msgpack encoding of v. The value must not
// contain a map, whose encoding has no fixed order.
func hashEncoded(v any) uint64 {
	digest := xxhash.New()
	if err := msgpack.NewEncoder(digest).Encode(v); err != nil {
		return 0
	}
	return digest.Sum64()
}
