package command

import (
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/backing/httpbacking"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/config/configwatch"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// startConfigFollowers runs the components by which a scheduler and a gateway of one failure
// domain follow the configuration, and returns the gateway's holder.
func startConfigFollowers(t *testing.T, domain structs.DomainID, table backing.Table) *config.Holder {
	client := wire.NewClient(wire.Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	holder := &config.Holder{}
	scheduler := configwatch.NewScheduler(configwatch.SchedulerOptions{
		Self: addr, VM: structs.VMID(domain + "-1"), Domain: domain, Holder: &config.Holder{}, Table: table,
		Wire: client, Peers: func() []string { return []string{addr} }, Poll: 20 * time.Millisecond,
	})
	gateway := configwatch.NewGateway(configwatch.GatewayOptions{
		VM: structs.VMID(domain + "-1"), Holder: holder, Wire: client, Schedulers: func() []string { return []string{addr} },
	})
	server := wire.NewServer(wire.Options{})
	scheduler.RegisterHandlers(server)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { assert.Check(t, server.Serve(listener)) })
	wg.Go(func() {
		assert.Check(t, kernel.New(slog.New(slog.DiscardHandler), scheduler, gateway).Run(ctx, time.Second))
	})
	t.Cleanup(func() {
		cancel()
		server.Close()
		client.Close()
		wg.Wait()
	})
	return holder
}

// Over the HTTP driver and real configuration followers: apply waits until all failure
// domains have the version in force and names those that don't. A change whose response is
// lost is reported as stored, and one during an outage of the store as not stored.
func TestApplyWaitsUntilInForce(t *testing.T) {
	platformStub := standin.New(standin.Options{})
	server := httptest.NewServer(platformStub.Handler())
	t.Cleanup(server.Close)
	services, err := httpbacking.New(server.URL, time.Second)
	assert.NilError(t, err)
	startFollowers := func(name structs.DomainID) *config.Holder { return startConfigFollowers(t, name, services.Table) }
	gateways := []*config.Holder{startFollowers("dundee-a"), startFollowers("perth-b")}
	runCtl := func(args ...string) (int, string) {
		var out strings.Builder
		args = append(args, "--platform", server.URL, "--author", "op")
		return Run(t.Context(), args, &out, &out), out.String()
	}

	status, out := runCtl("config", "apply", "--base", baseFile, "--overlay", overlayFile, "--wait", "1s")
	assert.Equal(t, status, ExitNotInForce, out)
	assert.Assert(t, strings.Contains(out, "stored at version 1\n"), out)
	assert.Assert(t, strings.Contains(out, "missing:") && strings.Contains(out, "glasgow-a"), out)

	gateways = append(gateways, startFollowers("glasgow-a"))
	status, out = runCtl("account", "set", "council-dundee", "--burst", "5")
	assert.Equal(t, status, ExitOK, out)
	assert.Assert(t, strings.HasSuffix(out, "in force in 3 of 3 failure domains\n"), out)
	for _, holder := range gateways {
		if current := holder.Current(); current != nil {
			assert.Equal(t, current.Version(), uint64(2))
		}
	}

	platformStub.LoseResponses("table", 1)
	status, out = runCtl("account", "set", "council-dundee", "--burst", "6")
	assert.Equal(t, status, ExitOK, out)
	platformStub.SetOutage("table", true)
	status, out = runCtl("account", "set", "council-dundee", "--burst", "7")
	assert.Equal(t, status, ExitFailed, out)
	assert.Assert(t, strings.HasPrefix(out, "not stored: "), out)
}
