package quotaclient

import (
	"context"

	"github.com/endivecourse/endivecourse/gateway/forward"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

var (
	_ kernel.Component = (*Client)(nil)
	_ kernel.Dumper    = (*Client)(nil)
)

// Over makes a Take that asks the holders of one failure domain.
func Over(forwarder *forward.Forwarder, domain structs.DomainID) Take {
	return func(ctx context.Context, take structs.TakeQuota) (structs.QuotaGrant, error) {
		var grant structs.QuotaGrant
		err := forwarder.Call(ctx, domain, string(take.Account), structs.MethodTakeQuota, false, take, &grant)
		return grant, err
	}
}

// Name returns "quotaclient".
func (c *Client) Name() string { return "quotaclient" }

// Start starts the client's duty.
func (c *Client) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("quotaclient.return", c.Run)
	return nil
}

// Stop has nothing to end: the duty ends with the daemon.
func (c *Client) Stop(context.Context) error { return nil }

// DumpState returns the client's State.
func (c *Client) DumpState() any { return c.State() }
