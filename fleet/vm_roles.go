package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	// maxSilence is the time since a VM was last seen up to which it is used as a
	// home VM or placer: several rounds of digests.
	maxSilence = 2500 * time.Millisecond
	// failureBackoff is how long a VM that failed a call is not used as a home VM.
	failureBackoff = 2 * time.Second
)

// Home returns the home VM of a partition of programs: of the available VMs of this
// region that reach the store, the one with the highest hash. VMs with different
// views may choose different home VMs, which causes conflicts at the store but is
// otherwise safe.
func (m *Mesh) Home(partition string) (structs.VMID, bool) {
	now := time.Now()
	return m.pickByHash(m.opts.Self.Region, partition, m.opts.IsStoreReachable(), func(peer *peerState) bool {
		return peer.isStoreReachable && peer.isAvailable(now)
	})
}

// OutageHome returns the home VM of a partition in a region while no VM reaches the store: in this
// region the same one as before, if it is still available. It is empty if no VM of the region is
// available.
func (m *Mesh) OutageHome(region, partition string) (structs.VMID, bool) {
	now := time.Now()
	return m.pickByHash(region, partition, true, func(peer *peerState) bool { return peer.GrantsByRegion && peer.isAvailable(now) })
}

// Holders returns the VMs of this region that may have a role, whether or not they are
// available, other than this VM. isSelf is whether this VM is one of them. areAble is false
// if one of them can't hold grants. A lost VM stays a holder until it is forgotten, so that
// majorities formed before and after the loss share a VM.
func (m *Mesh) Holders() (vms []structs.VMID, isSelf, areAble bool) {
	vms, areAble = m.HoldersOf(m.opts.Self.Region)
	m.mu.Lock()
	defer m.mu.Unlock()
	return vms, m.currentGroups().mayHaveRole(m.opts.Self.VM), areAble
}

// HoldersOf returns the VMs of a region, other than this VM, that may have a role, whether or not
// they are available. areAble is false if one of them can't hold grants.
func (m *Mesh) HoldersOf(region string) (vms []structs.VMID, areAble bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := m.currentGroups()
	areAble = true
	for id, peer := range m.members {
		if peer.Region == region && groups.mayHaveRole(id) {
			vms = append(vms, id)
			areAble = areAble && peer.GrantsByRegion
		}
	}
	slices.Sort(vms)
	return vms, areAble
}

// CallHolder calls a VM without an effect on its roles.
func (m *Mesh) CallHolder(ctx context.Context, vm structs.VMID, method string, in, out any) error {
	return m.callVM(ctx, vm, method, in, out)
}

// Placer returns the placement coordinator (the placer) of a service: of the
// available VMs of this region, the one with the highest hash.
func (m *Mesh) Placer(service structs.ServiceID) (structs.VMID, bool) {
	now := time.Now()
	return m.pickByHash(m.opts.Self.Region, "service/"+string(service), true, func(peer *peerState) bool { return peer.isAvailable(now) })
}

// pickByHash returns the VM with the highest hash among a region's eligible peers and, if it is
// this VM's region, this VM. In a fleet with coordinators, only they are eligible. This VM is chosen
// without being eligible only if there is no eligible peer in its region.
func (m *Mesh) pickByHash(region, name string, selfEligible bool, isEligible func(peer *peerState) bool) (structs.VMID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best, bestHash := structs.VMID(""), uint64(0)
	if region == m.opts.Self.Region {
		best = m.opts.Self.VM
		if selfEligible && m.currentGroups().mayHaveRole(best) {
			bestHash = rendezvousHash(best, name)
		}
	}
	for id, peer := range m.members {
		if peer.Region != region || !m.currentGroups().mayHaveRole(id) || !isEligible(peer) {
			continue
		}
		if hash := rendezvousHash(id, name); hash > bestHash {
			best, bestHash = id, hash
		}
	}
	return best, best == m.opts.Self.VM
}

// isAvailable reports whether a VM was seen recently and has not just failed a call.
func (p *peerState) isAvailable(now time.Time) bool {
	return now.Sub(p.lastSeen) < maxSilence && now.Sub(p.lastFailure) > failureBackoff
}

func rendezvousHash(vm structs.VMID, name string) uint64 {
	hasher := xxhash.New()
	hasher.WriteString(string(vm))
	hasher.Write([]byte{0})
	hasher.WriteString(name)
	return hasher.Sum64()
}

// CallHome calls a home VM, quota holder or placer. If the call fails, the VM is
// not chosen again until failureBackoff has passed. The end of ctx counts only if it is that
// of wire.WithReplyTimeout: a request that is over, or has little time, says nothing about
// the VM.
func (m *Mesh) CallHome(ctx context.Context, vm structs.VMID, method string, in, out any) error {
	err := m.callVM(ctx, vm, method, in, out)
	if err == nil || ctx.Err() != nil && !wire.IsReplyTimeout(ctx) {
		return err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	peer := m.members[vm]
	if peer == nil {
		return err
	}
	if now.Sub(peer.lastFailure) > failureBackoff {
		m.opts.Log.Warn("VM is given no role for a while, since a call failed", "peer", string(vm), "call", method, "cause", err.Error())
	}
	peer.lastFailure = now
	return err
}

// recordStoreReachable records whether a VM reaches the store directly.
func (m *Mesh) recordStoreReachable(vm structs.VMID, isReachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.members[vm]; peer != nil {
		peer.isStoreReachable = isReachable
	}
}

// PlacerReach returns how many of the VMs that may be placers of this region are available
// to this VM, and from how many regions it has heard recently.
func (m *Mesh) PlacerReach() targetrate.Reach {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := m.currentGroups()
	reach := targetrate.Reach{VMs: len(m.members) + 1}
	if groups.mayHaveRole(m.opts.Self.VM) {
		reach.Placers, reach.KnownPlacers, reach.MayPlace = 1, 1, true
	}
	isHeard := map[string]bool{m.opts.Self.Region: true} // by region
	for id, peer := range m.members {
		if !groups.mayHaveRole(id) {
			continue
		}
		isRecent := now.Sub(peer.lastSeen) < maxSilence
		isHeard[peer.Region] = isHeard[peer.Region] || isRecent
		if peer.Region != m.opts.Self.Region {
			continue
		}
		reach.KnownPlacers++
		if peer.isAvailable(now) {
			reach.Placers++
		}
	}
	reach.KnownRegions = len(isHeard)
	for _, heard := range isHeard {
		if heard {
			reach.Regions++
		}
	}
	return reach
}
