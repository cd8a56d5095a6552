package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/drivers/target"
	_ "github.com/endivecourse/endivecourse/drivers/target/engine" // registers target.engine
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/orders"
	"github.com/endivecourse/endivecourse/structs"
)

// orderTimeout is the default time limit of an order, including the time it waits for the
// previous operator's lease to expire and for weights.
const orderTimeout = 5 * time.Minute

func (a *app) targetOrder() *cobra.Command {
	var version string
	var limit time.Duration
	c := &cobra.Command{
		Use:   "order TARGET KIND NAME",
		Short: "Order a model engine to load a model, an adapter or a version, or to change role",
		Long: `Order a model engine to load a model, an adapter or a version, or to change role.

KIND is load_model, load_adapter, set_version or change_role; NAME is the model,
the adapter or the role. One operator at a time orders a target: the order
carries a fencing number that is higher than all before. A target that does not
check such numbers gets the order only after the term of an operator before has
ended. Weights are asked of the weight store first, as fast as it allows.`,
		Example: `  endivectl target order rake-llm-3 load_model rake-8b --version 2026-11
  endivectl target order rake-llm-3 change_role decode`,
		Args: argCount(3, 3),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), limit)
			defer cancel()
			order := target.Order{Kind: target.OrderKind(args[1]), Name: args[2], Version: version}
			return a.order(ctx, structs.TargetID(args[0]), order)
		},
	}
	c.Flags().StringVar(&version, "version", "", "version of the model or the adapter")
	c.Flags().DurationVar(&limit, "limit", orderTimeout, "time limit of the order, including its waits")
	return c
}

// orderOutcome is what "target order" prints.
type orderOutcome struct {
	Target structs.TargetID `json:"target"`
	Order  target.Order     `json:"order"`
}

func (a *app) order(ctx context.Context, id structs.TargetID, order target.Order) error {
	switch order.Kind {
	case target.OrderLoadModel, target.OrderLoadAdapter, target.OrderSetVersion, target.OrderChangeRole:
	default:
		return usageErrorf("KIND must be load_model, load_adapter, set_version or change_role, not %q", order.Kind)
	}
	if a.author == "" {
		return usageErrorf("the author is not given: use --author or %s", EnvAuthor)
	}
	entry, driver, err := a.findOrderTarget(ctx, id)
	if err != nil {
		return err
	}
	services, err := a.platform()
	if err != nil {
		return err
	}
	orderer := &orders.Orderer{Table: services.Table, Weights: services.Weights, Name: a.author}
	lease, err := orderer.Acquire(ctx, id)
	if err != nil {
		return err
	}
	if err := lease.Order(ctx, driver, entry.ChecksFence, order); err != nil {
		return err // the outcome may be unknown, so the lease is kept until it expires
	}
	order.Fence = lease.Fence()
	// The order has been carried out. If the release fails, the lease expires by itself.
	_ = lease.Release(ctx)
	return a.print(orderOutcome{Target: id, Order: order}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s %s done with fencing number %d\n", id, order.Kind, order.Name, order.Fence)
	})
}

// findOrderTarget returns a target of the stored configuration and a driver for it. The
// target must belong to a model service; others take no orders.
func (a *app) findOrderTarget(ctx context.Context, id structs.TargetID) (targetEntry, target.Driver, error) {
	_, current, err := a.current(ctx)
	if err != nil {
		return targetEntry{}, nil, err
	}
	for _, entry := range targetsOf(current.doc) {
		if entry.ID != id {
			continue
		}
		if current.doc.Services[entry.Service].Kind != config.ServiceModel {
			return entry, nil, usageErrorf("target %q belongs to a plain service, whose targets take no orders", id)
		}
		factory, err := kernel.Lookup[target.Factory](kernel.ModuleID("target." + entry.Protocol))
		if err != nil {
			return entry, nil, err
		}
		driver, err := factory(target.Spec{ID: id, Service: entry.Service, Domain: entry.Domain, BaseURL: entry.URL, Protocol: entry.Protocol})
		return entry, driver, err
	}
	return targetEntry{}, nil, &UnknownNameError{Kind: "target", Name: string(id)}
}
