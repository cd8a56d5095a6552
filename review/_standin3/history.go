package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recoveryTime  = 12 * time.Second // recoveryS of the users' sheet
	lastPart      = 4 * time.Second  // of the recovery, in which other turns are judged
	programPeriod = time.Second
	longTurns     = 100 // of each conversation
	conversations = 36
	otherPrograms = 5 // that begin in a second
)

// longHistory runs some long conversations, kills all processes and continues each conversation
// in new programs, beside other programs that begin.
func longHistory(r *record, hasTrouble bool) (bool, error) {
	s, err := newSite(r, storeLimits{delay: 4 * time.Millisecond, readsPerS: 2000, writesPerS: 800})
	if err != nil {
		return false, err
	}
	defer s.close()
	config := manifest(
		[]map[string]any{{"name": "chat", "host": host, "pathPrefix": "/chat/", "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 0, "service": "engine", "maxAttempts": 2, "retained": true, "retentionS": 60.0, "sticky": true, "targetGapMs": 150}},
		[]map[string]any{{"name": "engine", "healthPath": "/healthz", "maxConnections": 160, "engine": map[string]any{"chunkTokens": chunkTokens}}},
	)
	if err := s.putConfig(config); err != nil {
		return false, err
	}
	var runners []*runner
	for i, zone := range []string{"near-a", "near-b"} {
		one := &runner{id: fmt.Sprintf("i-%d", i), service: "engine", zone: zone, slots: 16, queue: 48, stream: true, events: 3, pause: 2 * time.Millisecond}
		if err := s.addRunner(one); err != nil {
			return false, err
		}
		runners = append(runners, one)
	}
	if err := s.addVMs(154, "near-a", "near-b", "near-b"); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newClient(s)
	last, err := converse(s, c)
	if err != nil {
		return false, err
	}
	if hasTrouble {
		for _, v := range s.vms {
			v.kill()
		}
		r.line("trouble: all processes are killed")
		time.Sleep(restartDelay + 200*time.Millisecond)
		for _, v := range s.vms {
			if err := v.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	r.line("platform: all machines are back")
	var others, othersServed atomic.Int64
	var all sync.WaitGroup
	for i := range conversations { // one new program after the other continues a conversation
		all.Go(func() {
			for time.Since(back) < recoveryTime && !tryTurn(s, c, i, "program-"+newID(), last[i], back) {
				time.Sleep(programPeriod)
			}
		})
	}
	for time.Since(back) < recoveryTime {
		for i := range otherPrograms {
			isLast := time.Since(back) > recoveryTime-lastPart
			all.Go(func() {
				isWhole := tryTurn(s, c, i, "other-"+newID(), "", back)
				if isLast {
					others.Add(1)
					if isWhole {
						othersServed.Add(1)
					}
				}
			})
		}
		time.Sleep(programPeriod)
	}
	all.Wait()
	calls, refused, slowest := s.store.stats()
	unserved := 0
	for i := range last {
		reached := false
		for _, one := range runners {
			one.mu.Lock()
			for _, each := range one.runs {
				reached = reached || each.previous == last[i]
			}
			one.mu.Unlock()
		}
		if !reached {
			unserved++
			r.line("judge: the turn that continues %s, the last of a conversation of %d turns, has reached no runner by recoveryS", last[i], longTurns)
		}
	}
	r.line("judge: %d of %d conversations were not continued by recoveryS; %d of %d other turns of the last 4 s were served; %d reading calls of the store, %d refused for the rate, the slowest call of the store took %d ms", unserved, conversations, othersServed.Load(), others.Load(), calls, refused, slowest.Milliseconds())
	return unserved > 0 && 5*othersServed.Load() >= 4*others.Load(), nil
}

// converse runs conversations of some turns at once and returns the last turn of each.
func converse(s *site, c *client) ([]string, error) {
	last := make([]string, conversations)
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i := range conversations {
		all.Go(func() {
			for n := range longTurns {
				t := turn{path: "/chat/turn", program: program(i), line: "main", previous: last[i], body: []byte(fmt.Sprintf("input %d ", n)), budget: 1 << 20, maxTokens: 96, deadline: turnDeadline}
				a := c.serve(s.vms[i%len(s.vms):i%len(s.vms)+1], t, 4)
				if a.status != 200 || !a.isWhole {
					mu.Lock()
					failed = fmt.Errorf("turn %d: %s %s", n, a, a.body)
					mu.Unlock()
					return
				}
				last[i] = a.id
			}
		})
	}
	all.Wait()
	s.record.line("client: %d conversations have %d turns each", conversations, longTurns)
	return last, failed
}

// tryTurn sends a turn as the clients of the platform do: each attempt once more, and the turn
// twice more. It reports whether the turn was answered whole.
func tryTurn(s *site, c *client, n int, program, previous string, back time.Time) bool {
	t := turn{path: "/chat/turn", program: program, line: "main", previous: previous, body: []byte("and then?"), budget: 1 << 20, maxTokens: 96, deadline: turnDeadline}
	for attempt := range 6 {
		v := s.vms[(n+attempt)%len(s.vms)]
		a := c.send(v, t)
		s.record.line("client: turn %s of %s after %q at %s: %s; %.120q", a.id, program, previous, v.name, a, a.body)
		switch {
		case a.status == 200 && a.isWhole:
			return true
		case a.status == 402 || a.status == 404 || time.Since(back) > recoveryTime:
			return false
		}
		time.Sleep(max(min(a.retryIn, turnDeadline/3), 200*time.Millisecond))
	}
	return false
}
