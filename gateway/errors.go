package gateway

import (
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// MissingOptionError says that a required option is not set.
type MissingOptionError struct{ Option string }

// Error names the option.
func (e *MissingOptionError) Error() string {
	return fmt.Sprintf("gateway option %s is not set", e.Option)
}

// IncompleteTLSError says that only one of the callers' certificate and key is
// named.
type IncompleteTLSError struct{}

// Error names both settings.
func (e *IncompleteTLSError) Error() string {
	return "callers_tls needs both cert and key, or neither"
}

// CallerDisconnectedError says that an answer could not be written to its caller.
type CallerDisconnectedError struct{ Cause error }

// Error gives the cause.
func (e *CallerDisconnectedError) Error() string { return fmt.Sprintf("caller gone: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error { return e.Cause }

func badRequest(field, format string, args ...any) *structs.Refusal {
	refusal := structs.Refuse(structs.RefusedBadRequest, structs.RunNo, format, args...)
	refusal.Field = field
	return refusal
}

func refuse(kind structs.RefusalKind, format string, args ...any) *structs.Refusal {
	return structs.Refuse(kind, structs.RunNo, format, args...)
}
