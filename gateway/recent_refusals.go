package gateway

import (
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// maxRecentRefusals is how many refusals the state dump shows.
const maxRecentRefusals = 64

// RecentRefusal describes one refused request in the state dump. The program ID is the
// only part of the caller's input in it.
type RecentRefusal struct {
	Request structs.RequestID   `json:"request"`
	Class   string              `json:"class"`
	Account structs.AccountID   `json:"account,omitempty"`
	Program structs.ProgramID   `json:"program,omitempty"`
	Kind    structs.RefusalKind `json:"kind"`
	Run     structs.Run         `json:"run"`
	Retry   string              `json:"retry_after,omitempty"`
	Took    string              `json:"took"`
	Ago     string              `json:"ago"`
	Version uint64              `json:"config_version"`

	refusedAt structs.Instant
}

// recentRefusals is a ring buffer of the last refusals.
type recentRefusals struct {
	mu     sync.Mutex
	ring   [maxRecentRefusals]RecentRefusal
	next   int
	isFull bool
}

func (r *recentRefusals) add(refusal RecentRefusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = refusal
	r.next++
	if r.next == maxRecentRefusals {
		r.next, r.isFull = 0, true
	}
}

// list returns the refusals from the latest to the oldest.
func (r *recentRefusals) list(now structs.Instant) []RecentRefusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.next
	if r.isFull {
		count = maxRecentRefusals
	}
	list := make([]RecentRefusal, 0, count)
	for i := range count {
		refusal := r.ring[(r.next-1-i+maxRecentRefusals)%maxRecentRefusals]
		refusal.Ago = now.Sub(refusal.refusedAt).Round(time.Millisecond).String()
		list = append(list, refusal)
	}
	return list
}

// recordRefusal keeps a refusal for the state dump. It is called before the response is
// written, so that a dump taken after the response contains the refusal.
func (x *exchange) recordRefusal(refusal *structs.Refusal) {
	now := x.g.opts.Clock()
	recent := RecentRefusal{
		Request: x.id, Class: string(x.class), Account: x.account, Program: x.program,
		Kind: refusal.Kind, Run: refusal.Run, Took: now.Sub(x.startedAt).Round(time.Microsecond).String(),
		refusedAt: now,
	}
	if refusal.RetryAfter > 0 {
		recent.Retry = refusal.RetryAfter.String()
	}
	if x.snapshot != nil {
		recent.Version = x.snapshot.Version()
	}
	x.g.recent.add(recent)
}
