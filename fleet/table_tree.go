package fleet

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// A table that every VM needs whole, such as the configuration, is read from the store by
// tableRoots VMs of each region only. The others follow it at a VM of their region, so that
// the store and the links between regions carry a number of copies that does not grow with
// the fleet. Each VM serves at most tableFanout others as their first choice.
const (
	tableRoots  = 2
	tableFanout = 8
)

// tableSources returns the VMs at which a VM follows the shared tables, best first; none if it
// reads the store itself. Sources rank before the VM in the order of compareForRoles, so that
// VMs with the same members never follow each other in a circle.
func tableSources(self Member, members []Member) []structs.VMID {
	if len(members) < MaxUncoordinatedVMs {
		return nil
	}
	regional := []Member{self}
	for _, member := range members {
		if member.Region == self.Region {
			regional = append(regional, member)
		}
	}
	slices.SortFunc(regional, compareForRoles)
	separateRoots(regional)
	rank := slices.IndexFunc(regional, func(m Member) bool { return m.VM == self.VM })
	if rank < tableRoots {
		return nil
	}
	first := (rank - tableRoots) / tableFanout
	second := first - 1
	if first == 0 {
		second = 1
	}
	return []structs.VMID{regional[first].VM, regional[second].VM}
}

// separateRoots moves the first VM of another failure domain than the first one to the second
// place, so that the loss of a failure domain leaves a root.
func separateRoots(ranked []Member) {
	for i := 1; i < len(ranked); i++ {
		if ranked[i].Domain != ranked[0].Domain {
			other := ranked[i]
			copy(ranked[2:i+1], ranked[1:i])
			ranked[1] = other
			return
		}
	}
}

const (
	// maxTableAge is the age up to which a source's state is used. Roots read the store, and
	// VMs their source, at least each sharedWait.
	maxTableAge = 1200 * time.Millisecond
	// sourcePatience is the age of this VM's state from which it reads the store itself.
	sourcePatience = 1200 * time.Millisecond
	// minStorePause and maxStorePause bound the pause between two reads of the store while a
	// source answers that its own state is old: when the store returns, the roots read it first.
	minStorePause = time.Second
	maxStorePause = 3 * time.Second
	// A source that failed is not asked for minSourceBackoff, twice as long after each further
	// failure, maxSourceBackoff at most.
	minSourceBackoff = 3 * time.Second
	maxSourceBackoff = 12 * time.Second
)

// sourceChoice decides where a VM reads a shared table next. It is a state machine without
// clock, goroutines or I/O.
type sourceChoice struct {
	freshAt    structs.Instant // the instant as of which this VM's state is known to be the newest
	storeAt    structs.Instant // of the next read of the store while a source answers
	readsStore bool            // the newest state came from the store
	failures   map[structs.VMID]sourceFailure
}

type sourceFailure struct {
	until   structs.Instant
	backoff time.Duration
}

func newSourceChoice(now structs.Instant) *sourceChoice {
	return &sourceChoice{freshAt: now, failures: make(map[structs.VMID]sourceFailure)}
}

// usable returns the sources that have not just failed.
func (c *sourceChoice) usable(now structs.Instant, sources []structs.VMID) []structs.VMID {
	var usable []structs.VMID
	for _, vm := range sources {
		if now >= c.failures[vm].until {
			usable = append(usable, vm)
		}
	}
	return usable
}

// recordFailure records that a source did not answer.
func (c *sourceChoice) recordFailure(now structs.Instant, vm structs.VMID) {
	backoff := min(max(2*c.failures[vm].backoff, minSourceBackoff), maxSourceBackoff)
	c.failures[vm] = sourceFailure{until: now.Add(backoff), backoff: backoff}
}

// recordAnswer records that a source answered.
func (c *sourceChoice) recordAnswer(vm structs.VMID) { delete(c.failures, vm) }

// recordState records that this VM has a state of the given age.
func (c *sourceChoice) recordState(now structs.Instant, age time.Duration) {
	c.freshAt = max(c.freshAt, now-structs.Instant(age))
}

// recordRead records whether the newest state came from the store.
func (c *sourceChoice) recordRead(fromStore bool) { c.readsStore = fromStore }

// mayReadStore reports whether this VM reads the store itself, since no source had a new
// enough state. isAnswered is whether one answered; pause is the pause before the next read of
// the store in that case. A VM whose sources are lost goes on at the store without a pause.
func (c *sourceChoice) mayReadStore(now structs.Instant, isAnswered bool, pause time.Duration) bool {
	if !isAnswered && c.readsStore {
		return true
	}
	if now.Sub(c.freshAt) < sourcePatience {
		return false
	}
	if isAnswered && now < c.storeAt {
		return false
	}
	c.storeAt = now.Add(pause)
	return true
}
