package daemon

import (
	"log/slog"
	"slices"
	"time"

	_ "github.com/endivecourse/endivecourse/backing/httpbacking" // registers platform.http
	"github.com/endivecourse/endivecourse/config/configwatch"
	"github.com/endivecourse/endivecourse/gateway"
	"github.com/endivecourse/endivecourse/gateway/forward"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/quota/borrower"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Gatewayd is the role of the daemon that terminates callers' connections and forwards
// their requests to schedulers.
var Gatewayd = Role{
	Name:  "gatewayd",
	Short: "Terminates callers and forwards their requests to the schedulers that own them",
	Check: func(loaded settings.Daemon) error { return loaded.CheckGateway() },
	Build: BuildGatewayd,
}

// BuildGatewayd creates the components of gatewayd.
func BuildGatewayd(loaded settings.Daemon, log *slog.Logger) ([]kernel.Component, error) {
	b, err := newBase(loaded)
	if err != nil {
		return nil, err
	}
	forwarder := forward.New(forward.Options{
		Sender:    forward.WireSender{Client: b.client},
		Addresses: b.schedulerAddresses,
		Slots:     loaded.Lease.Slots,
	})
	quota := borrower.New(borrower.Options{
		Self:           b.incarnation,
		Domain:         loaded.Domain,
		Domains:        b.domains(),
		Slots:          loaded.Lease.Slots,
		Snapshot:       b.accountLimits(),
		Terms:          b.quotaTerms(),
		Client:         b.client,
		OwnerAddr:      forwarder.Owner,
		SchedulerAddrs: b.schedulerAddresses,
		Log:            log,
	})
	callers := gateway.New(gateway.Options{
		Domain:    loaded.Domain,
		Domains:   b.domains,
		Configs:   gateway.NewConfigs(b.holder),
		Forwarder: forwarder,
		Admitter:  quota,
		Limits:    loaded.Limits,
		ConfigAge: func() time.Duration { return b.holder.Age(structs.Now()) },
		MaxStale:  loaded.Config.MaxStale.Std(),
		Listen:    loaded.Listen.Callers,
		TLS:       loaded.CallersTLS,
		Log:       log,
	})
	watch := configwatch.NewGateway(configwatch.GatewayOptions{
		VM:     loaded.VM,
		Holder: b.holder,
		Wire:   b.client,
		Schedulers: func() []string {
			return slices.Concat(b.rotateByVM(b.ownSchedulerAddresses()), b.otherSchedulerAddresses())
		},
	})
	return []kernel.Component{&wireClient{client: b.client}, b.admin, b.members, watch, quota, callers}, nil
}
