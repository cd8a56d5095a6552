package main

import (
	"bytes"
	"fmt"
	"time"
)

// playLargeTurn plays turns whose inputs are within maxBodyBytes.
func playLargeTurn(rec *recorder, hasTrouble bool) (outcome, error) {
	a := zone{"south-a", "south"}
	s, err := newSite(rec, []zone{a})
	if err != nil {
		return outcome{}, err
	}
	defer s.close()
	s.routes = []map[string]any{{
		"name": "chat", "host": host, "pathPrefix": "/chat/", "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250,
		"targetGapMs": 150, "priority": 0, "service": "engine", "maxAttempts": 2, "retained": true, "retentionS": 60,
	}}
	if err := s.addVMs(a, a); err != nil {
		return outcome{}, err
	}
	r, err := s.addRunner("i-engine0", "engine", 16, a, behaviour{events: 3, work: 10 * time.Millisecond})
	if err != nil {
		return outcome{}, err
	}
	if err := s.startAll(); err != nil {
		return outcome{}, err
	}
	size := 64 << 10
	if hasTrouble {
		size = 1 << 20
	}
	lost := 0
	for n := range 8 {
		ch := newChannel()
		k := call{
			id: fmt.Sprintf("1a%014x", time.Now().UnixNano()&0xffffffffffff), method: "POST", path: "/chat/x", key: "key-one",
			program: fmt.Sprint("program-", n), line: fmt.Sprint("line-", n), body: []byte("small"), deadline: 4 * time.Second, budget: 2304, maxTokens: 288,
		}
		ch.send(s.vms[n%2], k) // the channel is kept from here on
		k.id, k.body = k.id[:15]+"z", bytes.Repeat([]byte("0123456789abcdef"), size/16)
		got := ch.send(s.vms[n%2], k)
		ran := r.ran(k.id)
		rec.note("turn %s with %d bytes of input through %s: status %d, %d events, whole %v, ran %d times, %v", k.id, size, s.vms[n%2].name, got.status, got.events, got.isWhole, ran, got.err)
		if ran > 0 && !got.isWhole {
			lost++
		}
	}
	return outcome{isBroken: lost > 3, summary: fmt.Sprintf("LOST: %d of 8 turns ran and their channel was closed without a whole answer", lost)}, nil
}
