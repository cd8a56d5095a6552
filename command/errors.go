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
	ExitFailed     = 1 // nothing was changed, or the outcome is unknown; the message says which
	ExitBadInput   = 2 // wrong usage or a wrong file
	ExitConflict   = 3 // another operator stored a version first
	ExitNotInForce = 4 // stored, but not yet in force in all failure domains
)

// UsageError reports a wrong command line.
type UsageError struct{ Message string }

// Error returns Message.
func (e *UsageError) Error() string { return e.Message }

func usageErrorf(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// UnknownNameError reports that the stored configuration has no entry of a kind by a name.
type UnknownNameError struct{ Kind, Name string }

// Error names the entry.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("the stored configuration has no %s %q", e.Kind, e.Name)
}

// NotInForceError reports that a stored version is not yet in force in all failure domains.
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

// StatusError reports that a daemon's admin address answered with a status other than 200.
type StatusError struct {
	Address string
	Status  int
	Body    string
}

// Error names the address, the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d: %s", e.Address, e.Status, strings.TrimSpace(e.Body))
}

// NoSchedulerError reports that no scheduler is known, or that none of them answered a
// request.
type NoSchedulerError struct{ Cause error }

// Error says which of the two it is, with the last failure.
func (e *NoSchedulerError) Error() string {
	if e.Cause == nil {
		return "no scheduler is known; set --scheduler, or --platform to a platform that lists live schedulers"
	}
	return fmt.Sprintf("no scheduler answered: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoSchedulerError) Unwrap() error { return e.Cause }

// exitStatus returns the exit status for a subcommand's error.
func exitStatus(err error) int {
	var (
		usageErr   *UsageError
		fileErr    *settings.FileError
		unknown    *UnknownNameError
		noVersion  *config.VersionNotFoundError
		conflict   *config.VersionConflictError
		notInForce *NotInForceError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr), errors.As(err, &fileErr), errors.As(err, &unknown), errors.As(err, &noVersion):
		return ExitBadInput
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &notInForce):
		return ExitNotInForce
	default:
		return ExitFailed
	}
}

// jsonError is the form in which --json prints an error.
type jsonError struct {
	Error    string             `json:"error"`
	Status   int                `json:"exit_status"`
	Problems []settings.Problem `json:"problems,omitempty"`
}

func printError(w io.Writer, err error, isJSON bool) {
	if !isJSON {
		fmt.Fprintln(w, err)
		return
	}
	f := jsonError{Error: err.Error(), Status: exitStatus(err)}
	var fileErr *settings.FileError
	if errors.As(err, &fileErr) {
		f.Problems = fileErr.Problems
	}
	// If standard error is closed, the exit status is the only report left.
	_ = json.NewEncoder(w).Encode(f)
}
