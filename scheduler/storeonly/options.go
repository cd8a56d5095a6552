package storeonly

import (
	"log/slog"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Options configures a Store. All fields but Log are required.
type Options struct {
	Settings    settings.Daemon
	Incarnation structs.Incarnation
	// Addr is the wire address at which other processes reach this one. If empty, it is
	// the listen address.
	Addr    string
	Table   backing.Table
	Objects backing.Objects
	Log     *slog.Logger
}

func (o Options) addr() string {
	if o.Addr != "" {
		return o.Addr
	}
	return o.Settings.Listen.Wire
}

// leaseValidity is how long an owner may act after it sent its last renewal: the lease
// less the largest clock drift.
func (o Options) leaseValidity() time.Duration {
	lease := o.Settings.Lease
	return time.Duration(float64(lease.Duration) * (1 - lease.ClockDrift))
}

// failureTimeout is how long a member's heartbeat must be unchanged before the member
// counts as dead: the lease plus the largest clock drift.
func (o Options) failureTimeout() time.Duration {
	lease := o.Settings.Lease
	return time.Duration(float64(lease.Duration) * (1 + lease.ClockDrift))
}
