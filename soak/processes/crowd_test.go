package processes

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// The crowd and the limits of the VM that it meets. The limits are below those of the
// platform's smallest VM, so that a small crowd exceeds them.
const (
	crowdSize     = 400
	crowdTime     = 3 * time.Second
	crowdMemoryMB = 96
	crowdFDs      = 360
	headLimit     = 16384 // maxHeaderBytes of the configuration
)

// crowdForm is what each client of a crowd sends: first once, then rest again and again with a
// pause.
type crowdForm struct {
	first, rest []byte
	pause       time.Duration
}

const requestLine = "GET /read/1 HTTP/1.1\r\nHost: agents.example\r\n"

// httpForms are crowds before a port that speaks HTTP.
var httpForms = map[string]crowdForm{
	"nothing":                {},
	"open head":              {first: []byte(requestLine + "X-A: " + strings.Repeat("a", headLimit-1024))},
	"open head over limit":   {first: []byte(requestLine + "X-A: " + strings.Repeat("a", 60<<10))},
	"open head of fields":    {first: []byte(requestLine + strings.Repeat("a:\r\n", headLimit/4-64))},
	"head of fields":         {first: []byte(requestLine + strings.Repeat("a:\r\n", 15<<10) + "\r\n"), rest: []byte(requestLine), pause: 100 * time.Millisecond},
	"fields of other names":  {first: []byte(requestLine + differentFields(6000) + "\r\n")},
	"value without end":      {first: []byte(requestLine + "X-A: "), rest: bytes.Repeat([]byte("a"), 4<<10)},
	"fields without end":     {first: []byte(requestLine), rest: bytes.Repeat([]byte("a:\r\n"), 1<<10)},
	"request line no end":    {first: []byte("GET /"), rest: bytes.Repeat([]byte("a"), 4<<10)},
	"empty lines":            {rest: bytes.Repeat([]byte("\r\n"), 2<<10)},
	"head a byte at a time":  {first: []byte(requestLine), rest: []byte("a"), pause: 100 * time.Millisecond},
	"requests, none is read": {rest: bytes.Repeat([]byte(requestLine+"\r\n"), 20)},
}

// peerForms are crowds before the port for other VMs.
var peerForms = map[string]crowdForm{
	"nothing":                {},
	"HTTP head":              {first: []byte(requestLine), rest: bytes.Repeat([]byte("a:\r\n"), 1<<10)},
	"open frame":             {first: append(frameHead(1, 1, 8<<20), make([]byte, 600<<10)...)},
	"frame without end":      {first: frameHead(1, 1, 8<<20), rest: make([]byte, 16<<10), pause: 10 * time.Millisecond},
	"frame a byte at a time": {first: frameHead(1, 1, 64<<10), rest: make([]byte, 1), pause: 100 * time.Millisecond},
	"calls, none is read":    {rest: callFrames("fleet.config", 50)},
	"unknown calls":          {rest: callFrames("nothing.of.that.name", 50)},
	"waiting calls":          {rest: callFrames("fleet.store.watch", 50), pause: 20 * time.Millisecond},
}

func differentFields(count int) string {
	var out strings.Builder
	for n := range count {
		fmt.Fprintf(&out, "x%d:\r\n", n)
	}
	return out.String()
}

// frameHead returns the head of a frame of the protocol between VMs.
func frameHead(kind byte, stream uint64, length int) []byte {
	head := make([]byte, 16)
	head[0], head[1] = 1, kind
	binary.BigEndian.PutUint64(head[4:], stream)
	binary.BigEndian.PutUint32(head[12:], uint32(length))
	return head
}

// callFrames returns calls of a method that take long, if the method can.
func callFrames(method string, count int) []byte {
	body, err := msgpack.Marshal(map[string]any{"m": method, "t": time.Minute, "b": map[string]any{"t": "op", "a": 1 << 40, "w": time.Minute}})
	if err != nil {
		panic(err)
	}
	var out []byte
	for n := range count {
		out = append(append(out, frameHead(1, uint64(2*n), len(body))...), body...)
	}
	return out
}

// run sends the form on connections of a crowd until the time is over. A connection that the
// VM refuses or closes is opened again; the others stay open until closeAll is called.
func (c crowdForm) run(address string, size int, d time.Duration) (closeAll func()) {
	var clients sync.WaitGroup
	open := make([]net.Conn, size)
	end := time.Now().Add(d)
	for n := range size {
		clients.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				if c.send(conn, end) {
					open[n] = conn
					return
				}
				conn.Close()
			}
		})
	}
	clients.Wait()
	return func() {
		for _, conn := range open {
			if conn != nil {
				conn.Close()
			}
		}
	}
}

// send sends until the time is over, and returns false if the connection fails before.
func (c crowdForm) send(conn net.Conn, end time.Time) bool {
	_ = conn.SetDeadline(end)
	if _, err := conn.Write(c.first); err != nil {
		return !time.Now().Before(end)
	}
	for len(c.rest) > 0 && time.Now().Before(end) {
		if _, err := conn.Write(c.rest); err != nil {
			return !time.Now().Before(end)
		}
		time.Sleep(c.pause)
	}
	for time.Now().Before(end) {
		if _, err := conn.Read(make([]byte, 512)); err != nil {
			return !time.Now().Before(end)
		}
	}
	return true
}

