package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/internal/tabletest"
	"github.com/endivecourse/endivecourse/keeper"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// noObjects is an object store for idle keepers.
type noObjects struct{ backing.Objects }

func (noObjects) Put(context.Context, string, []byte) error      { return nil }
func (noObjects) List(context.Context, string) ([]string, error) { return nil, nil }
func (noObjects) Delete(context.Context, string) error           { return nil }
func (noObjects) Get(_ context.Context, key string) ([]byte, error) {
	return nil, &backing.NotFoundError{Key: key}
}

// BenchmarkKeeper measures idle keepers of one failure domain: leases renewed
// by witnesses. Only the table is shared.
func BenchmarkKeeper(b *testing.B) {
	for _, n := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprintf("schedulers=%d", n), func(b *testing.B) { measureKeepers(b, n) })
	}
}

func measureKeepers(b *testing.B, n int) {
	table := tabletest.New()
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	var peers []keeper.Peer
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners = append(listeners, l)
		peers = append(peers, keeper.Peer{VM: structs.VMID(fmt.Sprint("vm-", i)), Addr: l.Addr().String()})
	}
	var clients []*wire.Client
	var servers []*wire.Server
	log := slog.New(slog.DiscardHandler)
	for i, peer := range peers {
		client, server := wire.NewClient(wire.Options{}), wire.NewServer(wire.Options{})
		k, err := keeper.New(keeper.Options{
			Domain:  fleetDomain,
			Self:    lease.Member{Incarnation: structs.Incarnation(peer.VM + "#1"), VM: peer.VM, Addr: peer.Addr},
			Lease:   settings.Default().Lease,
			MaxTail: 64 << 20, Daemons: n, Table: table, Objects: noObjects{}, Sender: client, Log: log,
			Peers:    func() []keeper.Peer { return peers },
			IsVMGone: func(structs.VMID) bool { return false },
		})
		assert.NilError(b, err)
		k.RegisterHandlers(server)
		clients, servers = append(clients, client), append(servers, server)
		group.Go(func() error { return server.Serve(listeners[i]) })
		group.Go(func() error { return kernel.New(log, k).Run(ctx, time.Second) })
		group.Go(func() error {
			for {
				select {
				case <-k.Changes():
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	time.Sleep(2 * settled)
	bytes := func() (total uint64) {
		for i := range clients {
			for _, t := range []*wire.Traffic{clients[i].Traffic(), servers[i].Traffic()} {
				total += t.Sent(wire.Control) + t.Received(wire.Control)
			}
		}
		return total
	}
	began, before, cpu, reads, commits := time.Now(), bytes(), processorTime(), table.ReadCount(), table.CommitCount()
	time.Sleep(measureFor)
	each := float64(n) * time.Since(began).Seconds()
	b.ReportMetric(float64(bytes()-before)/each, "control-B/s")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/each, "core-%")
	b.ReportMetric(float64(table.ReadCount()-reads)/each, "reads/s")
	b.ReportMetric(float64(table.CommitCount()-commits)/each, "writes/s")
	b.ReportMetric(0, "ns/op")
	cancel()
	for i := range clients {
		clients[i].Close()
		_ = servers[i].Close() // the measurement is over
	}
	_ = group.Wait()
}
