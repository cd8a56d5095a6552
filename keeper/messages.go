package keeper

import (
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Methods between the schedulers of one failure domain.
const (
	MethodExchange = "keeper.exchange" // Exchange -> Exchange
	MethodAppend   = "keeper.append"   // Append -> AppendReply
	MethodRead     = "keeper.read"     // Read -> ReadReply
)

// Exchange carries lease messages of all groups between two processes. The
// answer carries those that the receiver has for the sender; its From tells
// which incarnation answers at the address.
type Exchange struct {
	From     lease.Member        `msgpack:"f"`
	To       structs.Incarnation `msgpack:"t"` // empty: whoever answers
	Messages Messages            `msgpack:"m,omitempty"`
	// IsLeaving says that the sender gives its groups up and takes no others.
	IsLeaving bool `msgpack:"l,omitempty"`
}

// AppendRequest carries entries of all groups to one witness.
type AppendRequest struct {
	To      structs.Incarnation `msgpack:"t"`
	Batches []tail.Batch        `msgpack:"b"`
}

// AppendReply answers Append. From tells who answered.
type AppendReply struct {
	From structs.Incarnation `msgpack:"f"`
	Acks []tail.Ack          `msgpack:"a"`
}

// ReadRequest asks a witness for the entries of a group whose epoch it has promised
// away. Released says that the owner gave the epoch up, so no promise was
// asked for.
type ReadRequest struct {
	To       structs.Incarnation `msgpack:"t"`
	Group    lease.Group         `msgpack:"g"`
	Epoch    structs.Epoch       `msgpack:"e"`
	Released bool                `msgpack:"r,omitempty"`
}

// ReadReply answers Read. OK is false when another incarnation answers or
// there is no promise.
type ReadReply struct {
	OK      bool         `msgpack:"o"`
	Entries []tail.Entry `msgpack:"t,omitempty"`
}
