package scheduler

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Snapshot is one version of the operators' configuration document.
type Snapshot interface {
	Version() uint64
	Account(id structs.AccountID) (config.Account, bool)
	Program(kind string) (config.Program, bool)
	Service(id structs.ServiceID) (config.Service, bool)
	MayRun(account structs.AccountID, kind string) bool
	MayCall(kind string, service structs.ServiceID) bool
}

// ServiceLister is an optional interface of a Snapshot. With it, the scheduler follows
// the targets of all services from the start; without it, it follows those of a service
// from the first call to it.
type ServiceLister interface {
	ServiceIDs() []structs.ServiceID
}

// Releaser is an optional interface of a journal.Ownership that can hand over slots
// before their lease expires.
type Releaser interface {
	// StopAcquiring stops the acquisition of further slots.
	StopAcquiring()
	// Release gives up a slot that this process no longer uses.
	Release(ctx context.Context, slot structs.Slot) error
	// Excess returns the owned slots that another process should own.
	Excess() []structs.Slot
}

// Options configures a Scheduler. Settings, Ownership, Journal and Config are
// required.
type Options struct {
	Settings  settings.Daemon
	Ownership journal.Ownership
	Journal   journal.Journal
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() Snapshot
	// Table is used to exchange crash reports with the other schedulers; nil keeps them
	// in this process.
	Table backing.Table
	// Wire and Peers (the wire addresses of all schedulers) are used to send crash
	// reports to the other schedulers at once; if one is nil, they get them only from
	// Table.
	Wire  Sender
	Peers func() []string
	// IsLeaving reports whether a target accepts no new calls, IsGone whether it has
	// left and its memory is lost. If nil, no target is leaving or gone.
	IsLeaving, IsGone func(structs.TargetID) bool
	// NewDriver creates the driver of a target; nil uses the registered drivers.
	NewDriver func(target.Spec) (target.Driver, error)
	// PollInterval is the time between two load reports of a target, TickInterval the
	// time between two ticks of the loop, which check timeouts, targets and excess
	// slots.
	PollInterval, TickInterval time.Duration
}

const (
	defaultPollInterval = time.Second
	defaultTickInterval = 50 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.NewDriver == nil {
		o.NewDriver = registeredDriver
	}
	never := func(structs.TargetID) bool { return false }
	if o.IsLeaving == nil {
		o.IsLeaving = never
	}
	if o.IsGone == nil {
		o.IsGone = never
	}
	return o
}

func registeredDriver(spec target.Spec) (target.Driver, error) {
	factory, err := kernel.Lookup[target.Factory](kernel.ModuleID("target." + spec.Protocol))
	if err != nil {
		return nil, err
	}
	return factory(spec)
}
