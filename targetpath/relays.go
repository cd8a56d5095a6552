package targetpath

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// reportTTL is how long a VM's report that it reaches targets is valid.
	reportTTL = 2500 * time.Millisecond
	// relayBackoff is how long a VM is not used after it failed a forwarded request.
	relayBackoff = time.Second
	// fullRelay is the number of this VM's forwarded requests at another VM of the region
	// from which VMs of other regions are used too, despite the longer way.
	fullRelay = 32
)

// Relays picks the VMs through which requests are forwarded, so that the requests of a
// failure domain that has lost its paths spread evenly over the VMs that have not.
type Relays struct {
	relays map[structs.VMID]*relay
	picks  uint64
}

type relay struct {
	inSameRegion bool
	reportedAt   structs.Instant // last report that it reaches targets, 0 if the last one denied it
	failedAt     structs.Instant // 0 for never
	running      int             // this VM's requests that it forwards
	pickedAt     uint64          // number of its last pick
}

// Report records whether a VM reaches targets.
func (r *Relays) Report(now structs.Instant, vm structs.VMID, inSameRegion, reachesTargets bool) {
	if r.relays == nil {
		r.relays = make(map[structs.VMID]*relay)
	}
	v := r.relays[vm]
	if v == nil {
		v = &relay{}
		r.relays[vm] = v
	}
	v.inSameRegion = inSameRegion
	v.reportedAt = 0
	if reachesTargets {
		v.reportedAt = now
	}
}

// Forget drops a VM.
func (r *Relays) Forget(vm structs.VMID) { delete(r.relays, vm) }

// Pick returns the VM for one request: of those of this region that reach targets, the one
// with the fewest requests of this VM. It reports false if no VM can be used.
func (r *Relays) Pick(now structs.Instant, exclude []structs.VMID) (structs.VMID, bool) {
	return r.PickWhere(now, func(vm structs.VMID) bool { return !slices.Contains(exclude, vm) })
}

// PickWhere is like Pick, among the VMs for which isEligible reports true.
func (r *Relays) PickWhere(now structs.Instant, isEligible func(structs.VMID) bool) (structs.VMID, bool) {
	var best structs.VMID
	var bestRelay *relay
	for vm, v := range r.relays {
		if !v.isUsable(now) || !isEligible(vm) {
			continue
		}
		if bestRelay == nil || cmp.Or(cmp.Compare(v.cost(), bestRelay.cost()), cmp.Compare(v.pickedAt, bestRelay.pickedAt), cmp.Compare(vm, best)) < 0 {
			best, bestRelay = vm, v
		}
	}
	if bestRelay == nil {
		return "", false
	}
	r.picks++
	bestRelay.pickedAt = r.picks
	bestRelay.running++
	return best, true
}

// End records the end of a request that was forwarded through a picked VM.
func (r *Relays) End(now structs.Instant, vm structs.VMID, hasFailed bool) {
	v := r.relays[vm]
	if v == nil {
		return
	}
	v.running = max(v.running-1, 0)
	if hasFailed {
		v.failedAt = now
	}
}

func (v *relay) isUsable(now structs.Instant) bool {
	isFresh := v.reportedAt != 0 && now.Sub(v.reportedAt) <= reportTTL
	return isFresh && (v.failedAt == 0 || now.Sub(v.failedAt) > relayBackoff)
}

// cost ranks the usable VMs; the lowest is picked.
func (v *relay) cost() int {
	if v.inSameRegion {
		return v.running
	}
	return v.running + fullRelay
}
