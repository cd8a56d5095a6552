package engine

import "fmt"

// BadRequestError reports that a request can't be sent to a model engine.
type BadRequestError struct{ Reason string }

// Error returns the reason.
func (e *BadRequestError) Error() string { return "not a model request: " + e.Reason }

// MissingPartError reports that a response ended without its usage or its end marker.
type MissingPartError struct{ Missing string }

// Error returns the missing part.
func (e *MissingPartError) Error() string { return fmt.Sprintf("answer ended without %s", e.Missing) }

// EngineError is an error that the engine reports inside a response stream.
type EngineError struct{ Type string }

// Error returns the engine's error type.
func (e *EngineError) Error() string { return fmt.Sprintf("engine reports %q", e.Type) }

// ClosedError reports that Close was called before the response ended.
type ClosedError struct{}

// Error returns a fixed text.
func (*ClosedError) Error() string { return "stream closed before its end" }

// ResponseTooLargeError reports a response, other than a stream, whose end is not read.
type ResponseTooLargeError struct{ Max int }

// Error returns the limit.
func (e *ResponseTooLargeError) Error() string { return fmt.Sprintf("over %d bytes", e.Max) }
