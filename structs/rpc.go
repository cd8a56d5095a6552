package structs

import "time"

// Methods of the protocol between gateways and schedulers. Each comment gives
// the types of the request and the reply; "stream" means any number of replies.
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

// CreateProgram creates a program. The gateway generates the ID, so that the
// request is idempotent.
type CreateProgram struct {
	ID      ProgramID `msgpack:"g"`
	Account AccountID `msgpack:"a"`
	Kind    string    `msgpack:"k"`
	Budget  int64     `msgpack:"b"` // tokens; 0 means the default of the kind
	Parent  ProgramID `msgpack:"p,omitempty"`
	Request RequestID `msgpack:"q"`
	// SingleCall is set in the record of a program that was created for one
	// call.
	SingleCall bool `msgpack:"s,omitempty"`
}

// ProgramRef names a program on behalf of an account. An empty Account means
// that an operator asks.
type ProgramRef struct {
	ID      ProgramID `msgpack:"g"`
	Account AccountID `msgpack:"a"`
	Request RequestID `msgpack:"q"`
}

// ListPrograms asks for the programs of one account, or for all programs when
// Account is empty.
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

// CallEventKind is the kind of one event of a call's answer.
type CallEventKind uint8

// Kinds of CallEvent, in the order in which they are sent: one EventStarted,
// any number of EventData, then exactly one of EventDone and EventRefused. An
// answer without this last event is incomplete.
const (
	EventStarted CallEventKind = iota + 1
	EventData
	EventDone
	EventRefused
)

// CallEvent is one part of the answer to a call. Every event repeats the
// request ID, so that the answer to another request is detected. Offset is the
// number of Data bytes in earlier events, so that a gap is detected.
type CallEvent struct {
	Kind    CallEventKind `msgpack:"k"`
	Request RequestID     `msgpack:"q"`
	Offset  int64         `msgpack:"o"`
	Data    []byte        `msgpack:"d,omitempty"`
	// Fields of EventStarted.
	Number uint64              `msgpack:"n,omitempty"`
	Status int                 `msgpack:"s,omitempty"` // of a plain answer
	Header map[string][]string `msgpack:"h,omitempty"` // of a plain answer
	// Fields of EventDone. Length and Digest (xxhash64) cover all bytes of Data.
	Length int64  `msgpack:"l,omitempty"`
	Digest uint64 `msgpack:"x,omitempty"`
	Usage  Usage  `msgpack:"u,omitempty"`
	// Replayed is set when an answer recorded earlier is sent again.
	Replayed bool `msgpack:"y,omitempty"`
	// Refusal is set in EventRefused.
	Refusal *Refusal `msgpack:"r,omitempty"`
}

// OwnersQuery asks a scheduler which owners it knows for the slots of its
// failure domain.
type OwnersQuery struct{}

// Owners holds the wire address of each slot's owner, or "" where it is not
// known.
type Owners struct {
	Domain DomainID `msgpack:"d"`
	Slots  []string `msgpack:"s"`
}

// ConfigQuery asks for a configuration version above HaveVersion. The server
// waits a bounded time for such a version before it answers.
type ConfigQuery struct {
	HaveVersion uint64 `msgpack:"h"`
	// From names the daemon that asks. InForce is the lowest version in force
	// at that daemon and at those that get their configuration from it. Both
	// may be omitted.
	From    string `msgpack:"f,omitempty"`
	InForce uint64 `msgpack:"i,omitempty"`
	// AcceptsPatch means that the reply may contain a Patch.
	AcceptsPatch bool `msgpack:"p,omitempty"`
}

// ConfigVersion is one accepted version of the operators' configuration.
// Document is the merged document as JSON; it is empty when there is no
// version above the one in the query.
type ConfigVersion struct {
	Version  uint64 `msgpack:"v"`
	Author   string `msgpack:"a"`
	Document []byte `msgpack:"d"`
	// Patch is set instead of Document. It is a config.Patch as JSON that
	// turns the version in the query into Version.
	Patch []byte `msgpack:"p,omitempty"`
	// Age is the time since the store last confirmed to the sender that no
	// later version exists.
	Age time.Duration `msgpack:"g,omitempty"`
}
