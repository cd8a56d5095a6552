package lease

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// rank returns how many live schedulers are better placed to take a group.
// Witnesses of its row come first, since they hear when its owner is silent.
func (n *Node) rank(g *group) int {
	loads := n.loads()
	witnesses := g.row.AllWitnesses()
	mine := contains(witnesses, n.self.Incarnation)
	rank := 0
	for _, p := range n.peers {
		if p.Incarnation == n.self.Incarnation || p.Incarnation == g.row.Owner.Incarnation {
			continue
		}
		if theirs := contains(witnesses, p.Incarnation); theirs != mine {
			if theirs {
				rank++
			}
			continue
		}
		if before(loads, g.id, p.Incarnation, n.self.Incarnation) {
			rank++
		}
	}
	return rank
}

// before orders processes by load, then by a hash that differs by group.
func before(loads map[structs.Incarnation]int, g Group, a, b structs.Incarnation) bool {
	return cmp.Or(cmp.Compare(loads[a], loads[b]), cmp.Compare(weight(g, a), weight(g, b)), cmp.Compare(a, b)) < 0
}

func weight(g Group, inc structs.Incarnation) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%s", g, inc))
}

// chooseSet returns the witness set that this process as owner wants, keeping
// current ones that live. It is nil while this process may not own groups.
func (n *Node) chooseSet(g Group, current []Member) []Member {
	if !contains(n.peers, n.self.Incarnation) {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(n.peers), func(m Member) bool { return m.Incarnation == n.self.Incarnation })
	slices.SortFunc(others, func(a, b Member) int {
		if was, is := contains(current, a.Incarnation), contains(current, b.Incarnation); was != is {
			if was {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight(g, a.Incarnation), weight(g, b.Incarnation))
	})
	count := witnessCount(len(n.peers))
	return append([]Member{n.self}, others[:count-1]...)
}
