package main

import "time"

const (
	// outageOfLoss is how long the store is down; the processes are killed within it.
	outageOfLoss = 5 * time.Second
	// pauseTime is how long the program waits before it goes on.
	pauseTime = 68 * time.Second
)

// budgetAfterPause runs turns of one program while the platform's store is down, kills all
// processes before it returns, and goes on with the program after a pause. The rule: the tokens
// handed to clients are at most the program's budget and the most of one turn.
func budgetAfterPause(r *record, hasTrouble bool) (bool, error) {
	s, err := newSite(r, storeLimits{delay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.startBudgeted(); err != nil {
		return false, err
	}
	near := s.vms[:2]
	c, tokens := newClient(s), 0
	// ask runs one turn of the program, with three client attempts at most.
	ask := func() {
		for try := range programAttempt {
			v := near[try%len(near)]
			t := turn{path: "/chat/turn", program: "program-1", line: "main", body: []byte("input of a turn"), budget: budgetTokens, maxTokens: turnTokens, deadline: turnDeadline}
			a := c.send(v, t)
			tokens += a.events * chunkTokens
			r.line("client: turn %s at %s: %s; %d tokens of the program so far; %.120s", a.id, v.name, a, tokens, a.failure())
			if a.status == 200 && a.isWhole || a.status == 402 {
				return
			}
			time.Sleep(max(min(a.retryIn, turnDeadline/3), 300*time.Millisecond))
		}
	}
	for range 6 {
		ask()
	}
	if hasTrouble {
		s.store.setDown(true)
		r.line("trouble: the platform's store is down")
		time.AfterFunc(outageOfLoss, func() {
			s.store.setDown(false)
			r.line("trouble: the platform's store is back")
		})
		time.Sleep(1500 * time.Millisecond)
	}
	for range 2 {
		ask()
	}
	if hasTrouble {
		for _, v := range s.vms {
			v.kill()
		}
		r.line("trouble: all processes are killed at once")
	}
	time.Sleep(pauseTime)
	for range 4 {
		ask()
	}
	r.line("judge: %d tokens were handed out, allowed are %d and the most of one turn, %d", tokens, budgetTokens, turnTokens)
	return tokens > budgetTokens+turnTokens, nil
}
