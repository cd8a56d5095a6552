package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// Guards against a VM that has lost its peers and takes itself for all placers.
func TestPlacerReachCountsWhoWasHeardRecently(t *testing.T) {
	members := newTestFleet(76)
	m := &Mesh{opts: Options{Self: members[0]}, members: make(map[structs.VMID]*peerState)}
	for _, member := range members[1:] {
		m.members[member.VM] = &peerState{Member: member, lastSeen: time.Now()}
	}
	mayPlace := m.currentGroups().mayHaveRole(members[0].VM)
	whole := m.PlacerReach()
	assert.DeepEqual(t, whole, targetrate.Reach{Placers: coordinatorsPerRegion, KnownPlacers: coordinatorsPerRegion, Regions: 2, KnownRegions: 2, VMs: 76, MayPlace: mayPlace})
	for _, peer := range m.members {
		if peer.Region != members[0].Region {
			peer.lastSeen = time.Now().Add(-maxSilence)
		}
	}
	assert.Equal(t, m.PlacerReach().Regions, 1)
	for _, peer := range m.members {
		peer.lastSeen = time.Now().Add(-maxSilence)
	}
	own := 0
	if mayPlace {
		own = 1
	}
	assert.DeepEqual(t, m.PlacerReach(), targetrate.Reach{Placers: own, KnownPlacers: coordinatorsPerRegion, Regions: 1, KnownRegions: 2, VMs: 76, MayPlace: mayPlace})
}
