package configwatch

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"sort"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/internal/tabletest"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// inForce reads the report of a domain.
func inForce(t *testing.T, table backing.Table, domain string) uint64 {
	row, err := table.Get(t.Context(), config.RowInForcePrefix+domain)
	assert.NilError(t, err)
	if row.Version == 0 {
		return 0
	}
	var in InForce
	assert.NilError(t, json.Unmarshal(row.Value, &in))
	return in.Version
}

// fleet runs schedulers and gateways of one domain on loopback.
type fleet struct {
	t         *testing.T
	table     *tabletest.Table
	listeners []net.Listener
	addresses []string
	client    *wire.Client
	ctx       context.Context
	group     sync.WaitGroup
}

func newFleet(t *testing.T, schedulers int) *fleet {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, table: tabletest.New(), client: wire.NewClient(wire.Options{}), ctx: ctx}
	for range schedulers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		f.listeners = append(f.listeners, listener)
		f.addresses = append(f.addresses, listener.Addr().String())
	}
	sort.Slice(f.listeners, func(i, j int) bool {
		return f.listeners[i].Addr().String() < f.listeners[j].Addr().String()
	})
	sort.Strings(f.addresses)
	t.Cleanup(func() {
		cancel()
		f.group.Wait()
		f.client.Close()
	})
	return f
}

// run starts a component and returns the function that stops it.
func (f *fleet) run(c kernel.Component) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	k := kernel.New(slog.New(slog.DiscardHandler), c)
	done := make(chan struct{})
	f.group.Go(func() {
		defer close(done)
		assert.Check(f.t, k.Run(ctx, time.Second))
	})
	return func() {
		cancel()
		<-done
	}
}

func (f *fleet) scheduler(i int, table backing.Table) (*config.Holder, func()) {
	holder := &config.Holder{}
	s := NewScheduler(SchedulerOptions{
		Self: f.addresses[i], VM: structs.VMID(f.addresses[i]), Domain: "d", Holder: holder,
		Table: table, Wire: f.client, Peers: func() []string { return f.addresses }, Poll: 20 * time.Millisecond,
	})
	server := wire.NewServer(wire.Options{})
	s.RegisterHandlers(server)
	f.group.Go(func() { assert.Check(f.t, server.Serve(f.listeners[i])) })
	stop := f.run(s)
	stopBoth := sync.OnceFunc(func() {
		stop()
		server.Close()
	})
	f.t.Cleanup(stopBoth)
	return holder, stopBoth
}

func (f *fleet) gateway(schedulers ...string) *config.Holder {
	holder := &config.Holder{}
	f.t.Cleanup(f.run(NewGateway(GatewayOptions{
		VM: "gateway", Holder: holder, Wire: f.client, Schedulers: func() []string { return schedulers },
	})))
	return holder
}

func (f *fleet) publish(expected uint64) {
	f.t.Helper()
	doc, err := config.Load("../../examples/tayside/base.jsonc", "../../examples/tayside/overlay.jsonc")
	assert.NilError(f.t, err)
	_, err = (&config.Store{Table: f.table}).Publish(f.t.Context(), expected, "op", doc)
	assert.NilError(f.t, err)
}

func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	for !done() {
		assert.Assert(f.t, sleep(f.t.Context(), 5*time.Millisecond), "%s", what)
	}
}

func (f *fleet) awaitVersion(version uint64, holders ...*config.Holder) {
	f.t.Helper()
	for _, h := range holders {
		f.await("version", func() bool { return currentVersion(h) == version })
	}
}

// Versions reach every daemon along the chain store, scheduler, scheduler,
// gateway, and the domain's report follows when all have it.
func TestVersionsReachEveryDaemon(t *testing.T) {
	f := newFleet(t, 2)
	reader, _ := f.scheduler(0, f.table)
	second, _ := f.scheduler(1, f.table)
	gateway := f.gateway(f.addresses[1])
	for version := range uint64(3) {
		f.publish(version)
		f.awaitVersion(version+1, reader, second, gateway)
		f.await("report", func() bool { return inForce(t, f.table, "d") == version+1 })
	}
	f.await("confirmation", func() bool { return gateway.Age(structs.Now()) < neverConfirmed })
}

