package orders

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// HeldError reports that another orderer has acquired the lease on a target.
type HeldError struct {
	Target  structs.TargetID
	Orderer string
	Fence   uint64
}

// Error returns the target, the other orderer and its fencing token.
func (e *HeldError) Error() string {
	return fmt.Sprintf("the lease on target %q is held by orderer %q with fencing number %d", e.Target, e.Orderer, e.Fence)
}

// ExpiredError reports that the lease has expired. The order was not sent.
type ExpiredError struct{ Target structs.TargetID }

// Error returns the target.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the lease on target %q has expired; the order was not sent", e.Target)
}

// UnknownOutcomeError reports that it is unknown whether the lease was acquired, renewed
// or released. Nothing was sent to the target.
type UnknownOutcomeError struct {
	Target structs.TargetID
	Cause  error
}

// Error returns the target and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether the lease on target %q was changed: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// WeightsError reports that the weight store did not grant the weights in time, because
// of its rate limit or another error.
type WeightsError struct {
	Model      string
	RetryAfter time.Duration
	Cause      error
}

// Error returns the model, the wait that the weight store asked for, and the cause.
func (e *WeightsError) Error() string {
	return fmt.Sprintf("weights of model %q are not available yet; the weight store asks to wait %s: %v", e.Model, e.RetryAfter, e.Cause)
}

// Unwrap returns the cause.
func (e *WeightsError) Unwrap() error { return e.Cause }
