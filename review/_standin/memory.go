package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	orderClients   = 48 // as many as the runners have slots
	orderBytes     = 4 << 20
	orderSpread    = 3 * time.Second
	orderWork      = 100 * time.Millisecond
	slowReadPerSec = 1 << 20 // a body takes 4 s of the time budget of 6 s
)

// playMemory plays runners that read slowly. The platform kills a process that exceeds the
// memory of its machine.
func playMemory(rec *recorder, hasTrouble bool) (outcome, error) {
	a := zone{"south-a", "south"}
	s, err := newSite(rec, []zone{a})
	if err != nil {
		return outcome{}, err
	}
	defer s.close()
	s.routes = []map[string]any{{
		"name": "batch", "host": host, "pathPrefix": "/batch/", "type": "unsafe", "timeoutMs": 6000, "targetLatencyMs": 1000,
		"priority": 0, "service": "app", "maxAttempts": 2,
	}}
	if err := s.addVMs(a); err != nil {
		return outcome{}, err
	}
	var runners []*runner
	for n := range 8 {
		r, err := s.addRunner(fmt.Sprintf("i-app%d", n), "app", 6, a, behaviour{work: orderWork})
		if err != nil {
			return outcome{}, err
		}
		runners = append(runners, r)
	}
	if err := s.startAll(); err != nil {
		return outcome{}, err
	}
	v := s.vms[0]
	if hasTrouble {
		rec.note("the runners read %d bytes a second of each body", slowReadPerSec)
		for _, r := range runners {
			r.set(behaviour{work: orderWork, readPerSecond: slowReadPerSec})
		}
	}
	watch := newMemoryWatch(s, v)
	body := bytes.Repeat([]byte("0123456789abcdef"), orderBytes/16)
	answers := make(map[string]answer)
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range orderClients {
		clients.Go(func() {
			ch := newChannel()
			defer ch.close()
			order := func(kind string, body []byte) (string, answer) {
				id := fmt.Sprintf("51%02x%012x", n, time.Now().UnixNano()&0xffffffffffff)
				got := ch.send(v, call{id: id, method: "POST", path: "/batch/x", key: "key-one", body: body, deadline: 6 * time.Second})
				rec.note("client %d, %s order, request %s: status %d, whole %v, %v", n, kind, id, got.status, got.isWhole, got.err)
				return id, got
			}
			order("small", []byte("first on this channel"))
			time.Sleep(time.Duration(n) * orderSpread / orderClients)
			id, got := order("large", body)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = got
		})
	}
	clients.Wait()
	peak := watch.end()
	lost, whole := 0, 0
	for id, got := range answers {
		ran := 0
		for _, r := range runners {
			ran += r.ran(id)
		}
		if got.isWhole && got.status == 200 {
			whole++
		}
		if ran > 0 && !got.isWhole {
			lost++
			rec.note("request %s was passed on %d times; its channel was closed without an answer: %v", id, ran, got.err)
		}
	}
	summary := fmt.Sprintf("LOST: %d requests were passed on and their channels closed without an answer, %d were answered whole; most memory %d MB of %d MB", lost, whole, peak, s.memory)
	return outcome{isBroken: lost > 3, summary: summary}, nil
}

// memoryWatch kills the daemon when it exceeds the memory of its machine, as the platform
// does, and starts it again.
type memoryWatch struct {
	stop, done chan struct{}
	most       int
}

func newMemoryWatch(s *site, v *vm) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		isKilled := false
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if isKilled {
				continue
			}
			if mb := v.residentMB(); mb > w.most {
				w.most = mb
				s.rec.note("%s takes %d MB", v.name, mb)
			}
			if w.most > s.memory {
				isKilled = true
				s.rec.note("%s exceeds the %d MB of its machine: the platform kills it", v.name, s.memory)
				v.kill()
				time.Sleep(200 * time.Millisecond)
				if err := s.start(v); err != nil {
					s.rec.note("not started again: %v", err)
				}
			}
		}
	}()
	return w
}

// end returns the most memory that the process took, in MB.
func (w *memoryWatch) end() int {
	close(w.stop)
	<-w.done
	return w.most
}
