// Package storepath routes calls to the row store: directly while the direct path is up,
// otherwise through another VM that reaches the store.
package storepath

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Health tracks the paths to the store and decides which path a call takes. It handles a
// store that refuses some VMs, does not answer them or is slow, while it serves others.
// It is a state machine without clock, goroutines or I/O.
type Health struct {
	direct      pathRecord
	peers       map[structs.VMID]*peerRecord
	lastAnswer  structs.Instant
	lastFailure structs.Instant // of any path, 0 for never
	// failingSince is the first failure after the last answer, over any path; 0 if there
	// is none.
	failingSince structs.Instant
	outageEnd    structs.Instant // of the last outage, 0 for never
}

// pathRecord holds the recent results of the calls over one path.
type pathRecord struct {
	lastAnswer structs.Instant
	failedAt   structs.Instant // 0 unless a call has failed since the last answer
	failures   int
	busyCount  int // consecutive busy answers
	// busySince is the time of the first of these answers.
	busySince structs.Instant
}

// peerRecord is the state of the path through a peer.
type peerRecord struct {
	pathRecord
	inSameRegion bool
	region       string
	reportedUpAt structs.Instant // 0 if the peer's last report said that its path is down
}

// Path is a path to the store, through the peer VM or, when VM is empty, direct.
type Path struct{ VM structs.VMID }

// IsDirect reports whether the path leads through no other VM.
func (p Path) IsDirect() bool { return p.VM == "" }

const (
	// reportTTL is how long a peer's report that it reaches the store is valid: four
	// rounds of reports.
	reportTTL = 1500 * time.Millisecond
	// peerRetryDelay is how long a peer is not used after it failed a relayed call.
	peerRetryDelay = time.Second
	// failureLimit is the number of consecutive failures after which the direct path
	// counts as down.
	failureLimit = 2
	// recentSpan is how long an answer over the direct path counts as recent.
	recentSpan = 400 * time.Millisecond
	// busyLimit consecutive busy answers over at least minBusySpan count as a failure.
	// A store that is merely at its rate limit serves some calls in between.
	busyLimit   = 3
	minBusySpan = 150 * time.Millisecond
	// maxFailingTime is the time for which calls fail, and none is answered over any path,
	// from which the store counts as away even if some path is still expected to work.
	maxFailingTime = time.Second
	// maxPeerPaths bounds the number of peers that one call is tried through, so that an
	// outage does not multiply the calls.
	maxPeerPaths = 2
)

// NewHealth returns a state in which the direct path counts as up.
func NewHealth(now structs.Instant) *Health {
	return &Health{peers: make(map[structs.VMID]*peerRecord), lastAnswer: now}
}

// RecordAnswer records that the store answered a call over a path, with success or with
// an error of its own.
func (h *Health) RecordAnswer(now structs.Instant, p Path) {
	if h.isOutage(now) {
		h.outageEnd = now
	}
	h.lastAnswer, h.failingSince = now, 0
	if r := h.pathRecord(p); r != nil {
		*r = pathRecord{lastAnswer: now}
	}
}

// RecordFailure records that the store did not serve a call over a path.
func (h *Health) RecordFailure(now structs.Instant, p Path) {
	h.lastFailure = now
	if h.failingSince == 0 {
		h.failingSince = now
	}
	if r := h.pathRecord(p); r != nil {
		r.failedAt = now
		r.failures++
	}
}

// pathRecord returns the record of a path, nil for a VM that is not known.
func (h *Health) pathRecord(p Path) *pathRecord {
	if p.IsDirect() {
		return &h.direct
	}
	if peer := h.peers[p.VM]; peer != nil {
		return &peer.pathRecord
	}
	return nil
}

// RecordBusy records that the store answered busy over a path. A single busy answer may
// come from the store's rate limit, where another path would only add calls. Repeated
// busy answers mean that the store refuses this VM, and count as a failure.
func (h *Health) RecordBusy(now structs.Instant, p Path) {
	r := h.pathRecord(p)
	if r == nil {
		return
	}
	if r.busyCount == 0 {
		r.busySince = now
	}
	r.busyCount++
	if r.busyCount >= busyLimit && now.Sub(r.busySince) >= minBusySpan {
		r.failures = failureLimit
		h.RecordFailure(now, p)
	}
}

// HasRecentDirectAnswer reports whether the store has recently answered over the direct
// path, so that its refusal of another call is not a failure of the path.
func (h *Health) HasRecentDirectAnswer(now structs.Instant) bool {
	return h.direct.lastAnswer != 0 && now.Sub(h.direct.lastAnswer) < recentSpan
}

