package membership

import (
	"slices"
	"strings"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
)

// maxGone is the maximum number of VMs that are remembered after they left the
// list.
const maxGone = 65536

// Tracker derives views from the lists that were read. It uses no clock and no
// I/O.
type Tracker struct {
	view      *View
	everLive  map[structs.VMID]bool             // listed as live at least once
	targetsOf map[structs.VMID]structs.TargetID // of every remembered VM
	gone      []structs.VMID                    // listed once, now absent; oldest first
}

// NewTracker returns a Tracker without a list.
func NewTracker() *Tracker {
	return &Tracker{
		view:      &View{},
		everLive:  make(map[structs.VMID]bool),
		targetsOf: make(map[structs.VMID]structs.TargetID),
	}
}

// View returns the latest view.
func (t *Tracker) View() *View { return t.view }

// Apply makes list, which was requested at the given instant, the latest view
// and reports whether it differs from the previous view. A list that was
// requested before the latest one is ignored.
func (t *Tracker) Apply(requested structs.Instant, list []backing.VM) (changed bool) {
	if t.view.hasList && requested.Before(t.view.requestedAt) {
		return false
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b backing.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	next := &View{version: t.view.version, requestedAt: requested, hasList: true, vms: list, byID: make(map[structs.VMID]backing.VM)}
	for _, vm := range list {
		next.byID[vm.ID] = vm
	}
	t.recordGone(next)
	t.recordListed(list)
	next.gone = t.goneVMs()
	next.leaving = t.leavingTargets(next)
	changed = !t.view.hasList || !slices.Equal(t.view.vms, list)
	if changed {
		next.version++
	}
	t.view = next
	return changed
}

func (t *Tracker) recordListed(list []backing.VM) {
	for _, vm := range list {
		if vm.State == backing.VMLive {
			t.everLive[vm.ID] = true
		}
		if vm.Target != "" {
			t.targetsOf[vm.ID] = vm.Target
		}
	}
}

// recordGone adds the VMs of the previous view that are no longer listed to
// gone, and removes those that are listed again.
func (t *Tracker) recordGone(next *View) {
	t.gone = slices.DeleteFunc(t.gone, func(id structs.VMID) bool {
		_, listed := next.byID[id]
		return listed
	})
	for _, vm := range t.view.vms {
		if _, listed := next.byID[vm.ID]; !listed {
			t.gone = append(t.gone, vm.ID)
		}
	}
	for len(t.gone) > maxGone {
		delete(t.everLive, t.gone[0])
		delete(t.targetsOf, t.gone[0])
		t.gone = t.gone[1:]
	}
}

func (t *Tracker) goneVMs() map[structs.VMID]bool {
	gone := make(map[structs.VMID]bool, len(t.gone))
	for _, id := range t.gone {
		if t.everLive[id] {
			gone[id] = true
		}
	}
	return gone
}

// leavingTargets returns the targets that had a listed VM at least once and have
// no live VM in the list of next.
func (t *Tracker) leavingTargets(next *View) map[structs.TargetID]bool {
	leaving := make(map[structs.TargetID]bool)
	for _, id := range t.targetsOf {
		leaving[id] = true
	}
	for _, vm := range next.vms {
		if vm.State == backing.VMLive {
			delete(leaving, vm.Target)
		}
	}
	return leaving
}
