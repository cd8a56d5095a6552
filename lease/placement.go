package lease

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// rank returns how many live schedulers come before this one to take a group. The
// witnesses of its row come first, because they notice when its owner stops renewing.
func (n *Node) rank(g *group) int {
	loads := n.groupCounts()
	witnesses := g.row.AllWitnesses()
	isWitness := contains(witnesses, n.self.Incarnation)
	rank := 0
	for _, p := range n.peers {
		if p.Incarnation == n.self.Incarnation || p.Incarnation == g.row.Owner.Incarnation {
			continue
		}
		if isPeerWitness := contains(witnesses, p.Incarnation); isPeerWitness != isWitness {
			if isPeerWitness {
				rank++
			}
			continue
		}
		if isPreferred(loads, g.id, p.Incarnation, n.self.Incarnation) {
			rank++
		}
	}
	return rank
}

// isPreferred orders processes by load, then by a hash that depends on the group.
func isPreferred(loads map[structs.Incarnation]int, g Group, a, b structs.Incarnation) bool {
	return cmp.Or(cmp.Compare(loads[a], loads[b]), cmp.Compare(memberHash(g, a), memberHash(g, b)), cmp.Compare(a, b)) < 0
}

func memberHash(g Group, inc structs.Incarnation) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%s", g, inc))
}

// chooseWitnesses returns the witness set that this process wants as the owner, and
// keeps the current witnesses that are live. It is nil while this process may not own
// groups.
func (n *Node) chooseWitnesses(g Group, current []Member) []Member {
	if !contains(n.peers, n.self.Incarnation) {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(n.peers), func(m Member) bool { return m.Incarnation == n.self.Incarnation })
	slices.SortFunc(others, func(a, b Member) int {
		if isCurrentA, isCurrentB := contains(current, a.Incarnation), contains(current, b.Incarnation); isCurrentA != isCurrentB {
			if isCurrentA {
				return -1
			}
			return 1
		}
		return cmp.Compare(memberHash(g, a.Incarnation), memberHash(g, b.Incarnation))
	})
	count := witnessCount(len(n.peers))
	return append([]Member{n.self}, others[:count-1]...)
}
