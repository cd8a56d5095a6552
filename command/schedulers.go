package command

import (
	"context"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// maxOwnerHops is the maximum number of requests in a chain in which each scheduler names
// the next one as the program's owner.
const maxOwnerHops = 3

func (a *app) wireClient() (*wire.Client, error) {
	if err := a.tls.Check(); err != nil {
		return nil, usageErrorf("%v", err)
	}
	config, err := a.tls.Load()
	if err != nil {
		return nil, err
	}
	return wire.NewClient(wire.Options{TLS: config}), nil
}

// schedulerAddresses returns the wire addresses of --scheduler. Without that flag it returns
// those of the live schedulers of a domain, or of all domains if domain is empty, that the
// platform lists.
func (a *app) schedulerAddresses(ctx context.Context, domain structs.DomainID) ([]string, error) {
	if len(a.schedulers) > 0 {
		return a.schedulers, nil
	}
	services, err := a.platform()
	if err != nil {
		return nil, err
	}
	vms, err := services.VMs.VMs(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, vm := range vms {
		if vm.Scheduler != "" && vm.State == backing.VMLive && (domain == "" || vm.Domain == domain) {
			addresses = append(addresses, vm.Scheduler)
		}
	}
	if len(addresses) == 0 {
		return nil, &NoSchedulerError{}
	}
	return addresses, nil
}

func (a *app) call(ctx context.Context, client *wire.Client, addr, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	return client.Call(ctx, addr, method, in, out)
}

// callOwner calls a method of the program's owner. It tries the schedulers of the program's
// home domain one after another; if one names another owner, it calls that one next. The
// method must be idempotent, since the call is repeated at the next scheduler after a lost
// response.
func (a *app) callOwner(ctx context.Context, id structs.ProgramID, method string, in, out any) error {
	client, err := a.wireClient()
	if err != nil {
		return err
	}
	defer client.Close()
	addresses, err := a.schedulerAddresses(ctx, id.HomeDomain())
	if err != nil {
		return err
	}
	var lastErr error
	for _, addr := range addresses {
		for range maxOwnerHops {
			lastErr = a.call(ctx, client, addr, method, in, out)
			var refusal *structs.Refusal
			if lastErr == nil {
				return nil
			}
			if !errors.As(lastErr, &refusal) {
				break
			}
			if refusal.Kind != structs.RefusedNotOwner {
				return refusal
			}
			if refusal.Owner == "" {
				break
			}
			addr = refusal.Owner
		}
	}
	return &NoSchedulerError{Cause: lastErr}
}
