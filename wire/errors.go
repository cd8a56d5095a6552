package wire

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// VersionMismatchError reports that a peer uses another protocol version.
type VersionMismatchError struct{ PeerVersion byte }

// Error names both versions.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("wire protocol version %d is not %d", e.PeerVersion, Version)
}

// MalformedFrameError reports a frame with an invalid field, or one that
// exceeds the peer's credits.
type MalformedFrameError struct {
	Field string
	Value uint64
}

// Error names the field and its value.
func (e *MalformedFrameError) Error() string {
	return fmt.Sprintf("wire frame field %s has value %d", e.Field, e.Value)
}

// FrameTooLargeError reports that a frame's body exceeds the maximum.
type FrameTooLargeError struct{ Length, Max uint64 }

// Error names both sizes.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("wire frame of %d bytes exceeds %d", e.Length, e.Max)
}

// NoFrameMemoryError reports that the memory for frames that arrive is in use.
type NoFrameMemoryError struct{ Length int } // of the frame's body in bytes

// Error names the length.
func (e *NoFrameMemoryError) Error() string {
	return fmt.Sprintf("no memory for a wire frame of %d bytes", e.Length)
}

// NotSentError reports that no byte of a request was sent to the peer.
type NotSentError struct {
	Addr  string
	Cause error
}

// Error names the peer and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request to %s not sent: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// IncompleteReplyError reports that a request was sent and that its reply did
// not arrive completely, so that it is not known whether the request was run.
type IncompleteReplyError struct {
	Addr  string
	Cause error
}

// Error names the peer and the cause.
func (e *IncompleteReplyError) Error() string {
	return fmt.Sprintf("reply from %s cut: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteReplyError) Unwrap() error { return e.Cause }

// ClosedError reports that a connection, client or server was closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "wire connection closed" }

// IncompleteTLSError reports that only some of the TLS files are given.
type IncompleteTLSError struct{ Missing string }

// Error names the missing setting.
func (e *IncompleteTLSError) Error() string {
	return fmt.Sprintf("TLS settings are incomplete: %s is missing", e.Missing)
}

// InvalidCAError reports that a CA file contains no certificate.
type InvalidCAError struct{ File string }

// Error names the file.
func (e *InvalidCAError) Error() string { return fmt.Sprintf("no certificate in CA file %q", e.File) }

// ReplyTimeoutError is the cause for which a context of WithReplyTimeout ends.
type ReplyTimeoutError struct{ Timeout time.Duration }

// Error includes the timeout.
func (e *ReplyTimeoutError) Error() string { return "no reply within " + e.Timeout.String() }

// WithReplyTimeout returns a context for a call whose peer has the given time to reply. It
// may end earlier, with ctx; IsReplyTimeout tells these cases apart.
func WithReplyTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, timeout, &ReplyTimeoutError{Timeout: timeout})
}

// IsReplyTimeout reports whether ctx has ended since the peer had all of its time to reply.
func IsReplyTimeout(ctx context.Context) bool {
	var timeout *ReplyTimeoutError
	return errors.As(context.Cause(ctx), &timeout)
}
