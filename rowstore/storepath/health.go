// Package storepath keeps the row store in reach: calls go to the store itself
// while that works, else through another VM that reaches it.
package storepath

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Health decides which path a call takes. It answers the load of a store that
// turns some VMs away, is silent or is slow, while it serves others. It is a
// state machine without clock, goroutine or I/O.
type Health struct {
	direct    record
	peers     map[structs.VMID]*peerRecord
	lastReach structs.Instant
	lastFail  structs.Instant // of any path, 0 for never
}

type record struct {
	lastOK   structs.Instant
	failedAt structs.Instant // 0 while the last call worked
	failures int
	busy     int // answers in a row that the store takes no more calls
	// busySince is when the first of these came.
	busySince structs.Instant
}

type peerRecord struct {
	record
	near       bool
	reportedOK structs.Instant
}

// Path is one way to the store; an empty VM is the direct one.
type Path struct{ VM structs.VMID }

// IsDirect reports whether the path has no other VM in it.
func (p Path) IsDirect() bool { return p.VM == "" }

const (
	// reportTTL is how long a peer's word that it reaches the store counts;
	// four rounds of reports.
	reportTTL = 1500 * time.Millisecond
	// peerRest is how long a peer that failed a relayed call is passed over.
	peerRest = time.Second
	// failureLimit is how many failures in a row mean that the direct path is
	// lost.
	failureLimit = 2
	// servedSpan is how long a served call speaks for the direct path.
	servedSpan = 400 * time.Millisecond
	// busyLimit and busySpan are how many busy answers in a row, and for how
	// long none but these, count as a failure. A store at its limit lets some
	// calls pass in between.
	busyLimit = 3
	busySpan  = 150 * time.Millisecond
	// maxPeerPaths bounds the peers one call may go through, so that an
	// outage does not multiply calls.
	maxPeerPaths = 2
)

// NewHealth makes a state in which the direct path is taken to work.
func NewHealth(now structs.Instant) *Health {
	return &Health{peers: make(map[structs.VMID]*peerRecord), lastReach: now}
}

// RecordAnswer records that the store answered over a path, whatever it said.
func (h *Health) RecordAnswer(now structs.Instant, p Path) {
	h.lastReach = now
	if r := h.record(p); r != nil {
		*r = record{lastOK: now}
	}
}

// RecordFailure records a call over a path that the store did not serve.
func (h *Health) RecordFailure(now structs.Instant, p Path) {
	h.lastFail = now
	if r := h.record(p); r != nil {
		r.failedAt = now
		r.failures++
	}
}

func (h *Health) record(p Path) *record {
	if p.IsDirect() {
		return &h.direct
	}
	if peer := h.peers[p.VM]; peer != nil {
		return &peer.record
	}
	return nil
}

// RecordBusy records that the store takes no more calls over a path. Once may be the
// store's own limit, where another path would only add calls; again and again
// means that it turns this VM away.
func (h *Health) RecordBusy(now structs.Instant, p Path) {
	r := h.record(p)
	if r == nil {
		return
	}
	if r.busy == 0 {
		r.busySince = now
	}
	r.busy++
	if r.busy >= busyLimit && now.Sub(r.busySince) >= busySpan {
		r.failures = failureLimit
		h.RecordFailure(now, p)
	}
}

// HasRecentDirectAnswer reports whether the direct path has just served a call, so that
// the refusal of another one is not the path's.
func (h *Health) HasRecentDirectAnswer(now structs.Instant) bool {
	return h.direct.lastOK != 0 && now.Sub(h.direct.lastOK) < servedSpan
}

// RecordPeerReport records a peer's word on its own direct path.
func (h *Health) RecordPeerReport(now structs.Instant, vm structs.VMID, near, works bool) {
	peer := h.peers[vm]
	if peer == nil {
		peer = &peerRecord{}
		h.peers[vm] = peer
	}
	peer.near = near
	peer.reportedOK = 0
	if works {
		peer.reportedOK = now
	}
}

// RemovePeer drops a VM that has left.
func (h *Health) RemovePeer(vm structs.VMID) { delete(h.peers, vm) }

// IsDirectUp reports whether direct calls are served. A single failure may be
// that of one partition of the store.
func (h *Health) IsDirectUp() bool { return h.direct.failures < failureLimit }

// LastFailure returns when a call last went unserved on any path, 0 for never.
func (h *Health) LastFailure() structs.Instant { return h.lastFail }

// UnreachableFor returns for how long no path has worked, or 0 while one is expected to.
func (h *Health) UnreachableFor(now structs.Instant) time.Duration {
	if h.IsDirectUp() || len(h.usablePeers(now)) > 0 {
		return 0
	}
	return max(now.Sub(h.lastReach), 1)
}

// Paths returns the paths to try, best first. The direct path is always among
// them, so that its return is noticed.
func (h *Health) Paths(now structs.Instant, probeDirect bool) []Path {
	peers := h.usablePeers(now)
	if h.IsDirectUp() || probeDirect {
		return append([]Path{{}}, peers...)
	}
	return append(peers, Path{})
}

func (h *Health) usablePeers(now structs.Instant) []Path {
	var vms []structs.VMID
	for vm, peer := range h.peers {
		reported := peer.reportedOK != 0 && now.Sub(peer.reportedOK) < reportTTL
		resting := peer.failedAt != 0 && now.Sub(peer.failedAt) < peerRest
		if reported && !resting {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b structs.VMID) int { return h.compare(a, b) })
	var paths []Path
	for _, vm := range vms[:min(len(vms), maxPeerPaths)] {
		paths = append(paths, Path{VM: vm})
	}
	return paths
}

// compare puts near peers first and, among these, the one used longest ago, so
// that relayed calls spread.
func (h *Health) compare(a, b structs.VMID) int {
	pa, pb := h.peers[a], h.peers[b]
	if pa.near != pb.near {
		if pa.near {
			return -1
		}
		return 1
	}
	if pa.lastOK != pb.lastOK {
		if pa.lastOK < pb.lastOK {
			return -1
		}
		return 1
	}
	if a < b {
		return -1
	}
	return 1
}
