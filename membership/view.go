// Package membership polls the platform's list of VMs, which may lag behind the
// real state.
package membership

import (
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
)

// View is the membership according to one list. It is immutable.
type View struct {
	version     uint64
	requestedAt structs.Instant // when the list was requested
	hasList     bool
	vms         []backing.VM
	byID        map[structs.VMID]backing.VM
	leaving     map[structs.TargetID]bool
	gone        map[structs.VMID]bool
}

// Version increases with each view that differs from the previous one. It is 0
// for the view before the first list.
func (v *View) Version() uint64 { return v.version }

// HasList reports whether any list has been read.
func (v *View) HasList() bool { return v.hasList }

// Age returns the time since the list was requested. It grows while the list
// is unavailable.
func (v *View) Age(now structs.Instant) time.Duration { return now.Sub(v.requestedAt) }

// VMs returns all listed VMs in the order of their IDs.
func (v *View) VMs() []backing.VM { return append([]backing.VM(nil), v.vms...) }

// VM returns the entry of a VM, or false if it is not listed.
func (v *View) VM(id structs.VMID) (backing.VM, bool) {
	vm, ok := v.byID[id]
	return vm, ok
}

// Peers returns the VMs of a failure domain that run a scheduler, including
// leaving ones.
func (v *View) Peers(domain structs.DomainID) []backing.VM {
	var peers []backing.VM
	for _, vm := range v.vms {
		if vm.Domain == domain && vm.Scheduler != "" {
			peers = append(peers, vm)
		}
	}
	return peers
}

// IsLeaving reports whether a VM is listed as leaving.
func (v *View) IsLeaving(id structs.VMID) bool { return v.byID[id].State == backing.VMLeaving }

// IsTargetLeaving reports whether a target must get no new work: it was listed,
// and no listed VM of the target is live. A target that was never listed is not
// leaving.
func (v *View) IsTargetLeaving(id structs.TargetID) bool { return v.leaving[id] }

// IsGone reports whether a VM was once listed as live and is absent from this
// view's list. A VM that was never listed as live is not gone.
func (v *View) IsGone(id structs.VMID) bool { return v.gone[id] }
