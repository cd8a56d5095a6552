package capacity

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/drivers/target/engine"
	"github.com/endivecourse/endivecourse/membership"
	"github.com/endivecourse/endivecourse/structs"
)

// countingListener counts the bytes read and written on all connections it accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, &l.bytes}, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLoadReport measures one poll of a target's load, with the given number of
// programs for which the target holds memory. The CPU time is the sum for client and server.
func BenchmarkLoadReport(b *testing.B) {
	for _, held := range []int{0, 70, 700} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			load := target.Load{Running: 20, Waiting: 3, UsedBlocks: 1000, TotalBlocks: 4000}
			for i := range held {
				load.HeldPrograms = append(load.HeldPrograms, string(programID(i)))
			}
			data, err := json.Marshal(load)
			assert.NilError(b, err)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
			listener := &countingListener{Listener: server.Listener}
			server.Listener = listener
			server.Start()
			defer server.Close()
			driver, err := engine.New(target.Spec{ID: "t", BaseURL: server.URL, Protocol: "engine"})
			assert.NilError(b, err)
			_, err = driver.Load(b.Context())
			assert.NilError(b, err)
			before, cpu := listener.bytes.Load(), cpuTime()
			for b.Loop() {
				_, _ = driver.Load(b.Context())
			}
			b.ReportMetric(float64(listener.bytes.Load()-before)/float64(b.N), "B/report")
			b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/report")
		})
	}
}

// BenchmarkVMList measures decoding one VM list and applying it to the tracker.
func BenchmarkVMList(b *testing.B) {
	for _, n := range []int{65, 650, 6510} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var list []backing.VM
			for i := range n {
				list = append(list, backing.VM{
					ID: structs.VMID(fmt.Sprint("vm-", i)), Domain: structs.DomainID(fmt.Sprint("domain-", i%9)),
					State: backing.VMLive, Target: structs.TargetID(fmt.Sprint("target-", i)),
				})
			}
			data, err := json.Marshal(list)
			assert.NilError(b, err)
			tracker := membership.NewTracker()
			var now structs.Instant
			for b.Loop() {
				now++
				var decoded []backing.VM
				assert.NilError(b, json.Unmarshal(data, &decoded))
				tracker.Apply(now, decoded)
			}
			b.ReportMetric(float64(len(data)), "B/list")
		})
	}
}
