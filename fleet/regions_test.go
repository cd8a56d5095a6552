package fleet

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// earlierRequest has the fields of a PlacementRequest that the previous build knows.
type earlierRequest struct {
	Service structs.ServiceID `msgpack:"s"`
	Domain  structs.DomainID  `msgpack:"d"`
}

// Guards against messages that the previous build can't read, or that grow in fleets without
// restrictions.
func TestRestrictionsAreReadableByEarlierBuilds(t *testing.T) {
	size := func(message any) int {
		encoded, err := msgpack.Marshal(message)
		assert.NilError(t, err)
		return len(encoded)
	}
	free := PlacementRequest{Service: "s", Domain: "d"}
	limited := PlacementRequest{Service: "s", Domain: "d", Regions: []string{"eu-west"}, Evacuated: []structs.DomainID{"eu-west-a", "eu-west-b"}}
	encoded, err := msgpack.Marshal(limited)
	assert.NilError(t, err)
	var earlier earlierRequest
	assert.NilError(t, msgpack.Unmarshal(encoded, &earlier))
	assert.DeepEqual(t, earlier, earlierRequest{Service: "s", Domain: "d"})

	var fields map[string]any
	encoded, err = msgpack.Marshal(free)
	assert.NilError(t, err)
	assert.NilError(t, msgpack.Unmarshal(encoded, &fields))
	assert.Assert(t, fields["h"] == nil && fields["v"] == nil)
	encoded, err = msgpack.Marshal(earlierRequest{Service: "s", Domain: "d"})
	assert.NilError(t, err)
	var decoded PlacementRequest
	assert.NilError(t, msgpack.Unmarshal(encoded, &decoded))
	assert.Assert(t, decoded.Regions == nil, "a missing key allows all regions")
	t.Logf("bytes: placement request %d without restrictions, %d with one region and two evacuated domains; digest +%d",
		size(free), size(limited), size(Digest{HonorsRegions: true})-size(Digest{}))
}

// Guards against requests with restrictions at a VM of the previous build, whose digests do
// not say that it applies them.
func TestSupportOfRegionsFollowsDigests(t *testing.T) {
	m := &Mesh{members: map[structs.VMID]*peerState{"a": {Member: Member{VM: "a", Region: "far"}}}}
	region, honorsRegions := m.RegionSupport("a")
	assert.Assert(t, region == "far" && !honorsRegions)
	m.recordRegionSupport("a", true)
	_, honorsRegions = m.RegionSupport("a")
	assert.Assert(t, honorsRegions)
	m.recordRegionSupport("a", false) // replaced by a VM of the previous build
	_, honorsRegions = m.RegionSupport("a")
	assert.Assert(t, !honorsRegions)
	_, honorsRegions = m.RegionSupport("unknown")
	assert.Assert(t, !honorsRegions)
}
