package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// In a fleet of many VMs, roles such as that of a home VM or a placer are given only
// to a few VMs of each region, its coordinators: those of the highest capacity. Every
// VM exchanges digests with them often, so that all VMs pick the same one, while the
// other members are contacted in turn.
const (
	// MaxUncoordinatedVMs is the largest number of VMs that all take part in every
	// role and exchange digests with each other in every round.
	MaxUncoordinatedVMs = 16
	// coordinatorsPerRegion bounds the coordinators of a region.
	coordinatorsPerRegion = 12
)

// Digests of one round in a fleet with coordinators, by the kind of peer: a VM contacts
// all coordinators of its region within a second.
const (
	coordinatorDigests = 4
	sameRegionDigests  = 6
	otherRegionDigests = 2
	// farCoordinatorDigests are those of a coordinator to coordinators of other regions:
	// the holders of an account's quota must know of each other's demand.
	farCoordinatorDigests = 3
)

// groups are the members of a fleet other than this VM, by how often they get digests.
type groups struct {
	isCoordinator   map[structs.VMID]bool // coordinators of all regions, this VM included
	coordinators    []structs.VMID        // of this VM's region
	sameRegion      []structs.VMID        // other members of this VM's region
	farCoordinators []structs.VMID        // of other regions; empty on a VM that is none itself
	otherRegion     []structs.VMID        // other members of other regions
	tableSources    []structs.VMID        // at which this VM follows shared tables
}

// newGroups sorts the members into groups. In a small fleet there are no coordinators.
func newGroups(self Member, members []Member) *groups {
	g := &groups{isCoordinator: make(map[structs.VMID]bool), tableSources: tableSources(self, members)}
	if len(members) >= MaxUncoordinatedVMs {
		byRegion := make(map[string][]Member)
		for _, member := range append(slices.Clone(members), self) {
			byRegion[member.Region] = append(byRegion[member.Region], member)
		}
		for _, regional := range byRegion {
			slices.SortFunc(regional, compareForRoles)
			for _, member := range regional[:min(len(regional), coordinatorsPerRegion)] {
				g.isCoordinator[member.VM] = true
			}
		}
	}
	for _, member := range members {
		switch {
		case member.Region != self.Region && g.isCoordinator[self.VM] && g.isCoordinator[member.VM]:
			g.farCoordinators = append(g.farCoordinators, member.VM)
		case member.Region != self.Region:
			g.otherRegion = append(g.otherRegion, member.VM)
		case g.isCoordinator[member.VM]:
			g.coordinators = append(g.coordinators, member.VM)
		default:
			g.sameRegion = append(g.sameRegion, member.VM)
		}
	}
	for _, group := range [][]structs.VMID{g.coordinators, g.sameRegion, g.farCoordinators, g.otherRegion} {
		slices.Sort(group)
	}
	return g
}

// compareForRoles sorts members by capacity, highest first, and members of the same
// capacity by a hash, which spreads the coordinators over the failure domains.
func compareForRoles(a, b Member) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(rendezvousHash(a.VM, "coordinator"), rendezvousHash(b.VM, "coordinator")),
		cmp.Compare(a.VM, b.VM),
	)
}

// hasCoordinators reports whether roles are given to coordinators only.
func (g *groups) hasCoordinators() bool { return len(g.isCoordinator) > 0 }

// mayHaveRole reports whether a VM may be given a role.
func (g *groups) mayHaveRole(vm structs.VMID) bool {
	return !g.hasCoordinators() || g.isCoordinator[vm]
}

// rotationTime returns the time in which this VM sends a digest to every member.
func (g *groups) rotationTime() time.Duration {
	if !g.hasCoordinators() {
		return sameRegionPeriod * time.Duration(roundsFor(len(g.sameRegion)+len(g.otherRegion), maxDigestsPerRound))
	}
	rounds := max(
		roundsFor(len(g.coordinators), coordinatorDigests),
		roundsFor(len(g.sameRegion), sameRegionDigests),
		roundsFor(len(g.farCoordinators), farCoordinatorDigests),
		roundsFor(len(g.otherRegion), otherRegionDigests),
	)
	return sameRegionPeriod * time.Duration(rounds)
}

func roundsFor(peers, perRound int) int { return (peers + perRound - 1) / perRound }

// rotation picks the peers that get a digest in each round. Successive rounds rotate
// through the peers of each group.
type rotation struct {
	nextCoordinator, nextSameRegion, nextFarCoordinator, nextOtherRegion int
}

// pick returns the peers of one round for which isDue reports true.
func (r *rotation) pick(g *groups, isDue func(structs.VMID) bool) []structs.VMID {
	if !g.hasCoordinators() {
		all := slices.Sorted(slices.Values(append(slices.Clone(g.sameRegion), g.otherRegion...)))
		return pickFrom(all, &r.nextSameRegion, maxDigestsPerRound, isDue)
	}
	peers := pickFrom(g.coordinators, &r.nextCoordinator, coordinatorDigests, isDue)
	peers = append(peers, pickFrom(g.sameRegion, &r.nextSameRegion, sameRegionDigests, isDue)...)
	peers = append(peers, pickFrom(g.farCoordinators, &r.nextFarCoordinator, farCoordinatorDigests, isDue)...)
	return append(peers, pickFrom(g.otherRegion, &r.nextOtherRegion, otherRegionDigests, isDue)...)
}

// pickFrom returns at most count VMs that are due, starting at *next, and advances
// *next behind the last one.
func pickFrom(vms []structs.VMID, next *int, count int, isDue func(structs.VMID) bool) []structs.VMID {
	var picked []structs.VMID
	for i := range vms {
		vm := vms[(*next+i)%len(vms)]
		if !isDue(vm) {
			continue
		}
		picked = append(picked, vm)
		if len(picked) == count {
			*next = (*next + i + 1) % len(vms)
			break
		}
	}
	return picked
}

// currentGroups returns the groups of the members. The caller holds the lock.
func (m *Mesh) currentGroups() *groups {
	if m.groups == nil {
		m.groups = newGroups(m.opts.Self, m.memberList())
	}
	return m.groups
}
