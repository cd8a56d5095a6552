package keeper

import (
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Wire methods between the schedulers of one failure domain.
const (
	MethodExchange = "keeper.exchange" // Exchange -> Exchange
	MethodAppend   = "keeper.append"   // AppendRequest -> AppendReply
	MethodRead     = "keeper.read"     // ReadRequest -> ReadReply
)

// Exchange carries lease messages of all groups between two processes. The reply
// is an Exchange too: it carries the receiver's messages for the sender, and its
// From names the incarnation that runs at the address.
type Exchange struct {
	From     lease.Member        `msgpack:"f"`
	To       structs.Incarnation `msgpack:"t"` // empty: any incarnation
	Messages Messages            `msgpack:"m,omitempty"`
	// IsLeaving is set while the sender releases its groups and acquires no others.
	IsLeaving bool `msgpack:"l,omitempty"`
}

// AppendRequest carries journal entries of all groups to one witness.
type AppendRequest struct {
	To      structs.Incarnation `msgpack:"t"`
	Batches []tail.Batch        `msgpack:"b"`
}

// AppendReply is the reply to AppendRequest. From is the incarnation that replied.
type AppendReply struct {
	From structs.Incarnation `msgpack:"f"`
	Acks []tail.Ack          `msgpack:"a"`
}

// ReadRequest asks a witness for its entries of a group, for an epoch that it has
// promised not to acknowledge any more. Released is set when the owner released the
// epoch, in which case no promise was requested.
type ReadRequest struct {
	To       structs.Incarnation `msgpack:"t"`
	Group    lease.Group         `msgpack:"g"`
	Epoch    structs.Epoch       `msgpack:"e"`
	Released bool                `msgpack:"r,omitempty"`
}

// ReadReply is the reply to ReadRequest. OK is false when another incarnation
// replies or the witness has not made the promise.
type ReadReply struct {
	OK      bool         `msgpack:"o"`
	Entries []tail.Entry `msgpack:"t,omitempty"`
}
