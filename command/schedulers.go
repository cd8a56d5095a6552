package command

import (
	"context"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// maxOwnerHops bounds how often a request follows from one scheduler to the
// owner that it names.
const maxOwnerHops = 3

func (a *app) wireClient() (*wire.Client, error) {
	if err := a.tls.Check(); err != nil {
		return nil, usage("%v", err)
	}
	config, err := a.tls.Load()
	if err != nil {
		return nil, err
	}
	return wire.NewClient(wire.Options{TLS: config}), nil
}

// schedulersOf returns the wire addresses of a domain's schedulers, or of all
// when domain is empty.
func (a *app) schedulersOf(ctx context.Context, domain structs.DomainID) ([]string, error) {
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

// callOwner asks the schedulers of the program's home domain one after another
// and follows the owner that one names. Its methods are idempotent, so a lost
// answer is asked for again.
func (a *app) callOwner(ctx context.Context, id structs.ProgramID, method string, in, out any) error {
	client, err := a.wireClient()
	if err != nil {
		return err
	}
	defer client.Close()
	addresses, err := a.schedulersOf(ctx, id.HomeDomain())
	if err != nil {
		return err
	}
	var last error
	for _, addr := range addresses {
		for range maxOwnerHops {
			last = a.call(ctx, client, addr, method, in, out)
			var refusal *structs.Refusal
			if last == nil {
				return nil
			}
			if !errors.As(last, &refusal) {
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
	return &NoSchedulerError{Cause: last}
}
