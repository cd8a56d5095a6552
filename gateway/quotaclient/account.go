package quotaclient

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// batch is what is left of one grant.
type batch struct {
	grant   uint64
	left    int
	expires structs.Instant
}

// waiter is one request that waits for a batch.
type waiter struct {
	answer chan *structs.Refusal // of capacity 1
	from   *batch                // that the token came from
	gone   bool
}

// account is the state of one client account. Client.mu guards it.
type account struct {
	id       structs.AccountID
	batches  []*batch
	waiting  []*waiter
	fetching bool
	last     structs.Instant // of the last admission
	// counted and spent measure the rate of admissions.
	counted    structs.Instant
	spent      int
	emptyUntil structs.Instant
	retryAt    structs.Instant
}

// expire drops batches whose tokens are no longer valid.
func (a *account) expire(now structs.Instant) {
	kept := a.batches[:0]
	for _, b := range a.batches {
		if now.Before(b.expires) && b.left > 0 {
			kept = append(kept, b)
		}
	}
	clear(a.batches[len(kept):])
	a.batches = kept
}

// spend takes one valid token and returns the batch it came from, or nil.
func (a *account) spend(now structs.Instant) *batch {
	a.expire(now)
	if len(a.batches) == 0 {
		return nil
	}
	b := a.batches[0]
	b.left--
	a.spent++
	a.last = now
	return b
}

func (a *account) restore(now structs.Instant, b *batch) {
	if !now.Before(b.expires) {
		return
	}
	b.left++
	for _, known := range a.batches {
		if known == b {
			return
		}
	}
	a.batches = append(a.batches, b)
}

// want returns how many tokens to ask for: those that wait now, and what
// batchSpan needs at the rate seen since the last fetch.
func (a *account) want(now structs.Instant, most int) int {
	elapsed := max(now.Sub(a.counted), time.Millisecond)
	ahead := int(math.Floor(float64(a.spent) * float64(batchSpan) / float64(elapsed)))
	a.counted, a.spent = now, 0
	return max(1, min(most, max(len(a.waiting), ahead)))
}

// receive adds a grant and serves those that wait, in order.
func (a *account) receive(now, sent structs.Instant, granted int, grant structs.QuotaGrant) {
	expires := sent.Add(grant.TTL)
	if granted > 0 && now.Before(expires) {
		a.batches = append(a.batches, &batch{grant: grant.Grant, left: granted, expires: expires})
	}
	for len(a.waiting) > 0 {
		first := a.waiting[0]
		if first.gone {
			a.waiting = a.waiting[1:]
			continue
		}
		b := a.spend(now)
		if b == nil {
			return
		}
		first.from = b
		a.waiting = a.waiting[1:]
		first.answer <- nil
	}
}

func (a *account) refuseAll(refusal *structs.Refusal) {
	for _, w := range a.waiting {
		if !w.gone {
			w.answer <- refusal
		}
	}
	a.waiting = nil
}

func (a *account) markEmpty(now structs.Instant, retry time.Duration) {
	a.emptyUntil = now.Add(min(retry, maxEmpty))
	a.retryAt = now.Add(retry)
}

// unused takes all valid tokens out of the account.
func (a *account) unused(now structs.Instant) []*batch {
	a.expire(now)
	taken := a.batches
	a.batches = nil
	return taken
}
