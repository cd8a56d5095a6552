package orders

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

// Order gives one order to the target through its driver. An order that needs
// weights first waits for the weight store's leave. checksFence says whether
// the target refuses old fencing numbers; if not, the term of the orderer
// before is waited out. The order is sent within the term of this right or not
// at all: *ExpiredError, *HeldError and *WeightsError mean that nothing was
// sent.
func (r *Lease) Order(ctx context.Context, driver target.Driver, checksFence bool, order target.Order) error {
	if err := r.fetch(ctx, order); err != nil {
		return err
	}
	if !checksFence && !sleep(ctx, r.free.Sub(structs.Now())) {
		return errors.Wrap(ctx.Err(), "wait for the term of the orderer before")
	}
	// The waits may have outlasted the term. A renewal also shows that no
	// other orderer has taken the right meanwhile.
	if err := r.Renew(ctx); err != nil {
		return err
	}
	return r.send(ctx, driver, order)
}

// send gives the order within the term.
func (r *Lease) send(ctx context.Context, driver target.Driver, order target.Order) error {
	left := r.until.Sub(structs.Now())
	if left <= 0 {
		return &ExpiredError{Target: r.target}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	order.Fence = r.fence
	return driver.Order(ctx, order)
}

// fetch asks the weight store until it grants the weights.
func (r *Lease) fetch(ctx context.Context, order target.Order) error {
	if order.Kind == target.OrderChangeRole || r.orderer.Weights == nil {
		return nil
	}
	for {
		wait, err := r.orderer.Weights.Fetch(ctx, order.Name, order.Version)
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
