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
	// Addr is the wire address that other processes reach this one at; empty
	// takes the listen address.
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

// ownFor is how long an owner may act after it sent its last renewal.
func (o Options) ownFor() time.Duration {
	lease := o.Settings.Lease
	return time.Duration(float64(lease.Duration) * (1 - lease.ClockDrift))
}

// waitFor is how long a member must be unchanged before it counts as dead.
func (o Options) waitFor() time.Duration {
	lease := o.Settings.Lease
	return time.Duration(float64(lease.Duration) * (1 + lease.ClockDrift))
}
