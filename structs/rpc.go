package structs

import "time"

// Methods of the protocol between gateways and schedulers. Each comment names
// the request and the reply; "stream" means many replies.
const (
	MethodCreateProgram = "program.create"  // CreateProgram -> ProgramInfo
	MethodCall          = "program.call"    // Call -> stream of CallEvent
	MethodEndProgram    = "program.end"     // ProgramRef -> ProgramInfo
	MethodGetProgram    = "program.get"     // ProgramRef -> ProgramInfo
	MethodListPrograms  = "program.list"    // ListPrograms -> ProgramList
	MethodHistory       = "program.history" // ProgramRef -> History
	MethodExchangeQuota = "quota.exchange"  // quota.Exchange -> quota.ExchangeReply
	MethodOwners        = "cluster.owners"  // OwnersQuery -> Owners
	MethodWatchConfig   = "config.watch"    // ConfigQuery -> ConfigVersion
)

// CreateProgram creates a program. The gateway draws the ID, so a repeated
// request is idempotent.
type CreateProgram struct {
	ID      ProgramID `msgpack:"g"`
	Account AccountID `msgpack:"a"`
	Kind    string    `msgpack:"k"`
	Budget  int64     `msgpack:"b"` // tokens; 0 takes the budget of the kind
	Parent  ProgramID `msgpack:"p,omitempty"`
	Request RequestID `msgpack:"q"`
	// SingleCall is set in the record of a program that was made for one call.
	SingleCall bool `msgpack:"s,omitempty"`
}

// ProgramRef names a program on behalf of an account. An empty Account is an
// operator.
type ProgramRef struct {
	ID      ProgramID `msgpack:"g"`
	Account AccountID `msgpack:"a"`
	Request RequestID `msgpack:"q"`
}

// ListPrograms asks for the programs of one account, or all when empty.
type ListPrograms struct {
	Account AccountID `msgpack:"a,omitempty"`
}

// ProgramList answers ListPrograms.
type ProgramList struct {
	Programs []ProgramInfo `msgpack:"p"`
}

// History is a program's turns in order.
type History struct {
	Program ProgramID `msgpack:"g" json:"program"`
	Turns   []Turn    `msgpack:"t" json:"turns"`
}

// CallEventKind tells the events of one call's answer apart.
type CallEventKind uint8

// Kinds of CallEvent, in the order in which they come: one EventStarted, any
// number of EventData, then exactly one of EventDone and EventRefused. An
// answer without its last event is not whole.
const (
	EventStarted CallEventKind = iota + 1
	EventData
	EventDone
	EventRefused
)

// CallEvent is one part of the answer to a call. Every event repeats the
// request ID, so that a crossed answer is detected. Offset counts the bytes of
// Data that came before, so that a gap is detected.
type CallEvent struct {
	Kind    CallEventKind `msgpack:"k"`
	Request RequestID     `msgpack:"q"`
	Offset  int64         `msgpack:"o"`
	Data    []byte        `msgpack:"d,omitempty"`
	// Started fields.
	Number uint64              `msgpack:"n,omitempty"`
	Status int                 `msgpack:"s,omitempty"` // of a plain answer
	Header map[string][]string `msgpack:"h,omitempty"` // of a plain answer
	// Done fields. Length and Digest (xxhash64) cover all bytes of Data.
	Length int64  `msgpack:"l,omitempty"`
	Digest uint64 `msgpack:"x,omitempty"`
	Usage  Usage  `msgpack:"u,omitempty"`
	// Replayed is set when the answer is a recorded one.
	Replayed bool `msgpack:"y,omitempty"`
	// Refused field.
	Refusal *Refusal `msgpack:"r,omitempty"`
}

// OwnersQuery asks a scheduler for its view of the slot owners of its domain.
type OwnersQuery struct{}

// Owners maps each slot to the wire address of its owner; "" when unknown.
type Owners struct {
	Domain DomainID `msgpack:"d"`
	Slots  []string `msgpack:"s"`
}

// ConfigQuery asks for a configuration version above Have. The answer waits a
// bounded time for one.
type ConfigQuery struct {
	HaveVersion uint64 `msgpack:"h"`
	// From names the daemon that asks, and InForce is the lowest version in
	// force among it and the daemons that follow it. Both may be left out.
	From    string `msgpack:"f,omitempty"`
	InForce uint64 `msgpack:"i,omitempty"`
	// AcceptsPatch says that an answer may hold a Patch.
	AcceptsPatch bool `msgpack:"p,omitempty"`
}

// ConfigVersion is one accepted version of the operators' document. Document
// is the merged document as JSON; it is empty when there is no version above
// the one that the query has.
type ConfigVersion struct {
	Version  uint64 `msgpack:"v"`
	Author   string `msgpack:"a"`
	Document []byte `msgpack:"d"`
	// Patch, in place of Document, leads from the version that the query has
	// to Version: a config.Patch as JSON.
	Patch []byte `msgpack:"p,omitempty"`
	// Age is the time since the store last confirmed to the sender that no
	// later version exists.
	Age time.Duration `msgpack:"g,omitempty"`
}
