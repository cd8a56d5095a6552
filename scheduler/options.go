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

// Snapshot is one version of the operators' document.
type Snapshot interface {
	Version() uint64
	Account(id structs.AccountID) (config.Account, bool)
	Program(kind string) (config.Program, bool)
	Service(id structs.ServiceID) (config.Service, bool)
	MayRun(account structs.AccountID, kind string) bool
	MayCall(kind string, service structs.ServiceID) bool
}

// ServiceLister is an optional part of a Snapshot. With it, the targets of all
// services are followed from the start; without it, those of a service are
// followed from its first call on.
type ServiceLister interface {
	ServiceIDs() []structs.ServiceID
}

// Releaser is an optional part of a journal.Ownership that can hand slots
// over without waiting for the lease to end.
type Releaser interface {
	// StopAcquiring takes no further slots.
	StopAcquiring()
	// Release gives up a slot that is no longer used.
	Release(ctx context.Context, slot structs.Slot) error
	// Excess lists owned slots that another process should have.
	Excess() []structs.Slot
}

// Options configures a Scheduler. Settings, Ownership, Journal and Config are
// required.
type Options struct {
	Settings  settings.Daemon
	Ownership journal.Ownership
	Journal   journal.Journal
	// Config returns the version in force, or nil while there is none.
	Config func() Snapshot
	// Table exchanges crash reports with the other schedulers; nil keeps them
	// to this process.
	Table backing.Table
	// Wire and Peers, the wire addresses of all schedulers, tell the others of
	// a crash at once; nil leaves it to the table.
	Wire  Sender
	Peers func() []string
	// IsLeaving reports a target that takes nothing new; IsGone one that has left
	// with its memory. Nil means none.
	IsLeaving, IsGone func(structs.TargetID) bool
	// NewDriver makes target drivers; nil uses the registered ones.
	NewDriver func(target.Spec) (target.Driver, error)
	// PollInterval is the time between load reports, TickInterval that
	// between looks at limits.
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
