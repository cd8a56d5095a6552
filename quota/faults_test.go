package quota

import "time"

var soakLimits = []Limit{{1, 1}, {1, 4}, {5, 2}, {10, 10}, {50, 20}, {200, 400}, {500, 50}, {2000, 4000}}

func (f *fleet) randomDuration(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

// killVM kills the gateway and the scheduler of one VM and starts new ones.
func (f *fleet) killVM(i int, lease time.Duration) {
	f.counts.kills++
	f.killGateway(i)
	f.killHolder(i, lease)
}

func (f *fleet) killGateway(i int) {
	g := f.gateways[i]
	g.isDead = true
	f.counts.abandoned += len(g.waiters)
	f.gateways[i] = f.newGateway(g.domain)
}

func (f *fleet) killHolder(i int, lease time.Duration) {
	old := f.holders[i]
	old.isDead = true
	f.holders[i] = &holder{proc: f.newProc(old.domain)}
	for share, current := range f.holderOf {
		if current == i {
			f.endLeaseAfter(share, old, lease)
		}
	}
}

// endLeaseAfter ends a holder's lease of a share after the given time and starts the next
// epoch, usually at another scheduler of the domain.
func (f *fleet) endLeaseAfter(share int, old *holder, lease time.Duration) {
	if old.leaseEnds[share] < noLeaseEnd || old.lenders[share] == nil {
		return
	}
	old.leaseEnds[share] = f.t + lease
	f.runAt(lease, func() {
		f.counts.takeovers++
		next := old.domain*simVMs + f.rng.IntN(simVMs)
		if f.holders[next] == old || f.holders[next].isFrozen {
			next = old.domain*simVMs + f.rng.IntN(simVMs)
		}
		f.startEpoch(share, next)
	})
}

func (f *fleet) freeze(p *proc, d time.Duration, resumed func()) {
	if p.isFrozen || p.isDead {
		return
	}
	f.counts.freezes++
	p.isFrozen = true
	f.runAt(d, func() {
		p.isFrozen = false
		backlog := p.backlog
		p.backlog = nil
		for _, fn := range backlog {
			f.runIn(p, fn)
		}
		resumed()
	})
}

// changeLimit changes the limit. Each process starts to use it at a random time within the
// delay.
func (f *fleet) changeLimit(limit Limit, delay time.Duration) {
	f.counts.limitChanges++
	f.boundBucket.advance(f.t, f.largestLimit())
	f.idealBucket.advance(f.t, f.largestLimit())
	f.limit = limit
	for i := range f.gateways {
		g, h := f.gateways[i], f.holders[i]
		f.runAt(f.randomDuration(delay), func() {
			f.runIn(g.proc, func() {
				f.updateLimit(g.proc)
				g.borrower.SetLimit(g.now(f.t), g.limit)
			})
		})
		f.runAt(f.randomDuration(delay), func() {
			f.runIn(h.proc, func() {
				f.updateLimit(h.proc)
				for _, l := range h.lenders {
					if l != nil {
						l.SetLimit(h.now(f.t), h.limit)
					}
				}
			})
		})
	}
}

func (f *fleet) updateLimit(p *proc) {
	f.boundBucket.advance(f.t, f.largestLimit())
	f.idealBucket.advance(f.t, f.largestLimit())
	p.limit = f.limit
}

// injectFault injects a random fault.
func (f *fleet) injectFault() {
	i := f.rng.IntN(len(f.gateways))
	switch f.rng.IntN(8) {
	case 0:
		f.killVM(i, f.randomDuration(2*time.Second))
	case 1:
		f.counts.kills++
		f.killGateway(i)
	case 2:
		f.counts.kills++
		f.killHolder(i, f.randomDuration(2*time.Second))
	case 3:
		g := f.gateways[i]
		f.freeze(g.proc, f.randomDuration(6*time.Second), func() { f.serveAndSend(g) })
	case 4:
		h := f.holders[i]
		f.freeze(h.proc, f.randomDuration(6*time.Second), func() {})
		for share, current := range f.holderOf {
			if current == i && f.rng.IntN(2) == 0 {
				f.endLeaseAfter(share, h, f.randomDuration(2*time.Second))
			}
		}
	case 5:
		share := f.rng.IntN(simShares)
		f.endLeaseAfter(share, f.holders[f.holderOf[share]], 0)
	case 6:
		f.cutConnection()
	case 7:
		f.changeLimit(f.randomLimit(), 2*time.Second)
	}
}

// cutConnection drops the messages from one domain to another for a random time, and in half
// of the cases also those in the opposite direction.
func (f *fleet) cutConnection() {
	f.counts.partitions++
	from, to := f.rng.IntN(simDomains), f.rng.IntN(simDomains)
	both := f.rng.IntN(2) == 0
	f.isCut[from][to] = true
	f.isCut[to][from] = f.isCut[to][from] || both
	f.runAt(f.randomDuration(8*time.Second), func() {
		f.isCut[from][to] = false
		if both {
			f.isCut[to][from] = false
		}
	})
}

func (f *fleet) randomLimit() Limit {
	return soakLimits[f.rng.IntN(len(soakLimits))]
}

// offerRandomLoad sends requests with Poisson arrivals during one step. The fraction skew of
// them goes to the gateway hot, the rest to random gateways.
func (f *fleet) offerRandomLoad(step time.Duration, perSecond float64, hot int, skew float64) {
	gap := func() time.Duration {
		return time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	for at := gap(); at < step; at += gap() {
		i := f.rng.IntN(len(f.gateways))
		if f.rng.Float64() < skew {
			i = hot
		}
		f.runAt(at, func() { f.request(f.gateways[i]) })
	}
}
