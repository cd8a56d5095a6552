package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against transactions that are relayed through a region which one of their programs
// does not allow.
func TestBatchIsRelayedOnlyWhereAllItsProgramsAllow(t *testing.T) {
	item := func(regions ...[]string) *batchItem {
		var changes []*change
		for _, list := range regions {
			changes = append(changes, &change{relayRegions: list})
		}
		return &batchItem{changes: changes}
	}
	assert.Assert(t, batchRelayRegions([]*batchItem{item(nil), item(nil, nil)}) == nil)
	assert.DeepEqual(t, batchRelayRegions([]*batchItem{item([]string{"a", "b"}), item(nil, []string{"b"})}), []string{"b"})
	none := batchRelayRegions([]*batchItem{item([]string{"a"}), item([]string{"b"})})
	assert.Assert(t, none != nil && len(none) == 0, "no region is not the same as all")
	assert.Assert(t, !hasSameRelayRegions(item([]string{"a"}).changes, item(nil).changes))
	assert.Assert(t, hasSameRelayRegions(item([]string{"a"}).changes, item([]string{"a"}, nil).changes))
}
