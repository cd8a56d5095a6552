// Package quotaclient admits requests by tokens that it takes in batches from
// the holder of each client account's quota.
//
// A token admits one request and expires a fixed time after the request that
// brought it was sent, by this process's clock, so that the holder, which
// counts from a later instant, never issues it again while it can be spent.
package quotaclient

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// Sizes and times of batches.
const (
	defaultMaxBatch = 32
	// batchSpan is how long a batch should last at the rate seen last.
	batchSpan = 50 * time.Millisecond
	// idleReturn is after how long without admission tokens are given back.
	idleReturn = 250 * time.Millisecond
	sweepEvery = 100 * time.Millisecond
	// takeTimeout bounds one request to a holder.
	takeTimeout = 3 * time.Second
	// maxEmpty bounds how long a holder's refusal is taken as valid without
	// asking again.
	maxEmpty = 100 * time.Millisecond
	// maxWaiting bounds the requests of one account that wait for a batch.
	maxWaiting = 1024
	minRetry   = 10 * time.Millisecond
)

// Take asks the holder of the account's quota. A batch that was lost on the
// way is not asked for again by the implementation.
type Take func(ctx context.Context, take structs.TakeQuota) (structs.QuotaGrant, error)

// Options configures a Client. Take and Holder are required.
type Options struct {
	Take     Take
	Holder   structs.Incarnation
	Clock    func() structs.Instant // nil means structs.Now
	MaxBatch int                    // tokens; 0 means 32
}

// Client admits requests of client accounts.
type Client struct {
	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	fetches sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	accounts map[structs.AccountID]*account
}

// New makes a client without tokens.
func New(opts Options) *Client {
	if opts.Clock == nil {
		opts.Clock = structs.Now
	}
	if opts.MaxBatch == 0 {
		opts.MaxBatch = defaultMaxBatch
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{opts: opts, ctx: ctx, cancel: cancel, accounts: make(map[structs.AccountID]*account)}
}

// Admit takes one token of the account, waiting for a batch when none is at
// hand. It returns nil when the request is admitted.
func (c *Client) Admit(ctx context.Context, id structs.AccountID) *structs.Refusal {
	wait, refusal := c.enter(id)
	if wait == nil {
		return refusal
	}
	select {
	case refusal := <-wait.answer:
		return refusal
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case refusal := <-wait.answer:
		if refusal == nil {
			c.giveBack(id, wait)
		}
	default:
		wait.gone = true
	}
	return structs.Refuse(structs.RefusedTimeout, structs.RunNo, "the request ended while it waited for admission")
}

// enter spends a token at hand, refuses, or returns a waiter.
func (c *Client) enter(id structs.AccountID) (*waiter, *structs.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, structs.Refuse(structs.RefusedNotReady, structs.RunNo, "the gateway is stopping")
	}
	now := c.opts.Clock()
	a := c.accounts[id]
	if a == nil {
		a = &account{id: id, last: now, counted: now}
		c.accounts[id] = a
	}
	if a.spend(now) != nil {
		return nil, nil
	}
	if now.Before(a.emptyUntil) {
		return nil, overRate(id, a.retryAt.Sub(now))
	}
	if len(a.waiting) >= maxWaiting {
		return nil, overRate(id, minRetry)
	}
	wait := &waiter{answer: make(chan *structs.Refusal, 1)}
	a.waiting = append(a.waiting, wait)
	c.fetch(a, now)
	return wait, nil
}

// giveBack restores the token of a request that ended before it used it.
func (c *Client) giveBack(id structs.AccountID, wait *waiter) {
	a := c.accounts[id]
	if a == nil || wait.from == nil {
		return
	}
	a.restore(c.opts.Clock(), wait.from)
}

// fetch asks the holder for a batch unless that is under way.
func (c *Client) fetch(a *account, now structs.Instant) {
	if a.fetching || c.closed {
		return
	}
	a.fetching = true
	take := structs.TakeQuota{Account: a.id, Want: a.want(now, c.opts.MaxBatch), Holder: c.opts.Holder}
	c.fetches.Add(1)
	go c.run(a, take, now)
}

func (c *Client) run(a *account, take structs.TakeQuota, sent structs.Instant) {
	defer c.fetches.Done()
	ctx, cancel := context.WithTimeout(c.ctx, takeTimeout)
	defer cancel()
	grant, err := c.opts.Take(ctx, take)
	c.mu.Lock()
	defer c.mu.Unlock()
	a.fetching = false
	now := c.opts.Clock()
	if err != nil {
		a.refuseAll(refusalOf(err))
		return
	}
	a.receive(now, sent, min(grant.Granted, take.Want), grant)
	if len(a.waiting) == 0 {
		return
	}
	if grant.Granted >= take.Want && sent.Add(grant.TTL) > now {
		c.fetch(a, now)
		return
	}
	a.markEmpty(now, grant.RetryAfter)
	a.refuseAll(overRate(a.id, grant.RetryAfter))
}

func overRate(id structs.AccountID, after time.Duration) *structs.Refusal {
	refusal := structs.Refuse(structs.RefusedOverRate, structs.RunNo, "client account %q is over its rate", id)
	refusal.RetryAfter = max(after, minRetry)
	return refusal
}

// refusalOf makes the refusal for requests whose batch failed. They have not
// run, whatever became of the request for the batch.
func refusalOf(err error) *structs.Refusal {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) && refusal.Kind == structs.RefusedForbidden {
		return refusal
	}
	return unreachable()
}

func unreachable() *structs.Refusal {
	refusal := structs.Refuse(structs.RefusedNotReady, structs.RunNo, "the quota of the client account cannot be reached")
	refusal.RetryAfter = time.Second
	return refusal
}
