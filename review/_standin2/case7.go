package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	loopBudget = 810 // tokens of a program
	loopTurn   = 80  // the most tokens of a turn, which all turns generate
)

// loopingProgram is a program that starts sub-agents until its budget is spent.
type loopingProgram struct {
	site   *site
	name   string
	vms    []*vm // of its region
	main   *vm
	loops  bool // until it is stopped; else it ends after two rounds
	tokens atomic.Int64
	spent  atomic.Bool // a turn was answered 402
	failed atomic.Bool // a turn failed three times
}

// frozenHome plays programs, half of which loop, in a region of three machines of nine, while one machine
// after the other freezes and wakes again. The tokens handed to the clients of a program may
// not be more than its budget and one turn.
func frozenHome(s *site, withTrouble bool) int {
	s.putConfig(config())
	s.addRunners(8, streamOf(loopTurn/tokensPerEvent, 50*time.Millisecond), answerAfter(100*time.Millisecond))
	s.addVMs(9)
	s.startAll()
	time.Sleep(3 * time.Second)
	var vms []*vm
	for _, v := range s.vms {
		if v.zone == "kumasi-north" {
			vms = append(vms, v)
		}
	}
	const playFor = 75 * time.Second
	end := time.Now().Add(playFor)
	var programs []*loopingProgram
	var mu sync.Mutex
	var running sync.WaitGroup
	for worker := range 64 {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				p := &loopingProgram{site: s, name: fmt.Sprintf("p%d-%d", worker, n), vms: vms, main: vms[(worker+n)%len(vms)], loops: (worker+n)%2 == 0}
				mu.Lock()
				programs = append(programs, p)
				mu.Unlock()
				p.run()
			}
		})
	}
	for n := 0; withTrouble && time.Now().Before(end.Add(-4*time.Second)); n++ {
		time.Sleep(2900 * time.Millisecond)
		v := vms[n%len(vms)]
		s.record.printf("%s freezes", v.name)
		v.signal(syscall.SIGSTOP)
		time.Sleep(1100 * time.Millisecond)
		v.signal(syscall.SIGCONT)
		s.record.printf("%s wakes", v.name)
	}
	running.Wait()
	result, spent, failed, over := held, 0, 0, 0
	for _, p := range programs {
		tokens := p.tokens.Load()
		s.record.printf("program %s: %d tokens handed out of a budget of %d, 402 %v, failed %v", p.name, tokens, loopBudget, p.spent.Load(), p.failed.Load())
		if p.spent.Load() {
			spent++
		}
		if p.failed.Load() {
			failed++
		}
		if tokens > loopBudget+loopTurn {
			over++
			result = broken
			s.record.printf("program %s: BUDGET, %d tokens are over %d + %d", p.name, tokens, loopBudget, loopTurn)
		}
	}
	s.record.printf("%d programs, %d ended with 402, %d failed, %d over their budget and one turn", len(programs), spent, failed, over)
	if spent == 0 {
		return couldntRun
	}
	return result
}

func (p *loopingProgram) hasEnded() bool { return p.spent.Load() || p.failed.Load() }

// run runs turns and sub-agents until the budget is spent.
func (p *loopingProgram) run() {
	previous := ""
	for round := 0; (p.loops || round < 2) && !p.hasEnded(); round++ {
		previous = p.turn(p.main, "main", previous)
		if previous == "" {
			return
		}
		pause(150)
		var agents sync.WaitGroup
		for n := range 3 {
			// Some lines of turns come in through another machine.
			v := p.vms[(n+round)%len(p.vms)]
			agents.Go(func() { p.turn(v, fmt.Sprintf("agent-%d-%d", round, n), previous) })
		}
		agents.Wait()
		pause(150)
	}
}

// pause pauses for half of the given milliseconds to one and a half of them.
func pause(ms int) {
	time.Sleep(time.Duration(ms/2+rand.IntN(ms)) * time.Millisecond)
}

// turn sends a turn, three times at most, and returns its id if it was answered whole.
func (p *loopingProgram) turn(v *vm, session, previous string) string {
	for range 3 {
		for range 2 { // one retry of the client, after a promise
			if p.hasEnded() {
				return ""
			}
			a := p.site.sendTurn(v, turnRequest{path: "/plan/t", program: p.name, session: session, previous: previous, body: "input " + session + ";",
				budget: loopBudget, maxTokens: loopTurn, deadline: 4 * time.Second})
			p.tokens.Add(int64(len(a.events) * tokensPerEvent))
			p.site.record.printf("%s %s at %s: program %s, %s, previous %q: status %d, %d events, whole %v, %v", "turn", a.id, v.name, p.name, session, previous, a.status, len(a.events), a.isWhole, a.err)
			if a.isWhole {
				return a.id
			}
			if a.status == http.StatusPaymentRequired {
				p.spent.Store(true)
				return ""
			}
			if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
				break
			}
			time.Sleep(min(a.retryAfter, time.Second))
		}
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	}
	p.failed.Store(true)
	return ""
}
