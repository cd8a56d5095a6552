// Package turnlog keeps the turns of conversations. A turn's row is in the
// store before the caller sees the turn's end, so any VM finds it by its ID.
package turnlog

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// Record is one turn that was answered whole.
type Record struct {
	Account  structs.AccountID `msgpack:"a"`
	Previous structs.RequestID `msgpack:"p,omitempty"`
	// Ancestors are all earlier turns of the chain, the oldest first, so that
	// they can be read together.
	Ancestors []structs.RequestID `msgpack:"c,omitempty"`
	Input     []byte              `msgpack:"i"`
	// Output is the data of each event, each followed by a line feed.
	Output []byte `msgpack:"o"`
	// Target ran the turn and may have its prompt cached.
	Target structs.TargetID `msgpack:"t,omitempty"`
	// CreatedAt is the Unix millisecond of the turn's end.
	CreatedAt int64 `msgpack:"e"`
}

func (r *Record) size() int { return len(r.Input) + len(r.Output) + 24*len(r.Ancestors) + 200 }

// Chain is the turns that a new turn continues, the oldest first.
type Chain struct {
	IDs     []structs.RequestID
	Records []*Record
}

// Last returns the turn that is continued.
func (c *Chain) Last() *Record { return c.Records[len(c.Records)-1] }

// Prompt joins all earlier input and output and the new input.
func (c *Chain) Prompt(input []byte) []byte {
	size := len(input)
	for _, r := range c.Records {
		size += len(r.Input) + len(r.Output)
	}
	prompt := make([]byte, 0, size)
	for _, r := range c.Records {
		prompt = append(prompt, r.Input...)
		prompt = append(prompt, r.Output...)
	}
	return append(prompt, input...)
}

func (r *Record) encode() ([]byte, error) { return msgpack.Marshal(r) }

func decodeRecord(value []byte) (*Record, error) {
	r := &Record{}
	return r, msgpack.Unmarshal(value, r)
}