// A gateway leaves a scheduler that is gone, and the next scheduler polls in
// place of a reader that is gone.
func TestReaderIsReplaced(t *testing.T) {
	f := newFleet(t, 2)
	f.publish(0)
	reader, stop := f.scheduler(0, f.table)
	second, _ := f.scheduler(1, f.table)
	gateway := f.gateway(f.addresses...)
	f.awaitVersion(1, reader, second, gateway)
	stop()
	f.publish(1)
	f.awaitVersion(2, second, gateway)
}

// A fresh scheduler that cannot reach the store takes the version of a peer
// and never goes back when the store returns with an older one.
func TestFreshSchedulerAsksPeers(t *testing.T) {
	f := newFleet(t, 2)
	f.publish(0)
	f.publish(1)
	peer, _ := f.scheduler(1, f.table)
	f.awaitVersion(2, peer)
	old := tabletest.New()
	old.SetDown(true)
	fresh, _ := f.scheduler(0, old)
	f.awaitVersion(2, fresh)
	doc := fresh.Current().Document()
	_, err := (&config.Store{Table: old}).Publish(t.Context(), 0, "op", doc)
	assert.Assert(t, err != nil)
	old.SetDown(false)
	_, err = (&config.Store{Table: old}).Publish(t.Context(), 0, "op", doc)
	assert.NilError(t, err)
	seen := old.ReadCount()
	f.await("polls of the old store", func() bool { return old.ReadCount() > seen+5 })
	assert.Equal(t, currentVersion(fresh), uint64(2))
}

// A scheduler that has lost the store is passed over by those that follow it,
// and takes the version from them.
func TestReaderWithoutStoreIsPassedOver(t *testing.T) {
	f := newFleet(t, 2)
	cut := tabletest.New()
	cut.SetDown(true)
	reader, _ := f.scheduler(0, cut)
	second, _ := f.scheduler(1, f.table)
	f.publish(0)
	f.awaitVersion(1, second, reader)
	f.await("report", func() bool { return inForce(t, f.table, "d") == 1 })
}

// An answer confirms only what the peer itself had confirmed, counted from when
// the question was sent.
func TestConfirmationKeepsThePeersAge(t *testing.T) {
	f := newFleet(t, 1)
	ages := make(chan time.Duration, 1)
	arrived := make(chan structs.Instant, 3)
	server := wire.NewServer(wire.Options{})
	wire.HandleUnary(server, structs.MethodWatchConfig, func(context.Context, structs.ConfigQuery) (structs.ConfigVersion, error) {
		arrived <- structs.Now()
		return structs.ConfigVersion{Age: <-ages}, nil
	})
	f.group.Go(func() { assert.Check(t, server.Serve(f.listeners[0])) })
	t.Cleanup(func() { server.Close() })
	a := asker{from: "test", holder: &config.Holder{}, wire: f.client}

	ages <- math.MaxInt64
	_, err := a.ask(t.Context(), f.addresses[0], 0)
	assert.NilError(t, err)
	assert.Equal(t, a.holder.Age(structs.Now()), time.Duration(math.MaxInt64))

	ages <- time.Hour
	_, err = a.ask(t.Context(), f.addresses[0], 0)
	assert.NilError(t, err)
	assert.Assert(t, a.holder.Age(structs.Now()) >= time.Hour)

	<-arrived
	<-arrived
	var heldSince structs.Instant
	asked := structs.Now()
	go func() {
		heldSince = <-arrived
		sleep(t.Context(), 20*time.Millisecond)
		ages <- 0
	}()
	_, err = a.ask(t.Context(), f.addresses[0], 0)
	assert.NilError(t, err)
	answered := structs.Now()
	assert.Assert(t, a.holder.Age(answered) >= answered.Sub(heldSince), "counted from the answer")
	assert.Assert(t, a.holder.Age(answered) <= answered.Sub(asked), "counted from before the question")
}
