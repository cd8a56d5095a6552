// Package edge serves callers: it decides for each request whether it may run, on
// which target and when, sends it to that target and passes the response back. It
// connects the state machines that take these decisions. It does not know the names
// of the platform's headers and routes.
package edge

import (
	"net/http"

	"github.com/endivecourse/endivecourse/structs"
)

// Request is one attempt of a caller, read completely.
type Request struct {
	ID     structs.RequestID
	Method string
	Host   string
	Path   string // without the query
	URI    string // path and query as sent
	// Header is the part of the caller's header that is forwarded to the target
	// unchanged.
	Header http.Header
	// LastEvent is the ID of the last event that the caller has of a stream which it resumes,
	// empty if it resumes none.
	LastEvent string
	Body      []byte
	Key       string
	// Arrived is when the request's head was read; Deadline is when the caller
	// stops waiting for the answer.
	Arrived  structs.Instant
	Deadline structs.Instant
	Program  structs.ProgramID
	// ProgramDeadline is when the program should have ended, 0 if unknown.
	ProgramDeadline structs.Instant
	Turn            TurnInfo
}

// TurnInfo describes a request as a turn of a conversation.
type TurnInfo struct {
	Previous structs.RequestID // the turn that it continues, if any
	// Line names the line of turns to which the turn belongs; a sub-program has a line
	// of its own. It is empty if not stated.
	Line string
	// Budget is the number of tokens that all turns of the program may generate, 0
	// if not stated; MaxTokens is the most that this turn generates.
	Budget, MaxTokens int64
}

// ForwardInfo is what a target receives in addition to the request itself.
type ForwardInfo struct {
	Target  structs.TargetID
	Account structs.AccountID // empty for requests without a key
	// TimeLeftMillis is the time until the request's deadline, in milliseconds.
	TimeLeftMillis int64
}

// ResponseHead holds what the status and headers of a target's response say about
// the request.
type ResponseHead struct {
	// IsSigned reports that the head bears the target's signature, without which a success is
	// not the target's answer.
	IsSigned bool
	// NotRun reports that the target did not run the request and never will.
	NotRun bool
	// WrongTarget reports that another target now uses the address.
	WrongTarget bool
	// IsLeaving reports that the target takes no new requests any more.
	IsLeaving bool
	// Rate is the number of requests per second that the target takes from all VMs
	// together, if NamesRate is set. InvalidRate is the text of a rate that is no number.
	NamesRate   bool
	Rate        float64
	InvalidRate string
}

// Dialect translates requests and responses to and from the targets' protocol.
type Dialect interface {
	// RequestHeader returns the header of a request to a target.
	RequestHeader(req *Request, to ForwardInfo) http.Header
	// IDHeader returns the name of the header in which a target repeats the
	// request's ID.
	IDHeader() string
	// ParseResponseHead interprets the status and header of a response.
	ParseResponseHead(status int, header http.Header) ResponseHead
	// CallerHeader returns the part of a response's header that is sent back to
	// the caller.
	CallerHeader(header http.Header) http.Header
}

// Responder answers the caller. At most one of SendResponse, Refuse and BeginStream
// is called, and at most once.
type Responder interface {
	// SendResponse sends a complete response.
	SendResponse(status int, header http.Header, body []byte)
	// Refuse sends a refusal that the system itself decided on.
	Refuse(r *structs.Refusal)
	// BeginStream starts a stream, SendData sends and flushes a part of it, and
	// EndStream completes it.
	BeginStream(status int, header http.Header)
	SendData(part []byte) error
	EndStream()
	// Abort closes the caller's connection once the request has ended, so that an
	// incomplete response cannot be taken for a complete one.
	Abort()
}