// RecordPeerReport records a peer's report on its own direct path.
func (h *Health) RecordPeerReport(now structs.Instant, vm structs.VMID, inSameRegion, isUp bool) {
	peer := h.peers[vm]
	if peer == nil {
		peer = &peerRecord{}
		h.peers[vm] = peer
	}
	peer.inSameRegion = inSameRegion
	peer.reportedUpAt = 0
	if isUp {
		peer.reportedUpAt = now
	}
}

// RecordPeerRegion records a peer's region.
func (h *Health) RecordPeerRegion(vm structs.VMID, region string) {
	peer := h.peers[vm]
	if peer == nil {
		peer = &peerRecord{}
		h.peers[vm] = peer
	}
	peer.region = region
}

// RemovePeer removes a VM that has left.
func (h *Health) RemovePeer(vm structs.VMID) { delete(h.peers, vm) }

// IsDirectUp reports whether the direct path is up. A single failure does not count,
// since it may be due to one partition of the store.
func (h *Health) IsDirectUp() bool { return h.direct.failures < failureLimit }

// isOutage reports whether the store is away: no path is usable, or all calls have failed
// for maxFailingTime.
func (h *Health) isOutage(now structs.Instant) bool {
	isFailing := h.failingSince != 0 && now.Sub(h.failingSince) >= maxFailingTime
	return isFailing || h.UnreachableFor(now) > 0
}

// LastOutage returns the last instant at which the store was away, 0 for never. Failures
// of one path while another is answered are not an outage.
func (h *Health) LastOutage(now structs.Instant) structs.Instant {
	if h.isOutage(now) {
		return now
	}
	return h.outageEnd
}

// LastFailure returns the time of the last failed call over any path, 0 for never.
func (h *Health) LastFailure() structs.Instant { return h.lastFailure }

// UnreachableFor returns the time since the last answer if no path is usable, otherwise
// 0.
func (h *Health) UnreachableFor(now structs.Instant) time.Duration {
	return h.UnreachableWithin(now, nil)
}

// UnreachableWithin is like UnreachableFor for calls that may be relayed only through VMs of
// this region and of the given regions; nil allows all.
func (h *Health) UnreachableWithin(now structs.Instant, regions []string) time.Duration {
	if h.IsDirectUp() || len(h.peerPathsWithin(now, regions)) > 0 {
		return 0
	}
	return max(now.Sub(h.lastAnswer), 1)
}

// Paths returns the paths to try, best first. The direct path is always among them, so
// that its recovery is noticed.
func (h *Health) Paths(now structs.Instant) []Path { return h.PathsWithin(now, nil) }

// PathsWithin is like Paths for calls that may be relayed only through VMs of this region and
// of the given regions; nil allows all.
func (h *Health) PathsWithin(now structs.Instant, regions []string) []Path {
	peers := h.peerPathsWithin(now, regions)
	if h.IsDirectUp() {
		return append([]Path{{}}, peers...)
	}
	return append(peers, Path{})
}

// PeerPaths returns the best paths through peers that have recently reported that
// they reach the store and that have not just failed a call.
func (h *Health) PeerPaths(now structs.Instant) []Path { return h.peerPathsWithin(now, nil) }

func (h *Health) peerPathsWithin(now structs.Instant, regions []string) []Path {
	var vms []structs.VMID
	for vm, peer := range h.peers {
		isReportedUp := peer.reportedUpAt != 0 && now.Sub(peer.reportedUpAt) < reportTTL
		isPaused := peer.failedAt != 0 && now.Sub(peer.failedAt) < peerRetryDelay
		isAllowed := regions == nil || peer.inSameRegion || slices.Contains(regions, peer.region)
		if isReportedUp && !isPaused && isAllowed {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b structs.VMID) int { return h.comparePeers(a, b) })
	var paths []Path
	for _, vm := range vms[:min(len(vms), maxPeerPaths)] {
		paths = append(paths, Path{VM: vm})
	}
	return paths
}

// comparePeers orders peers of the same region first, then by the time of the last
// answer, oldest first, so that relayed calls are spread over the peers.
func (h *Health) comparePeers(a, b structs.VMID) int {
	pa, pb := h.peers[a], h.peers[b]
	if pa.inSameRegion != pb.inSameRegion {
		if pa.inSameRegion {
			return -1
		}
		return 1
	}
	if pa.lastAnswer != pb.lastAnswer {
		if pa.lastAnswer < pb.lastAnswer {
			return -1
		}
		return 1
	}
	if a < b {
		return -1
	}
	return 1
}
