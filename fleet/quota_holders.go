package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// QuotaHoldersPerRegion is the number of VMs of a region that each hold a part of an
	// account's quota. While one of them is lost, the others admit two thirds of the
	// region's part; accounts commonly use five eighths of their quota.
	QuotaHoldersPerRegion = 3
	// rosterHistory is how long earlier rosters are kept.
	rosterHistory = 10 * time.Second
	// cutOffTime is the silence after which a VM takes itself for cut off. It is well below
	// memberTimeout, after which the others give its quota to another VM.
	cutOffTime = 8 * time.Second
)

// roster is the set of VMs over which the quota of accounts is divided: all members, and
// the VMs of the member table that this VM has lost contact with. A VM that is cut off
// thus counts those it no longer hears, and keeps to its own part.
type roster struct {
	since structs.Instant
	size  int
	// domains are the failure domains of the VMs.
	domains map[structs.VMID]structs.DomainID
	// candidates are the VMs of each region that may hold quota.
	candidates map[string][]Member
	holders    map[string]map[string][]structs.VMID // by region and name
}

func newRoster(since structs.Instant, self Member, others map[structs.VMID]Member) *roster {
	members := slices.Collect(maps.Values(others))
	groups := newGroups(self, members)
	r := &roster{
		since: since, size: len(members) + 1, domains: make(map[structs.VMID]structs.DomainID),
		candidates: make(map[string][]Member), holders: make(map[string]map[string][]structs.VMID),
	}
	for _, member := range append(members, self) {
		r.domains[member.VM] = member.Domain
		if groups.mayHaveRole(member.VM) {
			r.candidates[member.Region] = append(r.candidates[member.Region], member)
		}
	}
	return r
}

// holdersIn returns the VMs of a region that hold a part of a named account's quota.
func (r *roster) holdersIn(region, name string) []structs.VMID {
	cached := r.holders[region]
	if cached == nil {
		cached = make(map[string][]structs.VMID)
		r.holders[region] = cached
	}
	holders, isKnown := cached[name]
	if !isKnown {
		holders = pickQuotaHolders(r.candidates[region], name)
		cached[name] = holders
	}
	return holders
}

// pickQuotaHolders picks the candidates of the highest hash, first one of each failure
// domain: a domain that is cut off then keeps a holder.
func pickQuotaHolders(candidates []Member, name string) []structs.VMID {
	sorted := slices.SortedFunc(slices.Values(candidates), func(a, b Member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(b.VM, name), rendezvousHash(a.VM, name)), cmp.Compare(a.VM, b.VM))
	})
	var holders []structs.VMID
	hasHolder := make(map[structs.DomainID]bool)
	for _, member := range sorted {
		if len(holders) < QuotaHoldersPerRegion && !hasHolder[member.Domain] {
			holders = append(holders, member.VM)
			hasHolder[member.Domain] = true
		}
	}
	for _, member := range sorted {
		if len(holders) < QuotaHoldersPerRegion && !slices.Contains(holders, member.VM) {
			holders = append(holders, member.VM)
		}
	}
	return holders
}

// Rosters holds a VM's present roster and the earlier ones of rosterHistory. It is a state
// machine without clock, goroutine or I/O.
type Rosters struct {
	self Member
	list []*roster // newest first
}

// NewRosters returns the rosters of a VM that knows no other.
func NewRosters(now structs.Instant, self Member) *Rosters {
	return &Rosters{self: self, list: []*roster{newRoster(now, self, nil)}}
}

// Update replaces the other VMs of the present roster.
func (r *Rosters) Update(now structs.Instant, others map[structs.VMID]Member) {
	next := newRoster(now, r.self, others)
	if maps.Equal(next.domains, r.list[0].domains) {
		next.since = r.list[0].since
		r.list[0] = next
		return
	}
	r.list = slices.Insert(r.list, 0, next)
	for i, old := range r.list {
		if now.Sub(old.since) > rosterHistory {
			r.list = r.list[:i+1]
			break
		}
	}
}

// Size returns the number of VMs, this one included.
func (r *Rosters) Size() int { return r.list[0].size }

// Holders returns the VMs that each hold a part of a named account's quota: those of this
// region, first this VM and those of its failure domain, and those of the other regions.
func (r *Rosters) Holders(name string) (near, far []structs.VMID) {
	present := r.list[0]
	near = slices.Clone(present.holdersIn(r.self.Region, name))
	slices.SortStableFunc(near, func(a, b structs.VMID) int {
		return cmp.Compare(r.distance(a), r.distance(b))
	})
	for _, region := range slices.Sorted(maps.Keys(present.candidates)) {
		if region != r.self.Region {
			far = append(far, present.holdersIn(region, name)...)
		}
	}
	return near, far
}

// distance returns 0 for this VM, 1 for one of its failure domain and 2 for others.
func (r *Rosters) distance(vm structs.VMID) int {
	switch {
	case vm == r.self.VM:
		return 0
	case r.list[0].domains[vm] == r.self.Domain:
		return 1
	}
	return 2
}

// HoldsSince reports whether this VM holds a part of a named account's quota, and since when:
// another VM may have given out tokens of that part before.
func (r *Rosters) HoldsSince(name string) (since structs.Instant, holds bool) {
	for _, old := range r.list {
		if !slices.Contains(old.holdersIn(r.self.Region, name), r.self.VM) {
			break
		}
		since, holds = old.since, true
	}
	return since, holds
}

// currentRosters returns the rosters of the present members. The caller holds the lock.
func (m *Mesh) currentRosters() *Rosters {
	if !m.isRosterOutdated {
		return m.rosters
	}
	m.isRosterOutdated = false
	others := maps.Clone(m.tableMembers)
	if others == nil {
		others = make(map[structs.VMID]Member)
	}
	for id, peer := range m.members {
		others[id] = peer.Member
	}
	delete(others, m.opts.Self.VM)
	m.rosters.Update(structs.Now(), others)
	return m.rosters
}

// recordTable records the members that the member table lists.
func (m *Mesh) recordTable(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tableMembers = make(map[structs.VMID]Member, len(members))
	for _, member := range members {
		if member.VM != "" {
			m.tableMembers[member.VM] = member
		}
	}
	m.tableReadAt = time.Now()
	m.isRosterOutdated = true
}

// IsCutOff reports whether this VM has, for cutOffTime, neither read the member table nor
// heard of half of the VMs of its region that may hold quota. The others may then have
// forgotten it.
func (m *Mesh) IsCutOff() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.tableReadAt) < cutOffTime || now.Sub(m.startedAt) < cutOffTime {
		return false
	}
	candidates := m.currentRosters().list[0].candidates[m.opts.Self.Region]
	heard := 0
	for _, member := range candidates {
		peer := m.members[member.VM]
		if member.VM == m.opts.Self.VM || peer != nil && now.Sub(peer.lastSeen) < cutOffTime {
			heard++
		}
	}
	return 2*heard < len(candidates)
}

// RosterSize returns the number of VMs over which quotas are divided, this one included.
func (m *Mesh) RosterSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentRosters().Size()
}

// QuotaHolders returns the VMs that each hold a part of a named account's quota, of this
// region and of the others.
func (m *Mesh) QuotaHolders(name string) (near, far []structs.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentRosters().Holders(name)
}

// HoldsQuotaSince reports whether this VM is one of them, and since when.
func (m *Mesh) HoldsQuotaSince(name string) (since structs.Instant, holds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentRosters().HoldsSince(name)
}
