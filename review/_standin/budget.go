package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	budgetEvents  = 3
	tokensPerTurn = 288
	outageLength  = 7 * time.Second
	// shiftLength is how long half of the clients are in the other region.
	shiftLength = 6500 * time.Millisecond
	// pause is the time between two turns of a program, or until a turn is sent again.
	pause          = 400 * time.Millisecond
	maxTurnsBefore = 60
)

// playBudget plays programs that move to a zone of the other region while the store is down.
func playBudget(rec *recorder, hasTrouble bool) (outcome, error) {
	south, north := zone{"south-a", "south"}, zone{"north-a", "north"}
	s, err := newSite(rec, []zone{south, north})
	if err != nil {
		return outcome{}, err
	}
	defer s.close()
	s.engine = tokensPerTurn / budgetEvents
	s.routes = []map[string]any{{
		"name": "chat", "host": host, "pathPrefix": "/chat/", "type": "streaming", "timeoutMs": 3000, "targetLatencyMs": 250,
		"targetGapMs": 150, "priority": 0, "service": "engine", "maxAttempts": 2,
	}}
	if err := s.addVMs(south, south, south, north, north, north); err != nil {
		return outcome{}, err
	}
	for n, z := range []zone{south, south, north, north} {
		if _, err := s.addRunner(fmt.Sprintf("i-engine%d", n), "engine", 16, z, behaviour{events: budgetEvents, work: 20 * time.Millisecond}); err != nil {
			return outcome{}, err
		}
	}
	if err := s.startAll(); err != nil {
		return outcome{}, err
	}
	var programs []*agentProgram
	for n := range 4 {
		programs = append(programs, newAgentProgram(s, fmt.Sprint("long-", n), 16*tokensPerTurn, 14), newAgentProgram(s, fmt.Sprint("loop-", n), 8*tokensPerTurn, 8))
	}
	forEach(programs, func(p *agentProgram) {
		for p.turns < maxTurnsBefore && p.tokens < p.goal {
			p.turn(s.vms[p.turns%3])
			time.Sleep(pause)
		}
	})
	for _, p := range programs {
		rec.note("program %s: %d tokens of a budget of %d before the store is down", p.id, p.tokens, p.budget)
		if p.tokens < p.goal {
			return outcome{}, fmt.Errorf("program %s has %d tokens instead of %d before the store is down", p.id, p.tokens, p.goal)
		}
	}
	time.Sleep(2 * time.Second) // settlements are over
	if hasTrouble {
		rec.note("the store is down")
		s.setStoreSilent(true)
	}
	outageEnd := time.Now().Add(outageLength)
	time.Sleep(200 * time.Millisecond)
	rec.note("half of the clients move to zone %s", north.name)
	shiftEnd := time.Now().Add(shiftLength)
	forEach(programs, func(p *agentProgram) {
		first := 0
		if isMoved := p.id[len(p.id)-1]%2 == 0; isMoved {
			first = 3
		}
		for time.Now().Before(shiftEnd) && !p.isOver {
			p.turn(s.vms[first+p.turns%3])
			time.Sleep(pause)
		}
	})
	time.Sleep(time.Until(outageEnd))
	s.setStoreSilent(false)
	rec.note("the store is up")
	result := outcome{summary: "all programs within their budget and one turn"}
	over := 0
	for _, p := range programs {
		limit := p.budget + tokensPerTurn
		rec.note("program %s: %d tokens handed out, budget %d, with one turn %d", p.id, p.tokens, p.budget, limit)
		if p.tokens > limit {
			over++
		}
	}
	if over > 0 {
		result = outcome{isBroken: true, summary: fmt.Sprintf("BUDGET: %d of %d programs got more than their budget and one turn", over, len(programs))}
	}
	return result, nil
}

// agentProgram is a program whose turns follow one another in one line.
type agentProgram struct {
	site                  *site
	id                    string
	budget, tokens, turns int
	goal                  int // tokens before the store is down
	refusals              int // 402 in a row
	isOver                bool
	channel               *channel
}

func newAgentProgram(s *site, id string, budget, turnsBefore int) *agentProgram {
	return &agentProgram{site: s, id: id, budget: budget, goal: turnsBefore * tokensPerTurn, channel: newChannel()}
}

// forEach plays all programs at the same time and waits for them.
func forEach(programs []*agentProgram, play func(p *agentProgram)) {
	var group sync.WaitGroup
	for _, p := range programs {
		group.Go(func() { play(p) })
	}
	group.Wait()
}

// turn sends one turn. A program that loops without end sends a turn twice more after a 402.
func (p *agentProgram) turn(v *vm) {
	p.turns++
	k := call{
		id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", path: "/chat/x", key: "key-one", program: p.id,
		line: p.id + "-line", body: []byte("turn of " + p.id), budget: p.budget, maxTokens: tokensPerTurn, deadline: 3 * time.Second,
	}
	a := p.channel.send(v, k)
	p.tokens += a.events * p.site.engine
	p.site.rec.note("program %s: request %s through %s: status %d, %d events, whole %v, %d tokens so far", p.id, k.id, v.name, a.status, a.events, a.isWhole, p.tokens)
	if a.status == 402 {
		p.refusals++
		p.isOver = p.refusals > 2
		return
	}
	p.refusals = 0
}
