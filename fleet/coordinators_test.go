package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// newTestFleet returns members in two regions of three failure domains each. Half
// of them have a larger capacity.
func newTestFleet(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{VM: structs.VMID(fmt.Sprintf("vm-%03d", i)), Region: fmt.Sprint(i % 2), Domain: structs.DomainID(fmt.Sprint(i % 6)), Capacity: 192}
		if i/6%2 == 0 {
			members[i].Capacity = 800
		}
	}
	return members
}

func others(members []Member, self int) []Member {
	return append(append([]Member(nil), members[:self]...), members[self+1:]...)
}

// All VMs must pick the same coordinators, of the highest capacity, in every failure
// domain; they exchange digests with each of them within a second, since a role is
// given to a VM only while it was seen recently. Coordinators of two regions exchange
// digests too, since each region has a holder of an account's quota. The number of digests, and of those
// between regions, must not grow with the fleet. Play of the rounds of all VMs.
func TestDigestsOfLargeFleetsAreBounded(t *testing.T) {
	const maxPerSecond, maxOtherRegionPerSecond = 44.0, 10.5
	const maxCoordinatorAge, maxFarCoordinatorAge = time.Second, 1500 * time.Millisecond
	for _, count := range []int{66, 195, 510} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			members := newTestFleet(count)
			regionOf := make(map[structs.VMID]string)
			for _, member := range members {
				regionOf[member.VM] = member.Region
			}
			all := make([]*groups, count)
			for i := range members {
				all[i] = newGroups(members[i], others(members, i))
			}
			for i := range members {
				assert.DeepEqual(t, all[i].isCoordinator, all[0].isCoordinator)
			}
			assert.Equal(t, len(all[0].isCoordinator), 2*coordinatorsPerRegion)
			domains := make(map[structs.DomainID]bool)
			for _, member := range members {
				if all[0].isCoordinator[member.VM] {
					assert.Equal(t, member.Capacity, 800)
					domains[member.Domain] = true
				}
			}
			assert.Equal(t, len(domains), 6)

			rounds := int(2 * all[0].rotationTime() / sameRegionPeriod)
			rotations := make([]rotation, count)
			contacted := make(map[[2]structs.VMID]int) // round of the last digest between two VMs, in either direction
			digests, toOtherRegion, oldestCoordinator, oldestFarCoordinator, oldest := 0, 0, 0, 0, 0
			for round := range rounds {
				for i, self := range members {
					for _, vm := range rotations[i].pick(all[i], func(structs.VMID) bool { return true }) {
						digests++
						if regionOf[vm] != self.Region {
							toOtherRegion++
						}
						for _, pair := range [][2]structs.VMID{{self.VM, vm}, {vm, self.VM}} {
							age := round - contacted[pair]
							oldest = max(oldest, age)
							if all[i].isCoordinator[pair[1]] && regionOf[vm] == self.Region {
								oldestCoordinator = max(oldestCoordinator, age)
							}
							if all[i].isCoordinator[pair[0]] && all[i].isCoordinator[pair[1]] {
								oldestFarCoordinator = max(oldestFarCoordinator, age)
							}
							contacted[pair] = round
						}
					}
				}
			}
			seconds := float64(rounds) * sameRegionPeriod.Seconds() * float64(count)
			perSecond, otherPerSecond := float64(digests)/seconds, float64(toOtherRegion)/seconds
			coordinatorAge := time.Duration(oldestCoordinator) * sameRegionPeriod
			farAge := time.Duration(oldestFarCoordinator) * sameRegionPeriod
			age := time.Duration(oldest) * sameRegionPeriod
			t.Logf("%.1f digests a second and VM, %.1f to other regions, coordinators seen within %s, all within %s", perSecond, otherPerSecond, coordinatorAge, age)
			assert.Assert(t, perSecond <= maxPerSecond, "%.1f digests a second", perSecond)
			assert.Assert(t, otherPerSecond <= maxOtherRegionPerSecond, "%.1f digests a second to other regions", otherPerSecond)
			assert.Assert(t, coordinatorAge <= maxCoordinatorAge, "a coordinator was not heard of for %s", coordinatorAge)
			assert.Assert(t, farAge <= maxFarCoordinatorAge, "coordinators of two regions were not in contact for %s", farAge)
			assert.Assert(t, len(contacted) == count*(count-1), "%d pairs were in contact", len(contacted))
			assert.Assert(t, age <= max(memberTimeout, all[0].rotationTime()*3/2), "a member was not heard of for %s", age)
		})
	}
}

// In a small fleet all VMs may have every role, and each gets a digest in every round.
func TestSmallFleetHasNoCoordinators(t *testing.T) {
	members := newTestFleet(9)
	g := newGroups(members[0], members[1:])
	assert.Assert(t, !g.hasCoordinators() && g.mayHaveRole(members[3].VM))
	var r rotation
	assert.Equal(t, len(r.pick(g, func(structs.VMID) bool { return true })), 8)
}

// The loss of all coordinators of a failure domain leaves others, and the next members
// in order take the place of those that are forgotten.
func TestForgottenCoordinatorsAreReplaced(t *testing.T) {
	members := newTestFleet(195)
	before := newGroups(members[0], members[1:])
	var left []Member
	for _, member := range members[1:] {
		if member.Domain != "1" {
			left = append(left, member)
		}
	}
	after := newGroups(members[0], left)
	assert.Equal(t, len(after.isCoordinator), 2*coordinatorsPerRegion)
	for _, member := range append(left, members[0]) {
		if before.isCoordinator[member.VM] {
			assert.Assert(t, after.isCoordinator[member.VM], "%s lost its role without need", member.VM)
		}
	}
}
