package fleet

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// homeHeard is how long ago a VM may have been heard of to be a home:
	// several rounds of digests.
	homeHeard = 2500 * time.Millisecond
	// homeRest is how long a VM that failed a call is no home.
	homeRest = 2 * time.Second
)

// Home returns the VM that keeps a partition of programs: of the VMs of this
// region that were heard of and reach the store, the one of the highest hash. VMs
// with different views may name different homes, which costs conflicts at the
// store and no more.
func (m *Mesh) Home(partition string) (structs.VMID, bool) {
	now := time.Now()
	return m.pick(partition, m.opts.IsStoreReachable(), func(peer *known) bool {
		return peer.storeWorks && peer.isHeard(now)
	})
}

// Placer returns the VM that places a service's requests: of the VMs of this
// region that were heard of, the one of the highest hash.
func (m *Mesh) Placer(service structs.ServiceID) (structs.VMID, bool) {
	now := time.Now()
	return m.pick("service/"+string(service), true, func(peer *known) bool { return peer.isHeard(now) })
}

// Holder returns the VM that holds something which needs no store: of all VMs of
// this region that are known, heard of or not, the one of the highest hash. So
// VMs that have just started name the same holder.
func (m *Mesh) Holder(name string) (structs.VMID, bool) {
	now := time.Now()
	return m.pick(name, true, func(peer *known) bool { return now.Sub(peer.failed) >= homeRest })
}

// pick returns the VM of the highest hash of this region's eligible peers and
// this VM, which has the lowest if it is not eligible itself.
func (m *Mesh) pick(name string, self bool, eligible func(peer *known) bool) (structs.VMID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best, bestHash := m.opts.Self.VM, uint64(0)
	if self {
		bestHash = rendezvous(best, name)
	}
	for id, peer := range m.members {
		if peer.Region != m.opts.Self.Region || !eligible(peer) {
			continue
		}
		if hash := rendezvous(id, name); hash > bestHash {
			best, bestHash = id, hash
		}
	}
	return best, best == m.opts.Self.VM
}

// isHeard reports whether a VM was heard of lately and has not just failed a call.
func (k *known) isHeard(now time.Time) bool {
	return now.Sub(k.heard) < homeHeard && now.Sub(k.failed) > homeRest
}

func rendezvous(vm structs.VMID, name string) uint64 {
	digest := xxhash.New()
	digest.WriteString(string(vm))
	digest.Write([]byte{0})
	digest.WriteString(name)
	return digest.Sum64()
}

// CallHome calls a VM as a home. After a failure it is no home for a while.
func (m *Mesh) CallHome(ctx context.Context, vm structs.VMID, method string, in, out any) error {
	err := m.callVM(ctx, vm, method, in, out)
	if err == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.members[vm]; peer != nil {
		peer.failed = time.Now()
	}
	return err
}

// noteStore takes a VM's word on its path to the store.
func (m *Mesh) noteStore(vm structs.VMID, works bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.members[vm]; peer != nil {
		peer.storeWorks = works
	}
}
