package borrower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/structs"
)

// batch is a message to one quota holder. accounts has the account of each request.
type batch struct {
	addr     string
	domain   int
	exchange quota.Exchange
	accounts []*account
	// isRedirected is true for a batch that follows a redirect. Further redirects of its
	// requests are not followed.
	isRedirected bool
}

// retireInterval is how often idle accounts are retired.
const retireInterval = time.Second

// renewLoop queues the loan requests that are due: at intervals for all accounts, and at
// once for accounts with a newly queued request or a new reply.
func (b *Borrower) renewLoop(ctx context.Context) error {
	timer := time.NewTimer(renewCheckInterval)
	defer timer.Stop()
	nextForget := b.opts.Now().Add(retireInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-b.wakeups.C():
			b.queueDueRequests(b.drainWakeups(a))
		case <-timer.C:
			b.queueDueRequests(b.activeAccounts())
			if now := b.opts.Now(); nextForget.Before(now) {
				b.retireIdleAccounts()
				nextForget = now.Add(retireInterval)
			}
			timer.Reset(renewCheckInterval*3/4 + rand.N(renewCheckInterval/2))
		}
	}
}

// drainWakeups returns the first account and all accounts that are queued for wake-up.
func (b *Borrower) drainWakeups(first *account) []*account {
	list := []*account{first}
	for {
		select {
		case a := <-b.wakeups.C():
			list = append(list, a)
		default:
			return list
		}
	}
}

type destination struct {
	addr   string
	domain int
}

// queueDueRequests queues the due requests of the accounts for the senders, in one batch for
// each quota holder. If the queue is full, a batch is dropped.
func (b *Borrower) queueDueRequests(accounts []*account) {
	batches := make(map[destination]*batch)
	for _, a := range accounts {
		for _, out := range a.dueRequests(b.opts.Now) {
			domain, slot := quota.DomainOfShare(out.Share), quota.SlotOfShare(a.id, out.Share, b.opts.Slots)
			to := destination{addr: b.resolver.resolve(domain, slot), domain: domain}
			if to.addr == "" {
				continue
			}
			group := batches[to]
			if group == nil {
				group = &batch{addr: to.addr, domain: to.domain, exchange: quota.Exchange{From: b.opts.Self}}
				batches[to] = group
			}
			group.exchange.Requests = append(group.exchange.Requests, quota.AccountRequest{Account: a.id, Share: out.Share, LoanRequest: out.LoanRequest})
			group.accounts = append(group.accounts, a)
		}
	}
	for _, group := range batches {
		if !b.batches.TryPut(*group) {
			messagesDroppedTotal.Inc()
		}
	}
}

func (b *Borrower) sendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case group := <-b.batches.C():
			b.send(ctx, group)
		}
	}
}

// send sends a batch and applies its reply.
func (b *Borrower) send(ctx context.Context, group batch) {
	ctx, cancel := context.WithTimeout(ctx, quota.DefaultPolicy.ReplyTimeout)
	defer cancel()
	var reply quota.ExchangeReply
	messagesTotal.Inc()
	if err := b.opts.Client.Call(ctx, group.addr, structs.MethodExchangeQuota, &group.exchange, &reply); err != nil {
		messagesFailedTotal.Inc()
		for _, in := range group.exchange.Requests {
			b.resolver.markFailed(group.domain, quota.SlotOfShare(in.Account, in.Share, b.opts.Slots))
		}
		return
	}
	b.applyReply(group, reply)
}

// requestKey identifies a request within a batch.
type requestKey struct {
	account structs.AccountID
	share   int
}

// applyReply applies the grants of a reply and forwards redirected requests.
func (b *Borrower) applyReply(group batch, reply quota.ExchangeReply) {
	index := make(map[requestKey]int, len(group.accounts))
	for i, in := range group.exchange.Requests {
		index[requestKey{account: in.Account, share: in.Share}] = i
	}
	redirected := make(map[string]*batch)
	for _, g := range reply.Grants {
		i, ok := index[requestKey{account: g.Account, share: g.Share}]
		if !ok {
			continue
		}
		a := group.accounts[i]
		if !g.IsRedirect {
			b.resolver.setOwner(group.domain, quota.SlotOfShare(a.id, g.Share, b.opts.Slots), group.addr)
			b.applyAccountGrant(a, g.Share, g.Grant)
			continue
		}
		b.resolver.setOwner(group.domain, quota.SlotOfShare(a.id, g.Share, b.opts.Slots), g.Owner)
		if g.Owner == "" || group.isRedirected {
			continue
		}
		next := redirected[g.Owner]
		if next == nil {
			next = &batch{addr: g.Owner, domain: group.domain, isRedirected: true, exchange: quota.Exchange{From: b.opts.Self}}
			redirected[g.Owner] = next
		}
		next.exchange.Requests = append(next.exchange.Requests, group.exchange.Requests[i])
		next.accounts = append(next.accounts, a)
	}
	for _, next := range redirected {
		if !b.batches.TryPut(*next) {
			messagesDroppedTotal.Inc()
		}
	}
}

// applyAccountGrant applies a grant and wakes up the account, which may have further
// requests due.
func (b *Borrower) applyAccountGrant(a *account, share int, grant quota.Grant) {
	if err := a.applyGrant(b.opts.Now, share, grant); err != nil {
		violationsTotal.Inc()
		b.opts.Log.Error("quota invariant violated", "account", a.id, "error", err)
	}
	b.wakeups.TryPut(a)
}
