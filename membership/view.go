// Package membership follows the platform's lagging list of VMs.
package membership

import (
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
)

// View is the membership as of one list. It is immutable.
type View struct {
	version uint64
	read    structs.Instant // when the list was asked for
	known   bool
	vms     []backing.VM
	byID    map[structs.VMID]backing.VM
	leaving map[structs.TargetID]bool
	gone    map[structs.VMID]bool
}

// Version counts the views that differ; 0 is the view before any list.
func (v *View) Version() uint64 { return v.version }

// HasList reports whether any list was read.
func (v *View) HasList() bool { return v.known }

// Age returns the time since the list was asked for. It grows through an
// outage of the list.
func (v *View) Age(now structs.Instant) time.Duration { return now.Sub(v.read) }

// VMs returns all listed VMs in the order of their IDs.
func (v *View) VMs() []backing.VM { return append([]backing.VM(nil), v.vms...) }

// VM returns the entry of a listed VM.
func (v *View) VM(id structs.VMID) (backing.VM, bool) {
	vm, ok := v.byID[id]
	return vm, ok
}

// Peers returns the VMs of a domain that run a scheduler, leaving ones
// included.
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

// IsTargetLeaving reports whether a target must get no new work: its VM is
// leaving, or was listed and is gone. A target that was never listed is not
// leaving.
func (v *View) IsTargetLeaving(id structs.TargetID) bool { return v.leaving[id] }

// IsGone reports whether a VM was listed as live once and is absent from
// this view's list. A VM that was never listed as live is not seen gone.
func (v *View) IsGone(id structs.VMID) bool { return v.gone[id] }
