package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exactTurns  = 10 // turns of a program
	exactTurn   = 80 // the most tokens of a turn, which all turns generate
	exactBudget = exactTurns * exactTurn
	exactGap    = 120 * time.Millisecond // between two events
	exactPause  = 300                    // ms, mean of the pause for tools
	// wayTime and aimFactor are those of the sheet: a program's aim is 1.4 x its time on idle
	// runners, with 72 ms a turn for the way, and the objective of 250 ms.
	wayTime      = 72 * time.Millisecond
	aimFactor    = 1.4
	aimObjective = 250 * time.Millisecond
)

// exactProgram is a program whose budget holds all of its turns, and no more.
type exactProgram struct {
	name    string
	begin   time.Time
	turns   int
	lostAt  string // the turn that reached no runner in five tries before the aim
	isEnded bool
	// firstTries are the tries of its first turn, firstReached those that reached a runner.
	firstTries, firstReached int
}

// stoppedHome plays programs whose budget holds just their turns, at two machines, while a third
// machine is stopped and started. A turn that continues one that was answered whole must reach a
// runner in less than five tries.
func stoppedHome(s *site, withTrouble bool) int {
	s.putConfig(config())
	engines, _ := s.addRunners(8, streamOf(exactTurn/tokensPerEvent, exactGap), answerAfter(100*time.Millisecond))
	s.addVMs(9)
	s.startAll()
	time.Sleep(5 * time.Second) // all machines are in touch from here on
	region := s.inZone("kumasi-north")
	stopped, vms := region[0], region[1:]
	begin := time.Now()
	const playFor = 38 * time.Second
	var programs []*exactProgram
	var mu sync.Mutex
	var running sync.WaitGroup
	reached := func(id string) bool {
		for _, engine := range engines {
			if engine.hasRun(id) {
				return true
			}
		}
		return false
	}
	watched := make(chan struct{})
	var mostUsed atomic.Int64
	go func() {
		for {
			used := 0
			for _, engine := range engines {
				used += len(engine.slots)
			}
			mostUsed.Store(max(mostUsed.Load(), int64(used)))
			select {
			case <-watched:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	for worker := range 48 {
		running.Go(func() {
			time.Sleep(time.Duration(worker) * 250 * time.Millisecond)
			for n := 0; time.Since(begin) < playFor; n++ {
				p := &exactProgram{name: fmt.Sprintf("p%d-%d", worker, n), begin: time.Now()}
				mu.Lock()
				programs = append(programs, p)
				mu.Unlock()
				s.playExact(p, vms[(worker+n)%len(vms)], reached)
			}
		})
	}
	for withTrouble && time.Since(begin) < playFor-15*time.Second {
		time.Sleep(5 * time.Second)
		s.record.printf("SIGTERM to %s", stopped.name)
		stopped.end(syscall.SIGTERM)
		stopped.start()
	}
	running.Wait()
	close(watched)
	result, ended, lost, tries, reaching := held, 0, 0, 0, 0
	for _, p := range programs {
		tries, reaching = tries+p.firstTries, reaching+p.firstReached
		if p.isEnded {
			ended++
		}
		if p.lostAt != "" {
			lost++
			result = broken
			s.record.printf("program %s: LOST, after %d turns: %s", p.name, p.turns, p.lostAt)
		}
	}
	s.record.printf("%d programs, %d answered whole, %d with a turn that reached no runner in five tries before the aim", len(programs), ended, lost)
	s.record.printf("of %d tries of first turns %d reached a runner; at most %d of %d slots of the engines were in use", tries, reaching, mostUsed.Load(), 16*len(engines))
	if ended == 0 || 10*reaching < 9*tries || int(2*mostUsed.Load()) >= 16*len(engines) {
		return couldntRun // the rule holds only while the runners are under half full and first turns reach them
	}
	return result
}

// aim returns when the program should have ended, by the time that its turns and pauses take.
func (p *exactProgram) aim() time.Duration {
	idle := exactTurns*(time.Duration(exactTurn/tokensPerEvent)*exactGap+wayTime) + (exactTurns-1)*exactPause*time.Millisecond
	return time.Duration(aimFactor*float64(idle)) + aimObjective
}

// playExact runs the turns of a program one after the other.
func (s *site) playExact(p *exactProgram, v *vm, reached func(id string) bool) {
	previous := ""
	for p.turns < exactTurns {
		id := s.playExactTurn(p, v, previous, reached)
		if id == "" {
			return
		}
		previous = id
		p.turns++
		if p.turns < exactTurns {
			pause(exactPause)
		}
	}
	p.isEnded = true
}

// playExactTurn sends a turn, three times at most, each with one retry after a promise, and
// returns its id if it was answered whole.
func (s *site) playExactTurn(p *exactProgram, v *vm, previous string, reached func(id string) bool) string {
	tries, answers := 0, ""
	for range 3 {
		begin := time.Now()
		for range 2 {
			const budget = 4 * time.Second
			a := s.sendTurn(v, turnRequest{path: "/plan/t", program: p.name, session: "main", previous: previous, body: fmt.Sprintf("input %d;", p.turns),
				budget: exactBudget, maxTokens: exactTurn, deadline: budget - time.Since(begin)})
			hasReached := reached(a.id)
			s.record.printf("turn %s at %s: program %s, previous %q: status %d, %d events, whole %v, reached a runner %v, %v %s",
				a.id, v.name, p.name, previous, a.status, len(a.events), a.isWhole, hasReached, a.err, a.refusal)
			if previous == "" {
				p.firstTries++
				if hasReached {
					p.firstReached++
				}
			}
			if a.isWhole {
				return a.id
			}
			if hasReached {
				tries = -100 // it counts only if no try reaches a runner
			}
			tries++
			answers += fmt.Sprintf(" %d", a.status)
			if previous != "" && tries >= 5 && time.Since(p.begin) < p.aim() && p.lostAt == "" {
				p.lostAt = fmt.Sprintf("turn after %s, %d tries, answered%s, %.1f s after the program's begin, aim %.1f s",
					previous, tries, answers, time.Since(p.begin).Seconds(), p.aim().Seconds())
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
