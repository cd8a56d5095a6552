package main

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// playLongID plays conversations whose request ids are SHA-256 sums in hexadecimal. The turns
// come in through another zone of the region from turn to turn.
func playLongID(rec *recorder, hasTrouble bool) (outcome, error) {
	a, b, c := zone{"south-a", "south"}, zone{"south-b", "south"}, zone{"south-c", "south"}
	s, err := newSite(rec, []zone{a, b, c})
	if err != nil {
		return outcome{}, err
	}
	defer s.close()
	s.routes = []map[string]any{{
		"name": "chat", "host": host, "pathPrefix": "/chat/", "type": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250,
		"targetGapMs": 150, "priority": 0, "service": "engine", "maxAttempts": 2, "retained": true, "retentionS": 60,
	}}
	if err := s.addVMs(a, b, c, a, b, c); err != nil {
		return outcome{}, err
	}
	for n, z := range []zone{a, b, c} {
		if _, err := s.addRunner(fmt.Sprintf("i-engine%d", n), "engine", 16, z, behaviour{events: 3, work: 10 * time.Millisecond}); err != nil {
			return outcome{}, err
		}
	}
	if err := s.startAll(); err != nil {
		return outcome{}, err
	}
	lost, continued := 0, 0
	for n := range 12 {
		ch := newChannel()
		first := s.vms[n%6]
		second := first
		if hasTrouble {
			second = s.vms[(n+1)%6]
		}
		id := func(turn int) string {
			return fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(n, turn, time.Now().UnixNano()))))
		}
		k := call{
			id: id(1), method: "POST", path: "/chat/x", key: "key-one", program: fmt.Sprint("program-", n), line: fmt.Sprint("line-", n),
			body: []byte("first input"), deadline: 4 * time.Second, budget: 2304, maxTokens: 288,
		}
		if got := ch.send(first, k); got.status != 200 || !got.isWhole {
			return outcome{}, fmt.Errorf("first turn through %s: status %d, %v", first.name, got.status, got.err)
		}
		rec.note("turn %s through %s: answered whole", k.id, first.name)
		time.Sleep(100 * time.Millisecond)
		k.previous, k.id, k.body = k.id, id(2), []byte("second input")
		got := ch.send(second, k)
		rec.note("turn %s, previous turn %s, through %s: status %d %s", k.id, k.previous, second.name, got.status, firstLine(got))
		continued++
		if got.status == 404 || got.status == 410 {
			lost++
		}
	}
	return outcome{isBroken: lost > 0, summary: fmt.Sprintf("LOST: %d of %d turns that continue a turn answered whole were answered 404", lost, continued)}, nil
}

// firstLine returns the body of a refusal, shortened.
func firstLine(a answer) string {
	if a.status == 200 {
		return ""
	}
	return string(a.body[:min(len(a.body), 160)])
}
