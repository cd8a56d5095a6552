// Package turnlog stores the turns of conversations. A turn's rows are in the store
// before the caller receives the end of the turn, so any VM finds the turn by its ID.
package turnlog

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// Record is one turn that was answered completely.
type Record struct {
	Account  structs.AccountID `msgpack:"a"`
	Previous structs.RequestID `msgpack:"p,omitempty"`
	// Ancestors are all earlier turns of the chain, oldest first, so that they can be
	// read in parallel.
	Ancestors []structs.RequestID `msgpack:"c,omitempty"`
	// AncestorPartitions are the store's partitions of Ancestors. They are missing in records of
	// earlier builds.
	AncestorPartitions []PartitionRun `msgpack:"w,omitempty"`
	// Partition is the store's partition that holds the record.
	Partition string `msgpack:"q,omitempty"`
	Input     []byte `msgpack:"i"`
	// Output is the data of all events, each followed by a line feed.
	Output []byte `msgpack:"o"`
	// Target is the target that ran the turn and may have its prompt cached.
	Target structs.TargetID `msgpack:"t,omitempty"`
	// CreatedAt is when the record was made, in Unix milliseconds.
	CreatedAt int64 `msgpack:"e"`

	sharesAncestors bool // Ancestors is a part of another record's list
}

// size estimates the memory that the record takes, in bytes.
func (r *Record) size() int {
	size := len(r.Input) + len(r.Output) + 200
	if !r.sharesAncestors {
		size += 24 * len(r.Ancestors)
	}
	return size
}

// withoutContent returns a copy with only the place of the turn in its chain.
func (r *Record) withoutContent() *Record {
	return &Record{Ancestors: r.Ancestors, AncestorPartitions: r.AncestorPartitions, Partition: r.Partition}
}

// Chain is the sequence of turns that a new turn continues, oldest first.
type Chain struct {
	IDs     []structs.RequestID
	Records []*Record
}

// Last returns the turn that the new turn continues directly.
func (c *Chain) Last() *Record { return c.Records[len(c.Records)-1] }

// Prompt concatenates the input and output of all earlier turns and the new input.
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
