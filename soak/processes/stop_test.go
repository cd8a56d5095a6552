package processes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// channel is a caller's connection.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func openChannel(t *testing.T, p *process) *channel {
	conn, err := net.Dial("tcp", p.vm.CallerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a request and returns the status of its answer, 0 if the channel ended without a
// whole one.
func (c *channel) send(id, method, path string, deadline time.Duration) int {
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key-one\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", method, path, platformtest.Host,
		platformtest.HeaderRequestID, id, platformtest.HeaderKey, platformtest.HeaderDeadline, deadline.Milliseconds())
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (f *fleet) hasRun(id string) bool {
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			if run.ID == id {
				return true
			}
		}
	}
	return false
}

func (f *fleet) setDuration(d time.Duration) {
	for _, target := range f.targets {
		target.Set(platformtest.Behaviour{Events: 3, Duration: d})
	}
}

// Guards against requests that a stopping VM takes late and cuts at the end of its grace
// period: it answers all that it passed on, and refuses truthfully what may not end in time.
// Callers use kept channels and one that was opened before the stop and not used until late.
func TestLateRequestsOfPlannedStopAreAnswered(t *testing.T) {
	const long = 20 * time.Second // beyond the grace period of 8 s
	config := platformtest.BasicConfig()
	for i := range config.Routes {
		config.Routes[i].TimeoutMs = int(long.Milliseconds())
	}
	f := newFleetOf(t, []string{"near-a", "near-b"}, config)
	vm := f.vms[0]
	type result struct {
		id     string
		status int
	}
	results := make(chan result, 16)
	send := func(c *channel, id, method, path string, deadline time.Duration) {
		go func() { results <- result{id, c.send(id, method, path, deadline)} }()
	}
	kept := make(map[string]*channel)
	for _, name := range []string{"long order", "long read", "late order", "late read", "last order"} {
		kept[name] = openChannel(t, vm)
		assert.Equal(t, kept[name].send("first "+name, "GET", "/read/x", time.Second), 200)
	}
	f.setDuration(long)
	send(kept["long order"], "long order", "POST", "/order/x", long)
	send(kept["long read"], "long read", "GET", "/read/x", long)
	for end := time.Now().Add(5 * time.Second); !f.hasRun("long order") || !f.hasRun("long read"); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not running")
	}
	f.setDuration(300 * time.Millisecond)
	fresh := openChannel(t, vm)
	stopped := make(chan time.Duration, 1)
	start := time.Now()
	go func() {
		vm.signalAndWait(syscall.SIGTERM)
		stopped <- time.Since(start)
	}()
	time.Sleep(1500 * time.Millisecond) // still ready for callers
	send(kept["late order"], "late order", "POST", "/order/x", long)
	send(kept["late read"], "late read", "GET", "/read/x", long)
	send(kept["last order"], "last order", "POST", "/order/x", 4*time.Second)
	time.Sleep(2500 * time.Millisecond)
	send(fresh, "fresh order", "POST", "/order/x", 6*time.Second)
	want := map[string]int{
		"long order": 504, "long read": 504, // may have run
		"late order": 503, // would not end in time
		"late read":  200, "last order": 200, "fresh order": 503,
	}
	for range len(want) {
		got := <-results
		assert.Check(t, got.status == want[got.id], "%s: status %d, want %d", got.id, got.status, want[got.id])
		assert.Check(t, got.status != 503 || !f.hasRun(got.id), "%s has run", got.id)
	}
	took := <-stopped
	t.Logf("stopped after %s", took)
	assert.Check(t, took < 8*time.Second, "stopped after %s", took)
}
