package scheduler

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// quotaTTL is how long a grant may be used.
const quotaTTL = time.Second

// localQuota gives out this domain's even share of each account's rate and
// burst. What is granted and neither returned nor expired counts against the
// burst, so that late use never adds up to more than the share.
type localQuota struct {
	opts Options
	now  func() structs.Instant

	mu      sync.Mutex
	last    uint64
	buckets map[structs.AccountID]*bucket
}

type bucket struct {
	epoch   structs.Epoch
	tokens  float64
	at      structs.Instant
	opensAt structs.Instant // grants of an earlier owner have expired
	grants  map[uint64]grant
}

type grant struct {
	tokens  int
	expires structs.Instant
}

func newLocalQuota(opts Options) *localQuota {
	return &localQuota{opts: opts, now: structs.Now, buckets: make(map[structs.AccountID]*bucket)}
}

// TakeQuota grants at most what is wanted and at hand.
func (q *localQuota) TakeQuota(_ context.Context, req structs.TakeQuota) (structs.QuotaGrant, error) {
	none := structs.QuotaGrant{}
	slot := structs.SlotOf(string(req.Account), q.opts.Settings.Lease.Slots)
	epoch, held := q.opts.Ownership.Held(slot)
	if !held {
		refusal := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "slot of account %q is not owned here", req.Account)
		refusal.Owner = q.opts.Ownership.OwnerAddr(slot)
		return none, refusal
	}
	snapshot := q.opts.Config()
	if snapshot == nil {
		return none, notReady("no configuration is in force yet")
	}
	account, known := snapshot.Account(req.Account)
	if !known {
		return none, structs.Refuse(structs.RefusedForbidden, structs.RunNo, "account %q does not exist", req.Account)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.take(req, account, epoch), nil
}

func (q *localQuota) take(req structs.TakeQuota, account config.Account, epoch structs.Epoch) structs.QuotaGrant {
	now := q.now()
	rate, burst := q.share(account)
	b := q.buckets[req.Account]
	if b == nil || b.epoch != epoch {
		b = &bucket{epoch: epoch, at: now, opensAt: now, grants: make(map[uint64]grant)}
		if epoch > 1 {
			b.opensAt = now.Add(quotaTTL)
		} else {
			b.tokens = burst
		}
		q.buckets[req.Account] = b
	}
	b.expire(now)
	b.giveBack(req.ReturnedGrant, req.Returned)
	b.refill(now, rate, burst)
	granted := min(req.Want, int(b.tokens))
	if granted <= 0 {
		return structs.QuotaGrant{RetryAfter: b.wait(now, rate)}
	}
	b.tokens -= float64(granted)
	q.last++
	b.grants[q.last] = grant{tokens: granted, expires: now.Add(quotaTTL)}
	return structs.QuotaGrant{Grant: q.last, Granted: granted, TTL: quotaTTL}
}

func (b *bucket) expire(now structs.Instant) {
	for id, g := range b.grants {
		if now >= g.expires {
			delete(b.grants, id)
		}
	}
}

// giveBack takes unused tokens of a grant back, once.
func (b *bucket) giveBack(id uint64, returned int) {
	g, found := b.grants[id]
	if !found || returned <= 0 {
		return
	}
	returned = min(returned, g.tokens)
	g.tokens -= returned
	b.grants[id] = g
	b.tokens += float64(returned)
}

func (b *bucket) refill(now structs.Instant, rate, burst float64) {
	from := max(b.at, b.opensAt)
	if now > from {
		b.tokens += rate * now.Sub(from).Seconds()
	}
	b.at = now
	outstanding := 0
	for _, g := range b.grants {
		outstanding += g.tokens
	}
	b.tokens = max(0, min(b.tokens, burst-float64(outstanding)))
}

func (b *bucket) wait(now structs.Instant, rate float64) time.Duration {
	if rate <= 0 {
		return time.Minute
	}
	wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	if now < b.opensAt {
		wait += b.opensAt.Sub(now)
	}
	return max(wait, time.Millisecond)
}

// share returns this domain's part of an account's rate and burst. The bursts
// of all domains add up to the account's.
func (q *localQuota) share(account config.Account) (rate, burst float64) {
	domains := make([]string, 0, len(q.opts.Settings.Schedulers))
	for id := range q.opts.Settings.Schedulers {
		domains = append(domains, string(id))
	}
	if len(domains) == 0 {
		return account.Rate, float64(account.Burst)
	}
	sort.Strings(domains)
	own := sort.SearchStrings(domains, string(q.opts.Settings.Domain))
	tokens := account.Burst / len(domains)
	if own < account.Burst%len(domains) {
		tokens++
	}
	return account.Rate / float64(len(domains)), float64(tokens)
}
