package fleet

import "github.com/endivecourse/endivecourse/structs"

// A VM of a build without allowed regions and evacuations ignores their keys. It gets no
// request to which they apply, so that VMs of both builds can run side by side.

// RegionSupport returns a VM's region, and whether the VM applies allowed regions and
// evacuations to requests of peers.
func (m *Mesh) RegionSupport(vm structs.VMID) (region string, honorsRegions bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.members[vm]; peer != nil {
		return peer.Region, peer.honorsRegions
	}
	return "", false
}

func (m *Mesh) recordRegionSupport(vm structs.VMID, honorsRegions bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.members[vm]; peer != nil {
		peer.honorsRegions = honorsRegions
	}
}
