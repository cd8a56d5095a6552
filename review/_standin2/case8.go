package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crashTurns = 4 // turns of a program
	crashTurn  = 80
	// crashedFor and contact are the length of a crash and contactMs.
	crashedFor = 4500 * time.Millisecond
	contact    = 4 * time.Second
)

// crashedRunners plays programs whose later turns have the same short input, while single
// runners crash, five in a row. Later on, a turn that continues one that was answered whole must reach
// a runner in less than five tries.
func crashedRunners(s *site, withTrouble bool) int {
	s.putConfig(config())
	engine := streamOf(crashTurn/tokensPerEvent, 60*time.Millisecond)
	engines, _ := s.addRunners(8, engine, answerAfter(100*time.Millisecond))
	var mu sync.Mutex // guards engines, programs
	s.addVMs(9)
	s.startAll()
	time.Sleep(5 * time.Second)
	begin := time.Now()
	const playFor = 75 * time.Second
	var calmSince atomic.Int64 // since when there was no disturbance, in ns after begin
	reached := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, one := range engines {
			if one.hasRun(id) {
				return true
			}
		}
		return false
	}
	var programs []*crashProgram
	var running sync.WaitGroup
	for worker := range 12 {
		running.Go(func() {
			time.Sleep(time.Duration(worker) * 100 * time.Millisecond)
			for n := 0; time.Since(begin) < playFor; n++ {
				p := &crashProgram{site: s, name: fmt.Sprintf("p%d-%d", worker, n), vm: s.vms[(worker+n)%len(s.vms)], reached: reached,
					isCalm: func(at time.Time) bool {
						since := calmSince.Load()
						return since >= 0 && at.Sub(begin) > time.Duration(since)+contact
					}}
				mu.Lock()
				programs = append(programs, p)
				mu.Unlock()
				p.run()
			}
		})
	}
	for n := range 5 {
		if !withTrouble {
			break
		}
		time.Sleep(4 * time.Second)
		calmSince.Store(-1)
		mu.Lock()
		victim := engines[0] // the busiest one that has not crashed yet
		for _, one := range engines[:8] {
			if !one.hasCrashed() && (victim.hasCrashed() || len(one.slots) > len(victim.slots)) {
				victim = one
			}
		}
		mu.Unlock()
		s.record.printf("%s crashes, %d requests in its slots", victim.id, len(victim.slots))
		victim.crash()
		time.Sleep(crashedFor)
		again := newRunner(victim.id+"-again", 16, engine)
		s.list(again, "rake-llm", zoneNames[n%len(zoneNames)])
		s.record.printf("it is back as %s", again.id)
		mu.Lock()
		engines = append(engines, again)
		mu.Unlock()
		calmSince.Store(int64(time.Since(begin)))
	}
	running.Wait()
	result, ended, lost, firstTries, firstReached := held, 0, 0, 0, 0
	for _, p := range programs {
		firstTries, firstReached = firstTries+p.firstTries, firstReached+p.firstReached
		if p.isEnded {
			ended++
		}
		if p.lostAt != "" {
			lost++
			result = broken
			s.record.printf("program %s: LOST, %s", p.name, p.lostAt)
		}
	}
	s.record.printf("%d programs, %d answered whole, %d with a turn that reached no runner in five tries; of %d tries of first turns in calm time %d reached one",
		len(programs), ended, lost, firstTries, firstReached)
	if ended == 0 || 10*firstReached < 9*firstTries {
		return couldntRun
	}
	return result
}

// crashProgram is a program whose later turns have a short input that other programs have too.
type crashProgram struct {
	site                     *site
	name                     string
	vm                       *vm
	reached                  func(id string) bool
	isCalm                   func(at time.Time) bool
	lostAt                   string
	isEnded                  bool
	firstTries, firstReached int
}

func (p *crashProgram) run() {
	begin, previous := time.Now(), ""
	for n := range crashTurns {
		input := "continue"
		if n == 0 {
			input = "plan the round of " + p.name
		}
		if previous = p.turn(begin, input, previous); previous == "" {
			return
		}
		pause(150)
	}
	p.isEnded = true
}

// aim returns when the program should have ended: see case 9.
func (p *crashProgram) aim() time.Duration {
	idle := crashTurns*(crashTurn/tokensPerEvent*60*time.Millisecond+wayTime) + (crashTurns-1)*150*time.Millisecond
	return time.Duration(aimFactor*float64(idle)) + aimObjective
}

// turn sends a turn, three times at most, each with one retry after a promise.
func (p *crashProgram) turn(programBegin time.Time, input, previous string) string {
	tries, answers, first := 0, "", time.Now()
	for range 3 {
		begin := time.Now()
		for range 2 {
			const budget = 4 * time.Second
			a := p.site.sendTurn(p.vm, turnRequest{path: "/plan/t", program: p.name, session: "main", previous: previous, body: input,
				budget: 2304, maxTokens: crashTurn, deadline: budget - time.Since(begin)})
			hasReached := p.reached(a.id)
			p.site.record.printf("turn %s at %s: program %s, %q, previous %q: status %d, %d events, whole %v, reached a runner %v, %v %s",
				a.id, p.vm.name, p.name, input, previous, a.status, len(a.events), a.isWhole, hasReached, a.err, a.refusal)
			if previous == "" && p.isCalm(first) {
				p.firstTries++
				if hasReached {
					p.firstReached++
				}
			}
			if a.isWhole {
				return a.id
			}
			if hasReached {
				tries = -100
			}
			tries++
			answers += fmt.Sprintf(" %d", a.status)
			if previous != "" && tries >= 5 && p.isCalm(first) && time.Since(programBegin) < p.aim() && p.lostAt == "" {
				p.lostAt = fmt.Sprintf("turn after %s, %d tries, answered%s", previous, tries, answers)
			}
			if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
				break
			}
			time.Sleep(min(a.retryAfter, (budget-time.Since(begin))/3))
		}
		pause(250)
	}
	return ""
}
