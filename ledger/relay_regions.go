package ledger

import (
	"slices"

	"github.com/endivecourse/endivecourse/routing"
)

// relayRegions returns the regions through whose VMs the rows of all changes may be relayed,
// nil for all.
func relayRegions(changes []*change) []string {
	var regions []string
	for _, c := range changes {
		regions = routing.IntersectRegions(regions, c.relayRegions)
	}
	return regions
}

// batchRelayRegions returns the regions through whose VMs a batch may be relayed.
func batchRelayRegions(batch []*batchItem) []string {
	var regions []string
	for _, item := range batch {
		regions = routing.IntersectRegions(regions, relayRegions(item.changes))
	}
	return regions
}

// hasSameRelayRegions reports whether two programs' changes may share a transaction: a
// program that may not be relayed must not hold up others that may.
func hasSameRelayRegions(a, b []*change) bool {
	first, second := relayRegions(a), relayRegions(b)
	return (first == nil) == (second == nil) && slices.Equal(first, second)
}