// peakFDs watches the process's descriptors until stop is called, which returns the largest
// number.
func (p *process) peakFDs() (stop func() int) {
	done, result := make(chan struct{}), make(chan int)
	go func() {
		peak := 0
		for {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			peak = max(peak, len(entries))
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() int { close(done); return <-result }
}

// answersOrdinaryRequest sends ordinary requests, as a caller that tries again, until one is
// answered.
func (f *fleet) answersOrdinaryRequest(header map[string]string) bool {
	for try := range 10 {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.vms[0].vm.CallerAddress+"/read/1", nil)
		assert.NilError(f.t, err)
		req.Host = platformtest.Host
		req.Header.Set(platformtest.HeaderRequestID, fmt.Sprint("ordinary-", try, time.Now().UnixNano()))
		req.Header.Set(platformtest.HeaderKey, "key-one")
		req.Header.Set(platformtest.HeaderDeadline, "4000")
		for name, value := range header {
			req.Header.Set(name, value)
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
		resp, err := client.Do(req)
		if err != nil {
			f.t.Logf("ordinary request: %v", err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
		f.t.Logf("ordinary request: %s", resp.Status)
	}
	return false
}

// meetCrowd checks that a VM survives a crowd within its limits and answers an ordinary request
// while the connections of the crowd are still open, and another one afterwards.
func meetCrowd(t *testing.T, form crowdForm, address func(*platformtest.VM) string) {
	site := platformtest.NewSite(t)
	site.SetLimits(platformtest.Limits{MemoryMB: crowdMemoryMB, MaxFDs: crowdFDs})
	f := newFleetAt(t, site, []string{"near-a"}, platformtest.BasicConfig())
	vm := f.vms[0]
	stop := vm.peakFDs()
	closeAll := form.run(address(vm.vm), crowdSize, crowdTime)
	isAnswered := f.answersOrdinaryRequest(nil)
	closeAll()
	fds := stop()
	memory, isRunning := vm.peakMemoryMB()
	t.Logf("%d MB, %d descriptors at most", memory, fds)
	assert.Check(t, isRunning, "the process has ended")
	assert.Check(t, memory <= crowdMemoryMB, "%d MB of %d", memory, crowdMemoryMB)
	assert.Check(t, fds <= crowdFDs, "%d descriptors of %d", fds, crowdFDs)
	assert.Check(t, isAnswered, "an ordinary request beside the open connections")
	assert.Check(t, f.answersOrdinaryRequest(nil), "an ordinary request afterwards")
}

// Guards against clients of the callers' port that end a VM's process, or hang it, before it
// has accepted a request of theirs.
func TestCrowdOfCallersFitsTheVM(t *testing.T) {
	for name, form := range httpForms {
		t.Run(name, func(t *testing.T) {
			meetCrowd(t, form, func(vm *platformtest.VM) string { return vm.CallerAddress })
		})
	}
}

// Guards against the same at the port of the readiness probe.
func TestCrowdOfProbesFitsTheVM(t *testing.T) {
	for name, form := range httpForms {
		t.Run(name, func(t *testing.T) {
			meetCrowd(t, form, func(vm *platformtest.VM) string { return vm.ReadinessAddress })
		})
	}
}

// Guards against the same at the port for operators.
func TestCrowdOfOperatorsFitsTheVM(t *testing.T) {
	forms := map[string]crowdForm{
		"metrics, none is read": {rest: bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"), 20)},
		"states, none is read":  {rest: bytes.Repeat([]byte("GET /state HTTP/1.1\r\nHost: a\r\n\r\n"), 20)},
	}
	for name, form := range httpForms {
		forms[name] = form
	}
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			meetCrowd(t, form, func(vm *platformtest.VM) string {
				return net.JoinHostPort(vm.IP, strconv.Itoa(platform.MetricsPort))
			})
		})
	}
}

// Guards against the same at the port for other VMs.
func TestCrowdOfPeersFitsTheVM(t *testing.T) {
	for name, form := range peerForms {
		t.Run(name, func(t *testing.T) {
			meetCrowd(t, form, func(vm *platformtest.VM) string { return vm.PeerAddress })
		})
	}
}

// Guards against limits that refuse a request inside the limits of the configuration: one whose
// head is just below its limit, in one field or in many.
func TestRequestWithAHeadJustBelowItsLimitIsServed(t *testing.T) {
	f := newFleetOf(t, []string{"near-a"}, platformtest.BasicConfig())
	assert.Assert(t, f.answersOrdinaryRequest(map[string]string{"X-Large": strings.Repeat("a", headLimit-1024)}))
	many := make(map[string]string)
	for n := range 90 {
		many[fmt.Sprintf("X-Field-%d", n)] = strings.Repeat("a", 150)
	}
	assert.Assert(t, f.answersOrdinaryRequest(many))
}
