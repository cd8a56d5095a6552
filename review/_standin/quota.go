package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	quotaRate    = 100
	quotaBurst   = 100
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// hotPerSecond is what the tenant sends through all machines.
	hotPerSecond = 440
	hotFor       = 6500 * time.Millisecond
	// freezeAfter is when two machines freeze, after the tenant has begun to send.
	freezeAfter = 3500 * time.Millisecond
	freezeFor   = 3500 * time.Millisecond
)

// sending is one request of the hot tenant.
type sending struct {
	id     string
	sentAt time.Time
	ranAt  time.Time // zero if no runner ran it
	status int
}

// playQuota plays a tenant that sends many times its usual, and two machines of eighteen that
// freeze meanwhile, one in each region.
func playQuota(rec *recorder, hasTrouble bool) (outcome, error) {
	var zones, machines []zone
	for _, name := range []string{"south-a", "south-b", "south-c", "north-a", "north-b", "north-c"} {
		z := zone{name, name[:5]}
		zones = append(zones, z)
		machines = append(machines, z, z, z)
	}
	s, err := newSite(rec, zones)
	if err != nil {
		return outcome{}, err
	}
	defer s.close()
	s.rate, s.burst = quotaRate, quotaBurst
	s.routes = []map[string]any{{
		"name": "read", "host": host, "pathPrefix": "/read/", "type": "safe", "timeoutMs": 3000, "targetLatencyMs": 200,
		"priority": 0, "service": "app", "maxAttempts": 2,
	}}
	if err := s.addVMs(machines...); err != nil {
		return outcome{}, err
	}
	var runners []*runner
	for n, z := range append(zones, zones...) {
		r, err := s.addRunner(fmt.Sprintf("i-app%d", n), "app", 12, z, behaviour{work: 10 * time.Millisecond})
		if err != nil {
			return outcome{}, err
		}
		runners = append(runners, r)
	}
	if err := s.startAll(); err != nil {
		return outcome{}, err
	}
	var victims []*vm
	if hasTrouble {
		victims = []*vm{s.holder("south"), s.holder("north")}
	}
	time.AfterFunc(freezeAfter, func() {
		for _, v := range victims {
			rec.note("%s freezes", v.name)
			v.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeFor)
		for _, v := range victims {
			rec.note("%s wakes", v.name)
			v.signal(syscall.SIGCONT)
		}
	})
	callers := slices.DeleteFunc(slices.Clone(s.vms), func(v *vm) bool { return slices.Contains(victims, v) })
	sent := sendHot(rec, callers)
	for _, one := range sent {
		for _, r := range runners {
			if at := r.ranAt(one.id); !at.IsZero() {
				one.ranAt = at
			}
		}
	}
	most, from := mostInWindow(sent)
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	summary := fmt.Sprintf("QUOTA: at most %d requests of the tenant were sent and run within %s (from %.1f s on), allowed are %.0f; %d sent in all",
		most, quotaWindow, from.Sub(rec.start).Seconds(), limit, len(sent))
	return outcome{isBroken: float64(most) > limit, summary: summary}, nil
}

// holder returns the machine of a region that counts the tenant's quota in a fleet of more than
// 16: the one of the highest hash. Any two machines may freeze; these are such a pair.
func (s *site) holder(region string) *vm {
	var best *vm
	var highest uint64
	for _, v := range s.vms {
		if hash := xxhash.Sum64String(v.name + "\x00account/one"); v.zone.region == region && (best == nil || hash > highest) {
			best, highest = v, hash
		}
	}
	return best
}

// sendHot sends the tenant's requests through all machines in turn, whether or not earlier ones
// were answered.
func sendHot(rec *recorder, vms []*vm) []*sending {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	var sent []*sending
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / hotPerSecond)
	defer ticker.Stop()
	for end := time.Now().Add(hotFor); time.Now().Before(end); <-ticker.C {
		one := &sending{id: fmt.Sprintf("%016x", rand.Uint64()), sentAt: time.Now()}
		v := vms[len(sent)%len(vms)]
		sent = append(sent, one)
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			req, err := (&call{id: one.id, method: "GET", path: "/read/x", key: "key-one", deadline: 3 * time.Second}).request(v.caller)
			if err != nil {
				return
			}
			resp, err := client.Do(req.WithContext(ctx))
			if err != nil {
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body) // only the status counts here
			one.status = resp.StatusCode
		})
	}
	group.Wait()
	byStatus := make(map[int]int)
	for _, one := range sent {
		byStatus[one.status]++
	}
	rec.note("answers of the tenant by status: %v", byStatus)
	return sent
}

// mostInWindow returns the most requests that were both sent and run within one window.
func mostInWindow(sent []*sending) (most int, from time.Time) {
	for _, first := range sent {
		count := 0
		end := first.sentAt.Add(quotaWindow)
		for _, one := range sent {
			if !one.ranAt.IsZero() && !one.sentAt.Before(first.sentAt) && one.ranAt.Before(end) {
				count++
			}
		}
		if count > most {
			most, from = count, first.sentAt
		}
	}
	return most, from
}
