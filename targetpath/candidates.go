package targetpath

import (
	"cmp"
	"slices"

	"github.com/endivecourse/endivecourse/structs"
)

// maxTriedTargets bounds the targets to which one check connects.
const maxTriedTargets = 4

// Candidate is a target that a check may connect to.
type Candidate struct {
	Target  structs.TargetID
	Service structs.ServiceID
	Domain  structs.DomainID
	Address string
	// IsFailing means that a connection to it failed recently.
	IsFailing bool
}

// PickCandidates returns the targets of a check: those that don't fail first, of as many
// failure domains and services as possible. The n-th check starts with another one.
func PickCandidates(n int, candidates []Candidate) []Candidate {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b Candidate) int { return cmp.Compare(a.Target, b.Target) })
	if len(ordered) > 0 {
		first := n % len(ordered)
		ordered = append(ordered[first:], ordered[:first]...)
	}
	slices.SortStableFunc(ordered, func(a, b Candidate) int { return cmp.Compare(boolRank(a.IsFailing), boolRank(b.IsFailing)) })
	domains, services := make(map[structs.DomainID]int), make(map[structs.ServiceID]int)
	var picked []Candidate
	for len(picked) < maxTriedTargets && len(ordered) > 0 {
		best := 0
		for i, candidate := range ordered {
			if compareCandidates(candidate, ordered[best], domains, services) < 0 {
				best = i
			}
		}
		domains[ordered[best].Domain]++
		services[ordered[best].Service]++
		picked = append(picked, ordered[best])
		ordered = slices.Delete(ordered, best, best+1)
	}
	return picked
}

func compareCandidates(a, b Candidate, domains map[structs.DomainID]int, services map[structs.ServiceID]int) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.IsFailing), boolRank(b.IsFailing)),
		cmp.Compare(domains[a.Domain], domains[b.Domain]),
		cmp.Compare(services[a.Service], services[b.Service]),
	)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
