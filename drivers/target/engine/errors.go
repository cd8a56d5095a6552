package engine

import "fmt"

// BadRequestError says that a request is not one for a model engine.
type BadRequestError struct{ Reason string }

// Error gives the reason.
func (e *BadRequestError) Error() string { return "not a model request: " + e.Reason }

// MissingPartError says that an answer ended without its last parts.
type MissingPartError struct{ Missing string }

// Error names what is missing.
func (e *MissingPartError) Error() string { return fmt.Sprintf("answer ended without %s", e.Missing) }

// EngineError is a failure that the engine reports inside its answer.
type EngineError struct{ Type string }

// Error gives the engine's error type.
func (e *EngineError) Error() string { return fmt.Sprintf("engine reports %q", e.Type) }

// ClosedError says that the stream was closed before its end.
type ClosedError struct{}

// Error says so.
func (*ClosedError) Error() string { return "stream closed before its end" }
