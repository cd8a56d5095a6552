package orders

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// HeldError says that another orderer took the right to a target.
type HeldError struct {
	Target  structs.TargetID
	Orderer string
	Fence   uint64
}

// Error names the other orderer.
func (e *HeldError) Error() string {
	return fmt.Sprintf("orders to target %q are now given by %q with fencing number %d", e.Target, e.Orderer, e.Fence)
}

// ExpiredError says that the term has ended; nothing was sent.
type ExpiredError struct{ Target structs.TargetID }

// Error names the target.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the term for orders to target %q has ended; nothing was sent", e.Target)
}

// UnknownOutcomeError says that it is not known whether the right was taken or
// renewed. Nothing was sent to the target.
type UnknownOutcomeError struct {
	Target structs.TargetID
	Cause  error
}

// Error names the target and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the right to order target %q may or may not have been taken: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// WeightsError says that the weight store's rate limit did not let the weights
// through in time.
type WeightsError struct {
	Model      string
	RetryAfter time.Duration
	Cause      error
}

// Error names the model and the wait.
func (e *WeightsError) Error() string {
	return fmt.Sprintf("weights of %q are not available yet; the weight store asks to wait %s: %v", e.Model, e.RetryAfter, e.Cause)
}

// Unwrap returns the cause.
func (e *WeightsError) Unwrap() error { return e.Cause }
