package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// wrongBytes are bytes that are no answer of a runner: they name no request and bear no stamp.
const wrongBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nwrong bytes."

// spoiledAnswers plays clients that read records while some runners hand out wrong bytes in
// place of a part of their answers. A success that a client gets must bear the runner's stamp.
func spoiledAnswers(s *site, withTrouble bool) int {
	s.putConfig(config())
	var isSpoiling atomic.Bool
	var spoiled atomic.Int64
	sound := answerAfter(10 * time.Millisecond)
	app := func(rn *runner, w http.ResponseWriter, r *http.Request, id string) {
		// Three of eight runners spoil two of a hundred answers.
		if spoils := rn.id == "i-app-0" || rn.id == "i-app-1" || rn.id == "i-app-2"; spoils && isSpoiling.Load() && rand.IntN(50) == 0 {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			spoiled.Add(1)
			s.record.printf("%s: %s ran it and hands out wrong bytes", id, rn.id)
			_, _ = io.WriteString(conn, wrongBytes)
			time.Sleep(20 * time.Millisecond)
			return
		}
		if rand.IntN(5) == 0 {
			w.Header().Set("Connection", "close")
		}
		sound(rn, w, r, id)
	}
	s.addRunners(8, streamOf(7, 20*time.Millisecond), app)
	s.addVMs(3)
	s.startAll()
	var answered, unstamped atomic.Int64
	end := time.Now().Add(10 * time.Second)
	if withTrouble {
		time.AfterFunc(2*time.Second, func() { isSpoiling.Store(true) })
		time.AfterFunc(7500*time.Millisecond, func() { isSpoiling.Store(false) })
	}
	var clients sync.WaitGroup
	for client := range 24 {
		clients.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				status, stamp, body, err := s.get(s.vms[client%len(s.vms)], id)
				if err == nil && status/100 == 2 {
					answered.Add(1)
					if stamp == "" || body != "answer to "+id {
						unstamped.Add(1)
						s.record.printf("%s: MIXED, status %d, stamp %q, body %q", id, status, stamp, body)
					}
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.record.printf("%d successes, %d answers spoiled, %d successes without the runner's stamp", answered.Load(), spoiled.Load(), unstamped.Load())
	switch {
	case answered.Load() == 0 || withTrouble && spoiled.Load() == 0:
		return couldntRun
	case unstamped.Load() > 0:
		return broken
	}
	return held
}

// get sends a request of the route record-read on a kept channel.
func (s *site) get(v *vm, id string) (status int, stamp, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+v.frontend+"/read/"+id, nil)
	must(err)
	req.Host = host
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerDeadline, "1200")
	req.Header.Set(headerKey, "key-north")
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		s.record.printf("%s: %v", id, err)
		return 0, "", "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", "", err
	}
	if resp.StatusCode != http.StatusOK {
		s.record.printf("%s: status %d %.150s", id, resp.StatusCode, raw)
	}
	return resp.StatusCode, resp.Header.Get(headerStamp), fmt.Sprint(string(raw)), nil
}
