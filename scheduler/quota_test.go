package scheduler

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// fixedOwner owns every slot under one epoch.
type fixedOwner struct{ epoch structs.Epoch }

func (f *fixedOwner) Held(structs.Slot) (structs.Epoch, bool) { return f.epoch, f.epoch > 0 }
func (f *fixedOwner) OwnerAddr(structs.Slot) string           { return "elsewhere:1" }
func (f *fixedOwner) Changes() <-chan journal.Change          { return nil }

func testQuota(rate float64, burst int, now *structs.Instant, owner *fixedOwner) *localQuota {
	snapshot := &fakeSnapshot{doc: config.Document{Accounts: map[structs.AccountID]config.Account{"acme": {Rate: rate, Burst: burst}}}}
	q := newLocalQuota(Options{Settings: testSettings("one:1"), Ownership: owner, Config: func() Snapshot { return snapshot }})
	q.now = func() structs.Instant { return *now }
	return q
}

func TestQuotaOnlyAtTheOwner(t *testing.T) {
	now := structs.Instant(1)
	q := testQuota(1, 1, &now, &fixedOwner{})
	_, err := q.TakeQuota(context.Background(), structs.TakeQuota{Account: "acme", Want: 1})
	assert.Equal(t, refusalOf(err).Kind, structs.RefusedNotOwner)
	assert.Equal(t, refusalOf(err).Owner, "elsewhere:1")
}

func TestSharesOfDomainsAddUp(t *testing.T) {
	rate, burst := 0.0, 0.0
	for _, domain := range []structs.DomainID{"north", "south", "west"} {
		daemon := testSettings("one:1")
		daemon.Domain = domain
		daemon.Schedulers = map[structs.DomainID][]string{"north": nil, "south": nil, "west": nil}
		r, b := newLocalQuota(Options{Settings: daemon}).share(config.Account{Rate: 10, Burst: 5})
		rate += r
		burst += b
	}
	assert.Assert(t, rate <= 10.0001)
	assert.Equal(t, burst, 5.0)
}

// Tokens may be used at any time until they expire, and the owner may change:
// over every window, the uses stay within rate and burst.
func TestQuotaOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(rt, "rate"))
		burst := rapid.IntRange(1, 10).Draw(rt, "burst")
		now := structs.Instant(1)
		owner := &fixedOwner{epoch: 1}
		q := testQuota(rate, burst, &now, owner)
		type held struct {
			grant   structs.QuotaGrant
			left    int
			expires structs.Instant
		}
		var grants []held
		var uses []structs.Instant
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(rt, "delay")) * time.Millisecond)
			req := structs.TakeQuota{Account: "acme", Want: rapid.IntRange(0, 12).Draw(rt, "want")}
			for i := range grants {
				g := &grants[i]
				switch rapid.IntRange(0, 3).Draw(rt, "use") {
				case 0:
					if now < g.expires {
						for ; g.left > 0; g.left-- {
							uses = append(uses, now)
						}
					}
				case 1:
					req.Returned, req.ReturnedGrant = g.left, g.grant.Grant
					g.left = 0
				}
				if req.Returned > 0 {
					break
				}
			}
			if rapid.IntRange(0, 15).Draw(rt, "owner") == 0 {
				owner.epoch++
				q = testQuota(rate, burst, &now, owner)
				continue
			}
			grant, err := q.TakeQuota(context.Background(), req)
			if err != nil {
				rt.Fatal(err)
			}
			grants = append(grants, held{grant: grant, left: grant.Granted, expires: now.Add(grant.TTL)})
		}
		for first := range uses {
			for last := first; last < len(uses); last++ {
				span := uses[last].Sub(uses[first]).Seconds()
				if count := float64(last - first + 1); count > rate*span+float64(burst)+1e-6 {
					rt.Fatalf("%v uses in %v s at rate %v and burst %v", count, span, rate, burst)
				}
			}
		}
	})
}

func TestNewOwnerWaitsForGrantsOfTheOld(t *testing.T) {
	now := structs.Instant(1)
	owner := &fixedOwner{epoch: 1}
	take := func(q *localQuota) int {
		grant, err := q.TakeQuota(context.Background(), structs.TakeQuota{Account: "acme", Want: 5})
		assert.NilError(t, err)
		return grant.Granted
	}
	assert.Equal(t, take(testQuota(10, 5, &now, owner)), 5)
	owner.epoch = 2
	next := testQuota(10, 5, &now, owner)
	assert.Equal(t, take(next), 0)
	now = now.Add(quotaTTL - time.Millisecond)
	assert.Equal(t, take(next), 0)
	now = now.Add(quotaTTL)
	assert.Equal(t, take(next), 5)
}
