package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// Guards against answers that are broken off since two VMs store turns of one program at a
// time: reservations that their own turns withdraw must not move the program's home VM.
func TestAnswersStayWholeBesideRefusedTurnsAndConfigChanges(t *testing.T) {
	b := newTestSite(t, "near-a", "near-b")
	for n := range 4 {
		b.addTarget(fmt.Sprintf("engine-%d", n), "engine", "near-a").Set(platformtest.Behaviour{Events: 2, Duration: 2 * time.Millisecond})
	}
	b.site.Store.SetFaults(rows.Faults{Delay: 6 * time.Millisecond})
	const duration, callers = 4 * time.Second, 5
	end := time.Now().Add(duration)
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	served := 0
	turn := func(vm *platformtest.VM, id, previous string) response {
		header := map[string]string{platformtest.HeaderProgram: "busy", platformtest.HeaderBudget: "1000000", platformtest.HeaderUsage: "100,20"}
		if previous != "" {
			header[platformtest.HeaderPrevious] = previous
		}
		return b.sendAs(id, request{vm: vm, path: "/chat/1", body: "x", header: header})
	}
	for i, vm := range b.vms {
		for caller := range callers {
			group.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					got := turn(vm, fmt.Sprintf("turn-%d-%d-%d", i, caller, n), "")
					mu.Lock()
					if got.err != nil || got.status != http.StatusOK {
						broken = append(broken, fmt.Sprintf("%s: %d %v %q", got.id, got.status, got.err, got.body))
					}
					served++
					mu.Unlock()
				}
			})
		}
		group.Go(func() {
			// This VM has the other account's turn in its cache, so the refusal is quicker than the reservation.
			others := b.sendAs(fmt.Sprint("others-", i), request{vm: vm, path: "/chat/1", key: "key-two", body: "x"})
			for n := 0; time.Now().Before(end); n++ {
				turn(vm, fmt.Sprintf("refused-%d-%d", i, n), others.id)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			config := platformtest.BasicConfig()
			config.Tenants = append(config.Tenants, platformtest.ConfigTenant{Name: "three", APIKeys: []string{fmt.Sprintf("key-%d", n)}})
			b.site.PutConfig(config)
			time.Sleep(20 * time.Millisecond)
		}
	})
	group.Wait()
	assert.Equal(t, len(broken), 0, "%d of %d turns:\n%s", len(broken), served, strings.Join(broken[:min(len(broken), 3)], "\n"))
}

// Guards against a request that is refused for good, as if it were malformed, since its body
// came too late.
func TestRequestWithLateBodyMayBeRetried(t *testing.T) {
	b := newTestSite(t, "near-a")
	conn, err := net.Dial("tcp", b.vms[0].CallerAddress)
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\n%s: late\r\n%s: key-one\r\n%s: 200\r\nContent-Length: 10\r\n\r\nab",
		platformtest.Host, platformtest.HeaderRequestID, platformtest.HeaderKey, platformtest.HeaderDeadline)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// Guards against request bodies that together exceed the VM's memory, so that its process ends
// with all requests: those that don't fit are refused before they are read.
func TestRequestBodiesBeyondTheMemoryAreRefusedUnread(t *testing.T) {
	const bodyBytes, uploads = 4 << 20, 20 // of a VM with 154 MB
	b := newTestSite(t, "near-a")
	b.addTarget("app-1", "app", "near-a")
	config := platformtest.BasicConfig()
	config.Limits["maxBodyBytes"] = bodyBytes
	version := b.site.PutConfig(config)
	b.waitUntil("limit in force", func() bool {
		return len(b.logs.lines("configuration in force", fmt.Sprintf(`"version":%d`, version))) == 1
	})
	var conns []net.Conn
	refused := 0
	for n := range uploads {
		conn, err := net.Dial("tcp", b.vms[0].CallerAddress)
		assert.NilError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
		fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\n%s: upload-%d\r\n%s: key-one\r\nContent-Length: %d\r\n\r\nbegin",
			platformtest.Host, platformtest.HeaderRequestID, n, platformtest.HeaderKey, bodyBytes)
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
			refused++
		}
	}
	t.Logf("%d of %d uploads refused", refused, uploads)
	assert.Assert(t, refused >= uploads/2 && refused < uploads-4, "%d refused", refused)
	for _, conn := range conns {
		conn.Close()
	}
	b.waitUntil("memory free again", func() bool {
		return b.send(request{path: "/order/1", body: strings.Repeat("x", bodyBytes)}).status == http.StatusOK
	})
	chunked := b.send(request{path: "/order/1", body: strings.Repeat("x", bodyBytes+1)})
	assert.Assert(t, chunked.err != nil || chunked.status == http.StatusRequestEntityTooLarge)
}
