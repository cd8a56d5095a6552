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

// Peer is the VM list's entry of a scheduler VM of this failure domain.
type Peer struct {
	VM        structs.VMID
	Addr      string // wire address
	IsLeaving bool
}

// Sender sends one request to a peer. *wire.Client implements it.
type Sender interface {
	Call(ctx context.Context, addr, method string, in, out any) error
}

// Options configure a Keeper.
type Options struct {
	Domain structs.DomainID
	Self   lease.Member
	Lease  settings.Lease
	// MaxTail limits two sizes, in bytes each: the entries held as a witness for
	// peers, and the entries of this process that are not stored yet.
	MaxTail int64
	// StoreWriteRate is the number of journal writes per second that the platform's
	// store accepts from all daemons together; Daemons is their number. 0 or less
	// takes DefaultStoreWriteRate.
	StoreWriteRate float64
	Daemons        int
	// ExitGrace is the longest time for which a process may still act after its VM
	// has left the VM list; 0 takes 30 s.
	ExitGrace time.Duration
	Table     backing.Table
	Objects   backing.Objects
	Peers     func() []Peer
	// IsVMGone reports whether a VM was in the VM list and is no longer listed.
	IsVMGone func(structs.VMID) bool
	Sender   Sender
	// DefersHandover keeps a group that should move to another scheduler until
	// Release was called for each of its slots; see Excess. Without it, the group
	// is handed over at once.
	DefersHandover bool
	Log            *slog.Logger
}

const (
	// defaultExitGrace depends on how fast the platform ends VMs, not on the lease.
	defaultExitGrace = 30 * time.Second

	minDrainInterval = 200 * time.Millisecond
	writesPerDrain   = 2 // one object and one transaction
	// DefaultStoreWriteRate is half of the several hundred writes per second that
	// the store accepts; the other half is left for everything else.
	DefaultStoreWriteRate = 150.0
	requestTimeout        = 2 * time.Second
)

// DrainInterval returns the shortest interval at which each of several daemons may
// drain its tail so that together they do not exceed the given store writes per second.
func DrainInterval(writes float64, daemons int) time.Duration {
	seconds := writesPerDrain * float64(max(daemons, 1)) / writes
	return max(minDrainInterval, time.Duration(seconds*float64(time.Second)))
}

func (o *Options) leaseConfig() lease.Config {
	duration := o.Lease.Duration.Std()
	grace := o.ExitGrace
	if grace == 0 {
		grace = defaultExitGrace
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
