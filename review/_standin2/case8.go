package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	movedBudget = 800 // tokens of a program
	movedTurn   = 100 // the most tokens of a turn, which all turns generate
)

// movingProgram is a program that loops, whose turns the system does not keep.
type movingProgram struct {
	site          *site
	name          string
	tokens        atomic.Int64
	spent, failed bool
}

// movedClients plays programs that loop, whose turns the system does not keep. The platform's
// store goes down, and meanwhile half of the clients of a zone move to a zone of another region.
func movedClients(s *site, withTrouble bool) int {
	s.putConfig(config())
	s.addRunners(8, streamOf(movedTurn/tokensPerEvent, 20*time.Millisecond), answerAfter(100*time.Millisecond))
	s.addVMs(9)
	s.startAll()
	time.Sleep(3 * time.Second)
	near, far := s.inZone("kumasi-north"), s.inZone("accra-central")
	var haveMoved atomic.Bool
	begin := time.Now()
	var programs []*movingProgram
	var mu sync.Mutex
	var running sync.WaitGroup
	for worker := range 120 {
		running.Go(func() {
			time.Sleep(time.Duration(worker) * 25 * time.Millisecond)
			for n := 0; time.Since(begin) < 24*time.Second; n++ {
				p := &movingProgram{site: s, name: fmt.Sprintf("p%d-%d", worker, n)}
				mu.Lock()
				programs = append(programs, p)
				mu.Unlock()
				p.run(func() *vm {
					if worker%2 == 0 && haveMoved.Load() {
						return far[worker%len(far)]
					}
					return near[worker%len(near)]
				})
			}
		})
	}
	if withTrouble {
		time.Sleep(8 * time.Second)
		s.setStoreSilent(true)
		time.Sleep(3300 * time.Millisecond)
		haveMoved.Store(true)
		s.record.printf("half of the clients of kumasi-north move to accra-central")
		time.Sleep(3700 * time.Millisecond)
		s.setStoreSilent(false)
		time.Sleep(2 * time.Second)
		haveMoved.Store(false)
		s.record.printf("the clients are back in kumasi-north")
	}
	running.Wait()
	result, spent, failed, over := held, 0, 0, 0
	for _, p := range programs {
		tokens := p.tokens.Load()
		s.record.printf("program %s: %d tokens handed out of a budget of %d, 402 %v, failed %v", p.name, tokens, movedBudget, p.spent, p.failed)
		if p.spent {
			spent++
		}
		if p.failed {
			failed++
		}
		if tokens > movedBudget+movedTurn {
			over++
			result = broken
			s.record.printf("program %s: BUDGET, %d tokens are over %d + %d", p.name, tokens, movedBudget, movedTurn)
		}
	}
	s.record.printf("%d programs, %d ended with 402, %d failed, %d over their budget and one turn", len(programs), spent, failed, over)
	if spent == 0 {
		return couldntRun
	}
	return result
}

// inZone returns the machines of a zone.
func (s *site) inZone(zone string) []*vm {
	var vms []*vm
	for _, v := range s.vms {
		if v.zone == zone {
			vms = append(vms, v)
		}
	}
	return vms
}

// setStoreSilent takes the platform's store down, or up again.
func (s *site) setStoreSilent(isSilent bool) {
	for _, v := range s.vms {
		v.storeServer.isSilent.Store(isSilent)
	}
	s.record.printf("the platform's store is down and silent: %v", isSilent)
}

// run runs turns until the budget is spent, at the machine of the client's zone.
func (p *movingProgram) run(machine func() *vm) {
	for n := 0; !p.spent && !p.failed; n++ {
		p.turn(machine, n)
		pause(60)
	}
}

// turn sends a turn, three times at most.
func (p *movingProgram) turn(machine func() *vm, n int) {
	for range 3 {
		begin := time.Now()
		for range 2 { // one retry of the client, after a promise
			v := machine()
			left := 3*time.Second - time.Since(begin)
			a := p.site.sendTurn(v, turnRequest{path: "/check/t", program: p.name, session: "main", body: fmt.Sprintf("the whole prompt %d;", n),
				budget: movedBudget, maxTokens: movedTurn, deadline: left})
			p.tokens.Add(int64(len(a.events) * tokensPerEvent))
			p.site.record.printf("turn %s at %s: program %s: status %d, %d events, whole %v, %v", a.id, v.name, p.name, a.status, len(a.events), a.isWhole, a.err)
			if a.isWhole {
				return
			}
			if a.status == http.StatusPaymentRequired {
				p.spent = true
				return
			}
			if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
				break
			}
			time.Sleep(min(a.retryAfter, (3*time.Second-time.Since(begin))/3))
		}
		pause(250)
	}
	p.failed = true
}
