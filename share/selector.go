package share

import (
	"maps"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// holderBackoff is how long a holder that did not answer is not asked.
	holderBackoff = 2 * time.Second
	// maxEmptyTime bounds the time for which a holder without tokens is not asked: it may get
	// some back meanwhile.
	maxEmptyTime = 300 * time.Millisecond
)

// Selector decides which of an account's holders a VM asks for a token, and when it need
// not ask at all. Each holder has a bucket of its own, so no holder takes over from another:
// one that is lost keeps its part until it returns or the members change.
//
// Invariant: a Selector creates no tokens. Whatever it selects, the sum of the tokens that
// requests get is that of the buckets.
type Selector struct {
	failedAt map[structs.VMID]structs.Instant
	empty    map[bucketKey]emptyBucket
}

// bucketKey identifies what a holder has for an account: programs may start only while more
// tokens are left.
type bucketKey struct {
	vm            structs.VMID
	account       structs.AccountID
	startsProgram bool
}

type emptyBucket struct {
	until structs.Instant // the holder is not asked before
	// hasToken is when the holder has a token again, as it said.
	hasToken structs.Instant
}

// NewSelector returns a Selector that knows of no failure.
func NewSelector() *Selector {
	return &Selector{failedAt: make(map[structs.VMID]structs.Instant), empty: make(map[bucketKey]emptyBucket)}
}

// Next returns the first holder that may have a token now and is not in asked.
func (s *Selector) Next(now structs.Instant, r Request, holders, asked []structs.VMID) (structs.VMID, bool) {
	for _, vm := range holders {
		if slices.Contains(asked, vm) || s.hasFailed(now, vm) || now < s.empty[keyOf(vm, r)].until {
			continue
		}
		return vm, true
	}
	return "", false
}

// NextToken returns the holder that has a token soonest, and in which time, or false if no
// holder has answered recently.
func (s *Selector) NextToken(now structs.Instant, r Request, holders []structs.VMID) (vm structs.VMID, wait time.Duration, isKnown bool) {
	for _, holder := range holders {
		bucket, isEmpty := s.empty[keyOf(holder, r)]
		if !isEmpty || s.hasFailed(now, holder) {
			continue
		}
		if until := max(0, bucket.hasToken.Sub(now)); !isKnown || until < wait {
			vm, wait, isKnown = holder, until, true
		}
	}
	return vm, wait, isKnown
}

// RecordReply records a holder's decision.
func (s *Selector) RecordReply(now structs.Instant, vm structs.VMID, r Request, d Decision) {
	delete(s.failedAt, vm)
	if d.Admitted {
		delete(s.empty, keyOf(vm, r))
		return
	}
	hasToken := now.Add(d.Wait)
	s.empty[keyOf(vm, r)] = emptyBucket{until: min(hasToken, now.Add(maxEmptyTime)), hasToken: hasToken}
}

// RecordFailure records that a holder did not answer.
func (s *Selector) RecordFailure(now structs.Instant, vm structs.VMID) { s.failedAt[vm] = now }

// Sweep drops what is of no use any more.
func (s *Selector) Sweep(now structs.Instant) {
	maps.DeleteFunc(s.failedAt, func(_ structs.VMID, at structs.Instant) bool { return now.Sub(at) >= holderBackoff })
	maps.DeleteFunc(s.empty, func(_ bucketKey, b emptyBucket) bool { return now >= b.until && now >= b.hasToken })
}

func (s *Selector) hasFailed(now structs.Instant, vm structs.VMID) bool {
	at, hasFailed := s.failedAt[vm]
	return hasFailed && now.Sub(at) < holderBackoff
}

func keyOf(vm structs.VMID, r Request) bucketKey {
	return bucketKey{vm: vm, account: r.Account, startsProgram: r.StartsProgram}
}
