package keeper

import (
	"context"
	"log/slog"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Peer is a scheduler VM of this failure domain as the VM list shows it.
type Peer struct {
	VM        structs.VMID
	Addr      string // wire address
	IsLeaving bool
}

// Sender sends one request to a peer. *wire.Client implements it.
type Sender interface {
	Call(ctx context.Context, addr, method string, in, out any) error
}

// Options are what a Keeper works with.
type Options struct {
	Domain structs.DomainID
	Self   lease.Member
	Lease  settings.Lease
	// MaxTail bounds the entries kept for others, and the unstored ones of
	// this process, in bytes each.
	MaxTail int64
	// StoreWriteRate is how many writes a second the platform's store takes from
	// all daemons for journals; Daemons is how many share it.
	StoreWriteRate float64
	Daemons        int
	// GoneGrace bounds how long a process may act after the VM list has
	// dropped its VM; 0 takes 30 s.
	GoneGrace time.Duration
	Table     backing.Table
	Objects   backing.Objects
	Peers     func() []Peer
	// IsVMGone reports that a VM was in the VM list and is not any more.
	IsVMGone func(structs.VMID) bool
	Sender   Sender
	// DefersHandover leaves the groups that another scheduler should have with this
	// one until each of their slots was given to Release; see Excess.
	DefersHandover bool
	Log            *slog.Logger
}

const (
	// defaultGoneGrace depends on how the platform ends VMs, not on the lease.
	defaultGoneGrace = 30 * time.Second

	minDrain       = 200 * time.Millisecond
	writesPerDrain = 2 // one object and one transaction
	// DefaultStoreWriteRate leaves half of several hundred writes a second to
	// everything else.
	DefaultStoreWriteRate = 150.0
	requestTimeout        = 2 * time.Second
)

// DrainInterval returns how often each of a number of daemons may drain its
// tail without exceeding a number of store writes a second.
func DrainInterval(writes float64, daemons int) time.Duration {
	seconds := writesPerDrain * float64(max(daemons, 1)) / writes
	return max(minDrain, time.Duration(seconds*float64(time.Second)))
}

func (o *Options) leaseConfig() lease.Config {
	duration := o.Lease.Duration.Std()
	grace := o.GoneGrace
	if grace == 0 {
		grace = defaultGoneGrace
	}
	return lease.Config{
		Groups:         lease.GroupCount(o.Lease.Slots),
		Duration:       duration,
		RenewInterval:  o.Lease.Renew.Std(),
		ClockDrift:     o.Lease.ClockDrift,
		SuspectTimeout: duration - o.Lease.Renew.Std()/2,
		ExitGrace:      grace,
	}
}
