// Package edge serves callers: it decides for each request whether it may run,
// what it runs on and when, sends it to a target and passes the answer back. It
// joins the decision packages; names of headers and routes of the platform are
// unknown here.
package edge

import (
	"net/http"

	"github.com/endivecourse/endivecourse/structs"
)

// Request is one attempt of a caller, read whole.
type Request struct {
	ID     structs.RequestID
	Method string
	Host   string
	Path   string // without the query
	URI    string // path and query as sent
	// Header is what goes on to the target as it is.
	Header http.Header
	Body   []byte
	Key    string
	// Arrived is when the head was read; Deadline when the caller gives up.
	Arrived  structs.Instant
	Deadline structs.Instant
	Program  structs.ProgramID
	// ProgramDeadline is when the program should have ended, 0 when not told.
	ProgramDeadline structs.Instant
	Turn            TurnInfo
}

// TurnInfo is what a request says of itself as a turn of a conversation.
type TurnInfo struct {
	Previous structs.RequestID // the turn that it continues, if any
	// Budget is the tokens that all turns of the program may generate, 0 when
	// not told; MaxTokens the most that this turn generates.
	Budget, MaxTokens int64
}

// ForwardInfo is what a target is told beside the request itself.
type ForwardInfo struct {
	Target  structs.TargetID
	Account structs.AccountID // empty for requests without a key
	// Left is the time in which the answer is of use, in milliseconds.
	TimeLeftMillis int64
}

// ResponseHead is what the head of a target's answer says.
type ResponseHead struct {
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// WrongTarget says that another target has the address.
	WrongTarget bool
}

// Dialect translates to and from the targets' protocol.
type Dialect interface {
	// RequestHeader returns the header of a request to a target.
	RequestHeader(req *Request, to ForwardInfo) http.Header
	// IDHeader is the header in which a target repeats the request's ID.
	IDHeader() string
	// ParseResponseHead reads an answer's head.
	ParseResponseHead(status int, header http.Header) ResponseHead
	// CallerHeader returns what of an answer's header goes back to the caller.
	CallerHeader(header http.Header) http.Header
}

// Responder answers the caller. Whole, Refuse and Begin are called at most once
// and exclude one another.
type Responder interface {
	// SendResponse sends a complete answer.
	SendResponse(status int, header http.Header, body []byte)
	// Refuse sends an answer of the system's own.
	Refuse(r *structs.Refusal)
	// BeginStream starts a stream, Data sends a part of it at once, End completes
	// it.
	BeginStream(status int, header http.Header)
	SendData(part []byte) error
	EndStream()
	// Abort closes the caller's connection, so that what was sent can't look
	// complete. It does not return.
	Abort()
}
