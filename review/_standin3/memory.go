package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	machineMB     = 154 // memory of a machine in the users' sheet
	branches      = 240 // turns that continue the histories at once
	histories     = 8
	historyInputs = 2
	// inputBytes are those of each turn of a history: about 60,000 tokens at the 4,300 bytes for
	// 654 tokens of the users' sheet.
	inputBytes     = 395000
	memoryRunners  = 8
	memorySlots    = 16
	maxCutAnswers  = 3
	buildersAtOnce = 4
)

// memoryOfHistories continues conversations with long histories, all of them within a second,
// which the runners have the slots for. With the disturbance, two of the three machines have
// lost power before, so that the clients come to the third.
func memoryOfHistories(r *record, hasTrouble bool) (bool, error) {
	s, err := newSite(r, storeLimits{delay: 4 * time.Millisecond})
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
	for i := range memoryRunners {
		one := &runner{id: fmt.Sprintf("i-%d", i), service: "engine", zone: []string{"near-a", "near-b"}[i%2], slots: memorySlots, queue: 48, stream: true, events: 7, pause: 140 * time.Millisecond, readPerMS: 99.3}
		if err := s.addRunner(one); err != nil {
			return false, err
		}
		runners = append(runners, one)
	}
	if err := s.addVMs(machineMB, "near-a", "near-b", "near-b"); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newClient(s)
	last, err := buildHistories(s, c)
	if err != nil {
		return false, err
	}
	for _, v := range s.vms {
		r.line("platform: the process of %s has held %d MB at most, of %d MB", v.name, v.peakMB.Load(), machineMB)
	}
	if hasTrouble {
		s.vms[0].powerOff()
		s.vms[1].powerOff()
		time.Sleep(3 * time.Second)
	}
	left := s.vms
	if hasTrouble {
		left = s.vms[2:]
	}
	warm(s, c, left)
	answers := make([]answer, branches)
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / branches)
			v := left[i%len(left)]
			t := turn{path: "/chat/turn", program: program(i % len(last)), line: fmt.Sprintf("helper-%d", i), previous: last[i%len(last)], body: []byte("and then?"), budget: 1 << 20, maxTokens: turnTokens, deadline: turnDeadline}
			answers[i] = c.send(v, t)
			r.line("client: turn %s of %s at %s: %s, kept channel: %t", answers[i].id, program(i), v.name, answers[i], answers[i].isKept)
		})
	}
	all.Wait()
	time.Sleep(200 * time.Millisecond)
	cut := 0
	for _, a := range answers {
		if a.status == 0 && a.isKept && a.took < turnDeadline*7/10 && hasArrived(runners, a.id) {
			cut++
		}
	}
	ended := 0
	for _, v := range s.vms {
		r.line("platform: the process of %s has held %d MB at most, of %d MB, and has ended by itself %d times", v.name, v.peakMB.Load(), machineMB, v.ownEnds)
		ended += v.ownEnds
	}
	r.line("judge: %d requests from kept channels were passed on to a sound runner and their channels closed without an answer, allowed are %d; processes that ended by themselves: %d", cut, maxCutAnswers, ended)
	return cut > maxCutAnswers, nil
}

func program(i int) string { return fmt.Sprintf("program-%d", i) }

// buildHistories runs the first turns of all conversations and returns the last one of each.
func buildHistories(s *site, c *client) ([]string, error) {
	last := make([]string, histories)
	places := make(chan struct{}, buildersAtOnce)
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i := range last {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			for n := range historyInputs {
				body := bytes.Repeat([]byte(fmt.Sprintf("%s says %04d. ", program(i), n)), inputBytes/24)
				t := turn{path: "/chat/turn", program: program(i), line: "main", previous: last[i], body: body, budget: 1 << 20, maxTokens: turnTokens, deadline: turnDeadline}
				vms := []*vm{s.vms[i%len(s.vms)], s.vms[(i+1)%len(s.vms)]}
				a := c.serve(vms, t, 4)
				if a.status != 200 || !a.isWhole {
					mu.Lock()
					failed = fmt.Errorf("history of %s: %s %s", program(i), a, a.body)
					mu.Unlock()
					return
				}
				last[i] = a.id
			}
		})
	}
	all.Wait()
	s.record.line("client: %d conversations have %d KB each", histories, historyInputs*inputBytes>>10)
	return last, failed
}

// warm opens the channels on which the clients send their next turns.
func warm(s *site, c *client, vms []*vm) {
	var all sync.WaitGroup
	for i := range branches {
		all.Go(func() {
			c.send(vms[i%len(vms)], turn{path: "/chat/turn", program: "warm-" + program(i), line: "main", body: []byte("hello"), budget: 1 << 20, maxTokens: turnTokens, deadline: turnDeadline})
		})
	}
	all.Wait()
	s.record.line("client: %d channels are open", branches)
}
