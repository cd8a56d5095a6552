package quota

import "time"

var soakLimits = []Limit{{1, 1}, {1, 4}, {5, 2}, {10, 10}, {50, 20}, {200, 400}, {500, 50}, {2000, 4000}}

func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

// killVM kills the gateway and the scheduler of one VM and replaces them.
func (f *fleet) killVM(i int, lease time.Duration) {
	f.counts.kills++
	f.killGateway(i)
	f.killHolder(i, lease)
}

func (f *fleet) killGateway(i int) {
	g := f.gateways[i]
	g.dead = true
	f.counts.cutOff += len(g.waiters)
	f.gateways[i] = f.newGateway(g.domain)
}

func (f *fleet) killHolder(i int, lease time.Duration) {
	old := f.holders[i]
	old.dead = true
	f.holders[i] = &holder{proc: f.newProc(old.domain)}
	for share, current := range f.current {
		if current == i {
			f.succeedAfter(share, old, lease)
		}
	}
}

// succeedAfter lets a holder's lease of a share end after the given time and starts
// the next epoch at another scheduler of the domain.
func (f *fleet) succeedAfter(share int, old *holder, lease time.Duration) {
	if old.ends[share] < noEnd || old.lenders[share] == nil {
		return
	}
	old.ends[share] = f.t + lease
	f.at(lease, func() {
		f.counts.successions++
		next := old.domain*simVMs + f.rng.IntN(simVMs)
		if f.holders[next] == old || f.holders[next].frozen {
			next = old.domain*simVMs + f.rng.IntN(simVMs)
		}
		f.hold(share, next)
	})
}

func (f *fleet) freeze(p *proc, d time.Duration, resumed func()) {
	if p.frozen || p.dead {
		return
	}
	f.counts.freezes++
	p.frozen = true
	f.at(d, func() {
		p.frozen = false
		backlog := p.backlog
		p.backlog = nil
		for _, fn := range backlog {
			f.within(p, fn)
		}
		resumed()
	})
}

// reconfigure changes the limit; every process learns it within the delay.
func (f *fleet) reconfigure(limit Limit, delay time.Duration) {
	f.counts.reconfigs++
	f.meter.advance(f.t, f.larger())
	f.shadow.advance(f.t, f.larger())
	f.limit = limit
	for i := range f.gateways {
		g, h := f.gateways[i], f.holders[i]
		f.at(f.upTo(delay), func() {
			f.within(g.proc, func() {
				f.learn(g.proc)
				g.borrower.SetLimit(g.now(f.t), g.limit)
			})
		})
		f.at(f.upTo(delay), func() {
			f.within(h.proc, func() {
				f.learn(h.proc)
				for _, l := range h.lenders {
					if l != nil {
						l.SetLimit(h.now(f.t), h.limit)
					}
				}
			})
		})
	}
}

func (f *fleet) learn(p *proc) {
	f.meter.advance(f.t, f.larger())
	f.shadow.advance(f.t, f.larger())
	p.limit = f.limit
}

// fault injects one random fault.
func (f *fleet) fault() {
	i := f.rng.IntN(len(f.gateways))
	switch f.rng.IntN(8) {
	case 0:
		f.killVM(i, f.upTo(2*time.Second))
	case 1:
		f.counts.kills++
		f.killGateway(i)
	case 2:
		f.counts.kills++
		f.killHolder(i, f.upTo(2*time.Second))
	case 3:
		g := f.gateways[i]
		f.freeze(g.proc, f.upTo(6*time.Second), func() { f.pump(g) })
	case 4:
		h := f.holders[i]
		f.freeze(h.proc, f.upTo(6*time.Second), func() {})
		for share, current := range f.current {
			if current == i && f.rng.IntN(2) == 0 {
				f.succeedAfter(share, h, f.upTo(2*time.Second))
			}
		}
	case 5:
		share := f.rng.IntN(simShares)
		f.succeedAfter(share, f.holders[f.current[share]], 0)
	case 6:
		f.cutDomains()
	case 7:
		f.reconfigure(f.randomLimit(), 2*time.Second)
	}
}

func (f *fleet) cutDomains() {
	f.counts.cuts++
	from, to := f.rng.IntN(simDomains), f.rng.IntN(simDomains)
	both := f.rng.IntN(2) == 0
	f.cut[from][to] = true
	f.cut[to][from] = f.cut[to][from] || both
	f.at(f.upTo(8*time.Second), func() {
		f.cut[from][to] = false
		if both {
			f.cut[to][from] = false
		}
	})
}

func (f *fleet) randomLimit() Limit {
	return soakLimits[f.rng.IntN(len(soakLimits))]
}

// load offers Poisson arrivals for one step: a share of them to one hot
// gateway, the rest to all.
func (f *fleet) load(step time.Duration, perSecond float64, hot int, skew float64) {
	gap := func() time.Duration {
		return time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	for at := gap(); at < step; at += gap() {
		i := f.rng.IntN(len(f.gateways))
		if f.rng.Float64() < skew {
			i = hot
		}
		f.at(at, func() { f.request(f.gateways[i]) })
	}
}
