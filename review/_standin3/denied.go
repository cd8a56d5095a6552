package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	deniedPrograms = 40
	turnsBefore    = 6 // of each program: 1,728 of its 2,304 tokens
	contactTime    = 4 * time.Second
)

// budgetAfterRestart runs programs up to three quarters of their budgets, kills all processes and
// runs one more turn of each program, for which its budget has twice the tokens left. The rule:
// at most 5 + one in 500 of all requests are ended with a 4xx of the system's own though they are
// proper.
func budgetAfterRestart(r *record, hasTrouble bool) (bool, error) {
	s, err := newSite(r, storeLimits{delay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.startBudgeted(); err != nil {
		return false, err
	}
	c := newClient(s)
	requests, denied := 0, 0
	var mu sync.Mutex
	// ask runs one turn of each program, each at one machine and at the next if that fails.
	ask := func(round int) {
		var all sync.WaitGroup
		for i := range deniedPrograms {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 25 * time.Millisecond)
				t := turn{path: "/chat/turn", program: program(i), line: "main", body: []byte("input of a turn"), budget: budgetTokens, maxTokens: turnTokens, deadline: turnDeadline}
				for try := range 2 {
					v := s.vms[(i+round+try)%len(s.vms)]
					a := c.send(v, t)
					r.line("client: turn %s of %s at %s: %s; %.120s", a.id, t.program, v.name, a, a.failure())
					mu.Lock()
					requests++
					if a.status >= 400 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
						denied++
					}
					mu.Unlock()
					if a.status == 200 && a.isWhole || a.status == 402 {
						return
					}
					time.Sleep(max(min(a.retryIn, turnDeadline/3), 100*time.Millisecond))
				}
			})
		}
		all.Wait()
	}
	for round := range turnsBefore {
		ask(round)
	}
	time.Sleep(time.Second)
	if hasTrouble {
		for _, v := range s.vms {
			v.kill()
		}
		r.line("trouble: all processes are killed at once")
		time.Sleep(restartDelay + 200*time.Millisecond)
		for _, v := range s.vms {
			if err := v.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
		r.line("platform: all machines are back")
	}
	time.Sleep(contactTime + 2*time.Second) // all machines are in touch
	ask(turnsBefore)
	allowed := 5 + requests/500
	r.line("judge: %d of %d requests were ended with a 4xx of the system's own, allowed are %d; each program had got %d of its %d tokens before its last turn, which needs %d", denied, requests, allowed, turnsBefore*turnTokens, budgetTokens, turnTokens)
	return denied > allowed, nil
}

// failure returns the body of an answer that is no success.
func (a answer) failure() string {
	if a.status == 200 {
		return ""
	}
	return string(a.body)
}

// startBudgeted starts a site of two regions whose turns have a budget and are not kept.
func (s *site) startBudgeted() error {
	config := manifest(
		[]map[string]any{{"name": "chat", "host": host, "pathPrefix": "/chat/", "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 0, "service": "engine", "maxAttempts": 2, "sticky": true, "targetGapMs": 200}},
		[]map[string]any{{"name": "engine", "healthPath": "/healthz", "maxConnections": 100, "engine": map[string]any{"chunkTokens": chunkTokens}}},
	)
	if err := s.putConfig(config); err != nil {
		return err
	}
	for i, zone := range []string{"near-a", "near-b", "far-a"} {
		err := s.addRunner(&runner{id: fmt.Sprintf("i-%d", i), service: "engine", zone: zone, slots: 6, queue: 12, stream: true, events: turnTokens / chunkTokens, pause: 10 * time.Millisecond})
		if err != nil {
			return err
		}
	}
	if err := s.addVMs(154, "near-a", "near-b", "far-a", "far-a"); err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the daemons know one another
	return nil
}
