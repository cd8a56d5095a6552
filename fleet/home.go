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

// Home returns the VM that keeps a partition of programs: of the VMs of this region that were
// heard of and reach the store, the one of the highest hash. VMs with different
// views may name different homes, which costs conflicts at the store and no more.
func (m *Mesh) Home(partition string) (structs.VMID, bool) {
	now := time.Now()
	selfWorks := m.opts.StoreWorks()
	m.mu.Lock()
	defer m.mu.Unlock()
	best, bestHash := m.opts.Self.VM, uint64(0)
	if selfWorks {
		bestHash = rendezvous(best, partition)
	}
	for id, peer := range m.members {
		if !peer.mayBeHome(now, m.opts.Self.Region) {
			continue
		}
		if hash := rendezvous(id, partition); hash > bestHash {
			best, bestHash = id, hash
		}
	}
	return best, best == m.opts.Self.VM
}

// Holder returns the VM that holds something which needs no store: of all VMs of
// this region that are known, heard of or not, the one of the highest hash. So
// VMs that have just started name the same holder.
func (m *Mesh) Holder(name string) (structs.VMID, bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	best, bestHash := m.opts.Self.VM, rendezvous(m.opts.Self.VM, name)
	for id, peer := range m.members {
		if peer.Region != m.opts.Self.Region || now.Sub(peer.failed) < homeRest {
			continue
		}
		if hash := rendezvous(id, name); hash > bestHash {
			best, bestHash = id, hash
		}
	}
	return best, best == m.opts.Self.VM
}

func (k *known) mayBeHome(now time.Time, region string) bool {
	return k.storeWorks && k.Region == region && now.Sub(k.heard) < homeHeard && now.Sub(k.failed) > homeRest
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
