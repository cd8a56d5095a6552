package capacity

import (
	"context"
	"fmt"
	"maps"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/wire"
)

// BenchmarkSnapshotMemory reports the heap bytes of the first configuration version and of
// each later version that the holder retains and that differs in one account.
func BenchmarkSnapshotMemory(b *testing.B) {
	for _, size := range []struct{ accounts, targets int }{{8, 20}, {220, 600}, {2200, 6000}} {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", size.accounts, size.targets), func(b *testing.B) {
			const versions = 8
			data, err := newDocument(b, size.accounts, size.targets, "http://127.0.0.1:1").Encode()
			assert.NilError(b, err)
			holder := &config.Holder{}
			empty := heapBytes()
			doc, err := config.DecodeDocument(data)
			assert.NilError(b, err)
			holder.Apply(config.NewSnapshot(1, "op", doc))
			first := heapBytes()
			for version := uint64(2); version <= versions; version++ {
				holder.Apply(nextSnapshot(b, holder.Current(), version))
			}
			last := heapBytes()
			b.ReportMetric(first-empty, "B/first")
			b.ReportMetric((last-first)/(versions-1), "B/further")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(holder)
			runtime.KeepAlive(data)
		})
	}
}

// nextSnapshot applies a patch to from that changes one account.
func nextSnapshot(b *testing.B, from *config.Snapshot, version uint64) *config.Snapshot {
	account, _ := from.Account("account-0")
	account.Rate = float64(version)
	doc := from.Document()
	next := doc
	next.Accounts = maps.Clone(doc.Accounts)
	next.Accounts["account-0"] = account
	patch, err := config.Diff(from, config.NewSnapshot(version, "op", next))
	assert.NilError(b, err)
	applied, err := patch.Apply(from)
	assert.NilError(b, err)
	return applied
}

// BenchmarkExchange measures one request and reply over the wire protocol. The CPU time
// is the sum for client and server.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			server := wire.NewServer(wire.Options{})
			wire.HandleUnary(server, "quota.echo", func(_ context.Context, in []byte) ([]byte, error) { return in, nil })
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			go func() { _ = server.Serve(listener) }() // returns when the server is closed
			client := wire.NewClient(wire.Options{})
			body := make([]byte, size)
			call := func() {
				var out []byte
				assert.NilError(b, client.Call(b.Context(), listener.Addr().String(), "quota.echo", body, &out))
			}
			call()
			traffic := client.Traffic()
			bytes, cpu := traffic.Sent(wire.Control)+traffic.Received(wire.Control), cpuTime()
			for b.Loop() {
				call()
			}
			b.ReportMetric(float64(traffic.Sent(wire.Control)+traffic.Received(wire.Control)-bytes)/float64(b.N)-2*float64(size), "B-beyond-bodies/exchange")
			b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/exchange")
			client.Close()
			assert.NilError(b, server.Close())
		})
	}
}
