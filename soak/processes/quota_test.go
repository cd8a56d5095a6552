package processes

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

const (
	quotaRate, quotaBurst = 100, 100
	quotaWindow           = 5 * time.Second
	// quotaAllowed is the most requests of the account that may run within a window: a tenth
	// and 20 above its quota.
	quotaAllowed = (quotaRate*5+quotaBurst)*11/10 + 20
	hotPerSecond = 440
	hotTime      = 6500 * time.Millisecond
)

// quotaHolder returns the VM of a region that counts the account's quota first: the one of the
// highest hash.
func (f *fleet) quotaHolder(isFar bool) *process {
	hash := func(p *process) uint64 { return xxhash.Sum64String(p.vm.Name + "\x00account/one") }
	var best *process
	for _, p := range f.vms {
		if (p.vm.Domain == "far-a") == isFar && (best == nil || hash(p) > hash(best)) {
			best = p
		}
	}
	return best
}

// sendSteadily sends requests of the account through the VMs in turn, whether or not earlier
// ones were answered, and returns when each was sent, by ID.
func sendSteadily(vms []*process, perSecond int, d time.Duration) map[string]time.Time {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	sentAt := make(map[string]time.Time)
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		id := fmt.Sprintf("hot-%d", len(sentAt))
		vm := vms[len(sentAt)%len(vms)].vm
		sentAt[id] = time.Now()
		requests.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://"+vm.CallerAddress+"/read/x", nil)
			if err != nil {
				return
			}
			req.Host = platformtest.Host
			req.Header.Set(platformtest.HeaderRequestID, id)
			req.Header.Set(platformtest.HeaderKey, "key-one")
			req.Header.Set(platformtest.HeaderDeadline, "3000")
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
			}
		})
	}
	requests.Wait()
	return sentAt
}

// mostRunInWindow returns the most requests that were both sent and run within a window.
func (f *fleet) mostRunInWindow(sentAt map[string]time.Time) int {
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			if sent, isOwn := sentAt[run.ID]; isOwn {
				spans = append(spans, span{sent, run.StartedAt})
			}
		}
	}
	most := 0
	for _, first := range spans {
		count := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.ran.Before(first.sent.Add(quotaWindow)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against VMs that take over an account's quota from one that is frozen, lost or gone,
// with a full bucket: an account that sends four times its rate must stay within its quota.
func TestQuotaHoldsWhileItsHoldersAreLost(t *testing.T) {
	config := platformtest.BasicConfig()
	config.Tenants[0].RatePerS, config.Tenants[0].Burst = quotaRate, quotaBurst
	for name, lose := range map[string]func(f *fleet, p *process){
		"freeze": func(_ *fleet, p *process) {
			p.signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			p.signal(syscall.SIGCONT)
		},
		"kill": func(f *fleet, p *process) {
			f.kill(p)
			time.Sleep(500 * time.Millisecond)
			f.start(p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetOf(t, slices.Repeat([]string{"near-a", "near-b", "far-a"}, 6), config)
			for _, target := range f.targets {
				target.Set(platformtest.Behaviour{Events: 3, Duration: 5 * time.Millisecond})
			}
			time.Sleep(3 * time.Second) // the buckets fill
			lost := []*process{f.quotaHolder(false), f.quotaHolder(true)}
			callers := slices.DeleteFunc(slices.Clone(f.vms), func(p *process) bool { return slices.Contains(lost, p) })
			var faults sync.WaitGroup
			for _, p := range lost {
				faults.Go(func() {
					time.Sleep(3500 * time.Millisecond)
					lose(f, p)
				})
			}
			most := f.mostRunInWindow(sendSteadily(callers, hotPerSecond, hotTime))
			faults.Wait()
			t.Logf("%d requests within %s, %d are allowed", most, quotaWindow, quotaAllowed)
			if most > quotaAllowed || most < quotaRate*5/2 {
				t.Errorf("%d requests of the account within %s, %d are allowed", most, quotaWindow, quotaAllowed)
			}
		})
	}
}
