package borrower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/structs"
)

// batch is what goes to one holder in one message.
type batch struct {
	addr     string
	domain   int
	exchange quota.Exchange
	accounts []*account
	// redirected is set on a batch that follows a redirect; it follows no other.
	redirected bool
}

// forgetEvery is how often idle accounts are looked for.
const forgetEvery = time.Second

// renewLoop collects the requests that are due: of all accounts at intervals,
// and at once of those whose callers began to wait.
func (b *Borrower) renewLoop(ctx context.Context) error {
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	nextForget := b.opts.Now().Add(forgetEvery)
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-b.kicks.C():
			b.dispatch(b.kicked(a))
		case <-timer.C:
			b.dispatch(b.inUse())
			if now := b.opts.Now(); nextForget.Before(now) {
				b.forget()
				nextForget = now.Add(forgetEvery)
			}
			timer.Reset(tickEvery*3/4 + rand.N(tickEvery/2))
		}
	}
}

// kicked gathers the accounts that wait in the ring along with the first.
func (b *Borrower) kicked(first *account) []*account {
	list := []*account{first}
	for {
		select {
		case a := <-b.kicks.C():
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

// dispatch hands the due requests of the accounts to the senders, one message
// for each holder.
func (b *Borrower) dispatch(accounts []*account) {
	batches := make(map[destination]*batch)
	for _, a := range accounts {
		for _, out := range a.asks(b.opts.Now) {
			domain, slot := quota.DomainOfShare(out.Share), quota.SlotOfShare(a.id, out.Share, b.opts.Slots)
			to := destination{addr: b.routes.find(domain, slot), domain: domain}
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
			dropped.Inc()
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

func (b *Borrower) send(ctx context.Context, group batch) {
	ctx, cancel := context.WithTimeout(ctx, quota.DefaultPolicy.ReplyTimeout)
	defer cancel()
	var reply quota.ExchangeReply
	sent.Inc()
	if err := b.opts.Client.Call(ctx, group.addr, structs.MethodExchangeQuota, &group.exchange, &reply); err != nil {
		failed.Inc()
		for _, in := range group.exchange.Requests {
			b.routes.forget(group.domain, quota.SlotOfShare(in.Account, in.Share, b.opts.Slots))
		}
		return
	}
	b.takeAll(group, reply)
}

// asked names what a request was about.
type asked struct {
	account structs.AccountID
	share   int
}

// takeAll applies the grants of a reply and sends redirected requests on.
func (b *Borrower) takeAll(group batch, reply quota.ExchangeReply) {
	index := make(map[asked]int, len(group.accounts))
	for i, in := range group.exchange.Requests {
		index[asked{account: in.Account, share: in.Share}] = i
	}
	onward := make(map[string]*batch)
	for _, g := range reply.Grants {
		i, ok := index[asked{account: g.Account, share: g.Share}]
		if !ok {
			continue
		}
		a := group.accounts[i]
		if !g.IsRedirect {
			b.routes.learn(group.domain, quota.SlotOfShare(a.id, g.Share, b.opts.Slots), group.addr)
			b.take(a, g.Share, g.Grant)
			continue
		}
		b.routes.learn(group.domain, quota.SlotOfShare(a.id, g.Share, b.opts.Slots), g.Owner)
		if g.Owner == "" || group.redirected {
			continue
		}
		next := onward[g.Owner]
		if next == nil {
			next = &batch{addr: g.Owner, domain: group.domain, redirected: true, exchange: quota.Exchange{From: b.opts.Self}}
			onward[g.Owner] = next
		}
		next.exchange.Requests = append(next.exchange.Requests, group.exchange.Requests[i])
		next.accounts = append(next.accounts, a)
	}
	for _, next := range onward {
		if !b.batches.TryPut(*next) {
			dropped.Inc()
		}
	}
}

func (b *Borrower) take(a *account, share int, grant quota.Grant) {
	if err := a.apply(b.opts.Now, share, grant); err != nil {
		violations.Inc()
		b.opts.Log.Error("quota invariant violated", "account", a.id, "error", err)
	}
	b.kicks.TryPut(a)
}
