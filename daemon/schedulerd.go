package daemon

import (
	"log/slog"
	"slices"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/config/configwatch"
	_ "github.com/endivecourse/endivecourse/drivers/target/engine" // registers target.engine
	_ "github.com/endivecourse/endivecourse/drivers/target/plain"  // registers target.plain
	"github.com/endivecourse/endivecourse/kernel"
	_ "github.com/endivecourse/endivecourse/queue/fair" // registers queue.fair
	_ "github.com/endivecourse/endivecourse/queue/fifo" // registers queue.fifo
	_ "github.com/endivecourse/endivecourse/queue/las"  // registers queue.las
	"github.com/endivecourse/endivecourse/quota/holder"
	_ "github.com/endivecourse/endivecourse/route/leastloaded" // registers route.leastloaded
	_ "github.com/endivecourse/endivecourse/route/prefix"      // registers route.prefix
	"github.com/endivecourse/endivecourse/scheduler"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Schedulerd is the role of the daemon that owns programs and sends their calls to targets.
var Schedulerd = Role{
	Name:  "schedulerd",
	Short: "Owns programs and sends their calls to targets",
	Check: func(loaded settings.Daemon) error { return loaded.CheckScheduler() },
	Build: BuildSchedulerd,
}

// BuildSchedulerd creates the components of schedulerd.
func BuildSchedulerd(loaded settings.Daemon, log *slog.Logger) ([]kernel.Component, error) {
	b, err := newBase(loaded)
	if err != nil {
		return nil, err
	}
	server := wire.NewServer(b.wireOptions)
	watch := configwatch.NewScheduler(configwatch.SchedulerOptions{
		Self:         loaded.Listen.AdvertisedAddr(),
		VM:           loaded.VM,
		Domain:       loaded.Domain,
		Holder:       b.holder,
		Table:        b.services.Table,
		Wire:         b.client,
		Peers:        b.ownSchedulerAddresses,
		OtherDomains: b.otherSchedulerAddresses,
		Poll:         loaded.Config.Poll.Std(),
	})
	owner, err := b.newKeeper(log)
	if err != nil {
		return nil, err
	}
	quota := holder.New(holder.Options{
		DomainIndex: slices.Index(b.domains(), loaded.Domain),
		Domains:     len(b.domains()),
		Slots:       loaded.Lease.Slots,
		Terms:       b.quotaTerms(),
		Snapshot:    b.accountLimits(),
		Ownership:   owner,
		Log:         log,
	})
	core := scheduler.New(scheduler.Options{
		Settings:  loaded,
		Ownership: owner,
		Journal:   owner,
		Config:    b.snapshot,
		Wire:      b.client,
		Peers:     func() []string { return slices.Concat(b.ownSchedulerAddresses(), b.otherSchedulerAddresses()) },
		IsLeaving: func(id structs.TargetID) bool { return b.members.View().IsTargetLeaving(id) },
		Table:     b.services.Table,
	})
	watch.RegisterHandlers(server)
	owner.RegisterHandlers(server)
	quota.RegisterHandlers(server)
	core.RegisterHandlers(server)
	return []kernel.Component{
		&wireClient{client: b.client}, b.admin, b.members, watch, owner, quota, core,
		&wireServer{server: server, address: loaded.Listen.Wire},
	}, nil
}

// The snapshot lists all services: a scheduler that takes over a slot has to follow the
// targets of all of them from the start, since engines may hold memory for programs whose
// calls this scheduler never sent.
var _ scheduler.ServiceLister = (*config.Snapshot)(nil)

// snapshot returns the configuration in force, or nil.
func (b *base) snapshot() scheduler.Snapshot {
	if current := b.holder.Current(); current != nil {
		return current
	}
	return nil
}
