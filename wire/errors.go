package wire

import "fmt"

// VersionMismatchError says that a peer speaks another protocol version.
type VersionMismatchError struct{ PeerVersion byte }

// Error names both versions.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("wire protocol version %d is not %d", e.PeerVersion, Version)
}

// MalformedFrameError says that a field of a frame header has no meaning.
type MalformedFrameError struct {
	Field string
	Value uint64
}

// Error names the field.
func (e *MalformedFrameError) Error() string {
	return fmt.Sprintf("wire frame field %s has value %d", e.Field, e.Value)
}

// FrameTooLargeError says that a frame's body exceeds the bound.
type FrameTooLargeError struct{ Length, Max uint64 }

// Error names both sizes.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("wire frame of %d bytes exceeds %d", e.Length, e.Max)
}

// NotSentError says that no byte of a request left for the peer.
type NotSentError struct {
	Addr  string
	Cause error
}

// Error names the peer.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request to %s not sent: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// IncompleteReplyError says that a request was sent and that its reply was cut.
type IncompleteReplyError struct {
	Addr  string
	Cause error
}

// Error names the peer.
func (e *IncompleteReplyError) Error() string {
	return fmt.Sprintf("reply from %s cut: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteReplyError) Unwrap() error { return e.Cause }

// ClosedError says that a connection, client or server was closed.
type ClosedError struct{}

// Error says so.
func (e *ClosedError) Error() string { return "wire connection closed" }

// IncompleteTLSError says that only a part of the TLS settings is given.
type IncompleteTLSError struct{ Missing string }

// Error names the missing setting.
func (e *IncompleteTLSError) Error() string {
	return fmt.Sprintf("TLS is half set: %s is missing", e.Missing)
}

// InvalidCAError says that a CA file holds no certificate.
type InvalidCAError struct{ File string }

// Error names the file.
func (e *InvalidCAError) Error() string { return fmt.Sprintf("no certificate in CA file %q", e.File) }
