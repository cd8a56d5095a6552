package orders

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

// Order gives one order to the target through its driver. An order that needs weights
// first waits until the weight store grants them. checksFence says whether the target
// refuses old fencing tokens; if not, Order waits until the previous orderer's lease has
// expired. The order is sent while this lease is valid or not at all: *ExpiredError,
// *HeldError and *WeightsError mean that nothing was sent.
func (l *Lease) Order(ctx context.Context, driver target.Driver, checksFence bool, order target.Order) error {
	if err := l.fetchWeights(ctx, order); err != nil {
		return err
	}
	if !checksFence && !sleep(ctx, l.previousExpiresAt.Sub(structs.Now())) {
		return errors.Wrap(ctx.Err(), "wait for the previous orderer's lease to expire")
	}
	// The lease may have expired during the waits. A successful renewal also shows that
	// no other orderer has acquired it in the meantime.
	if err := l.Renew(ctx); err != nil {
		return err
	}
	return l.send(ctx, driver, order)
}

// send sends the order while the lease is valid.
func (l *Lease) send(ctx context.Context, driver target.Driver, order target.Order) error {
	remaining := l.expiresAt.Sub(structs.Now())
	if remaining <= 0 {
		return &ExpiredError{Target: l.target}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	order.Fence = l.fence
	return driver.Order(ctx, order)
}

// fetchWeights repeats the request to the weight store until it grants the weights.
func (l *Lease) fetchWeights(ctx context.Context, order target.Order) error {
	if order.Kind == target.OrderChangeRole || l.orderer.Weights == nil {
		return nil
	}
	for {
		wait, err := l.orderer.Weights.Fetch(ctx, order.Name, order.Version)
		if err != nil {
			return &WeightsError{Model: order.Name, Cause: err}
		}
		if wait <= 0 {
			return nil
		}
		if !sleep(ctx, max(wait, time.Millisecond)) {
			return &WeightsError{Model: order.Name, RetryAfter: wait, Cause: ctx.Err()}
		}
	}
}
