package main

import "time"

const (
	budgetTokens   = 2304
	turnTokens     = 288
	chunkTokens    = 32
	outageTime     = 7 * time.Second
	turnDeadline   = 4 * time.Second
	programAttempt = 3 // a turn that has failed is sent again, at most twice
)

// budgetInTwoRegions runs one program whose turns come in at daemons of both regions, while the
// platform's store is down for some seconds. The rule: the tokens handed to clients are at most
// the program's budget and the most of one turn.
func budgetInTwoRegions(r *record, hasTrouble bool) (bool, error) {
	s, err := newSite(r, storeLimits{delay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.startBudgeted(); err != nil {
		return false, err
	}
	near, far := s.vms[:2], s.vms[2:]
	c, tokens := newClient(s), 0
	// ask runs one turn of the program and reports whether it was answered whole.
	ask := func(line string, vms []*vm) bool {
		for range programAttempt {
			t := turn{path: "/chat/turn", program: "program-1", line: line, body: []byte("input of a turn"), budget: budgetTokens, maxTokens: turnTokens, deadline: turnDeadline}
			for try := range 2 { // the client's own retry
				a := c.send(vms[try%len(vms)], t)
				tokens += a.events * chunkTokens
				r.line("client: turn %s of line %s at %s: %s; %d tokens of the program so far", a.id, line, vms[try%len(vms)].name, a, tokens)
				if a.status == 200 && a.isWhole {
					return true
				}
				if a.status == 402 {
					return false
				}
				time.Sleep(max(min(a.retryIn, turnDeadline/3), 100*time.Millisecond))
			}
			time.Sleep(300 * time.Millisecond)
		}
		return false
	}
	for range 6 {
		ask("main", near)
	}
	if hasTrouble {
		s.store.setDown(true)
		r.line("trouble: the platform's store is down")
		time.AfterFunc(outageTime, func() {
			s.store.setDown(false)
			r.line("trouble: the platform's store is back")
		})
		time.Sleep(1500 * time.Millisecond)
	}
	for range 2 {
		ask("main", near)
		ask("helper", far)
	}
	if hasTrouble {
		time.Sleep(outageTime)
	}
	ask("main", near)
	ask("helper", far)
	r.line("judge: %d tokens were handed out, allowed are %d and the most of one turn, %d", tokens, budgetTokens, turnTokens)
	return tokens > budgetTokens+turnTokens, nil
}
