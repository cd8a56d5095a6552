package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	readClients = 40
	readPause   = 100 * time.Millisecond
	readFor     = 8 * time.Second
	garbleAfter = 2 * time.Second
)

// playEndless plays a runner that sends bytes without end. The platform kills a process that
// exceeds the memory of its machine.
func playEndless(rec *recorder, hasTrouble bool) (outcome, error) {
	a := zone{"south-a", "south"}
	s, err := newSite(rec, []zone{a})
	if err != nil {
		return outcome{}, err
	}
	defer s.close()
	s.memory = 112
	s.routes = []map[string]any{{
		"name": "read", "host": host, "pathPrefix": "/read/", "type": "safe", "timeoutMs": 1200, "targetLatencyMs": 200,
		"priority": 0, "service": "app", "maxAttempts": 2,
	}}
	if err := s.addVMs(a); err != nil {
		return outcome{}, err
	}
	var runners []*runner
	for n := range 8 {
		r, err := s.addRunner(fmt.Sprintf("i-app%d", n), "app", 6, a, behaviour{work: 60 * time.Millisecond})
		if err != nil {
			return outcome{}, err
		}
		runners = append(runners, r)
	}
	if err := s.startAll(); err != nil {
		return outcome{}, err
	}
	v := s.vms[0]
	watch := newMemoryWatch(s, v)
	if hasTrouble {
		time.AfterFunc(garbleAfter, func() {
			rec.note("runner %s sends bytes without end", runners[0].id)
			runners[0].set(behaviour{work: 60 * time.Millisecond, isEndless: true})
		})
	}
	var mu sync.Mutex
	answers := make(map[string]answer)
	var clients sync.WaitGroup
	end := time.Now().Add(readFor)
	for range readClients {
		clients.Go(func() {
			ch := newChannel()
			defer ch.close()
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", rand.Uint64())
				got := ch.send(v, call{id: id, method: "GET", path: "/read/x", key: "key-one", deadline: 1200 * time.Millisecond})
				mu.Lock()
				answers[id] = got
				mu.Unlock()
				time.Sleep(readPause)
			}
		})
	}
	clients.Wait()
	peak := watch.end()
	lost := 0
	for id, got := range answers {
		for _, r := range runners[1:] {
			if r.ran(id) > 0 && got.status == 0 && !errors.Is(got.err, context.DeadlineExceeded) {
				lost++
				rec.note("request %s ran at sound runner %s; its channel was closed without an answer: %v", id, r.id, got.err)
			}
		}
	}
	return outcome{isBroken: lost > 3, summary: fmt.Sprintf("LOST: %d of %d requests ran at sound runners and their channels were closed without an answer; most memory %d MB of %d MB",
		lost, len(answers), peak, s.memory)}, nil
}
