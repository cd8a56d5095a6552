package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Exit statuses.
const (
	ExitOK         = 0
	ExitFailed     = 1 // nothing changed, or the outcome is unknown; the message says which
	ExitBadInput   = 2 // wrong usage or a wrong file
	ExitConflict   = 3 // another operator stored a version first
	ExitNotInForce = 4 // stored, but not yet in force everywhere
)

// UsageError says that the command line is wrong.
type UsageError struct{ Message string }

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

func usage(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// UnknownNameError says that the stored document has no such entry.
type UnknownNameError struct{ Kind, Name string }

// Error names the entry.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("the stored configuration has no %s %q", e.Kind, e.Name)
}

// NotInForceError says that a stored version is not yet in force everywhere.
type NotInForceError struct {
	Version uint64
	InForce int
	Domains int
	Missing []structs.DomainID
}

// Error names the missing failure domains.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is in force in %d of %d failure domains; missing: %s",
		e.Version, e.InForce, e.Domains, joinNames(e.Missing))
}

func joinNames[T ~string](names []T) string {
	text := make([]string, len(names))
	for i, name := range names {
		text[i] = string(name)
	}
	return strings.Join(text, ", ")
}

// StatusError says that a daemon's admin address answered with a failure.
type StatusError struct {
	Address string
	Status  int
	Body    string
}

// Error names the address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Address, e.Status, strings.TrimSpace(e.Body))
}

// NoSchedulerError says that no scheduler answered for a program.
type NoSchedulerError struct{ Cause error }

// Error names the last failure.
func (e *NoSchedulerError) Error() string {
	if e.Cause == nil {
		return "no scheduler is known; give --scheduler or a platform that lists VMs"
	}
	return fmt.Sprintf("no scheduler answered: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoSchedulerError) Unwrap() error { return e.Cause }

// exitStatus maps a verb's error to the exit status.
func exitStatus(err error) int {
	var (
		usageErr *UsageError
		fileErr  *settings.FileError
		unknown  *UnknownNameError
		noVer    *config.NoVersionError
		lost     *config.LostRaceError
		pending  *NotInForceError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr), errors.As(err, &fileErr), errors.As(err, &unknown), errors.As(err, &noVer):
		return ExitBadInput
	case errors.As(err, &lost):
		return ExitConflict
	case errors.As(err, &pending):
		return ExitNotInForce
	default:
		return ExitFailed
	}
}

// failure is an error as --json prints it.
type failure struct {
	Error    string             `json:"error"`
	Status   int                `json:"exit_status"`
	Problems []settings.Problem `json:"problems,omitempty"`
}

func printError(w io.Writer, err error, asJSON bool) {
	if !asJSON {
		fmt.Fprintln(w, err)
		return
	}
	f := failure{Error: err.Error(), Status: exitStatus(err)}
	var fileErr *settings.FileError
	if errors.As(err, &fileErr) {
		f.Problems = fileErr.Problems
	}
	// A closed standard error leaves only the exit status to report with.
	_ = json.NewEncoder(w).Encode(f)
}
