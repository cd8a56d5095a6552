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

// startDomain runs a scheduler's and a gateway's followers of one failure
// domain and returns the gateway's holder.
func startDomain(t *testing.T, domain structs.DomainID, table backing.Table) *config.Holder {
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
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, server.Serve(listener)) })
	group.Go(func() {
		assert.Check(t, kernel.New(slog.New(slog.DiscardHandler), scheduler, gateway).Run(ctx, time.Second))
	})
	t.Cleanup(func() {
		cancel()
		server.Close()
		client.Close()
		group.Wait()
	})
	return holder
}

// The command line, the HTTP driver, the schedulers' reports and the gateways
// agree on what is stored and where it is in force.
func TestInForceOverTheRealPath(t *testing.T) {
	stand := standin.New(standin.Options{})
	server := httptest.NewServer(stand.Handler())
	t.Cleanup(server.Close)
	services, err := httpbacking.New(server.URL, time.Second)
	assert.NilError(t, err)
	domain := func(name structs.DomainID) *config.Holder { return startDomain(t, name, services.Table) }
	gateways := []*config.Holder{domain("dundee-a"), domain("perth-b")}
	ctl := func(args ...string) (int, string) {
		var out strings.Builder
		args = append(args, "--platform", server.URL, "--author", "op")
		return Run(t.Context(), args, &out, &out), out.String()
	}

	status, out := ctl("config", "apply", "--base", base, "--overlay", overlay, "--wait", "1s")
	assert.Equal(t, status, ExitNotInForce, out)
	assert.Assert(t, strings.Contains(out, "stored at version 1\n"), out)
	assert.Assert(t, strings.Contains(out, "missing:") && strings.Contains(out, "glasgow-a"), out)

	gateways = append(gateways, domain("glasgow-a"))
	status, out = ctl("account", "set", "council-dundee", "--burst", "5")
	assert.Equal(t, status, ExitOK, out)
	assert.Assert(t, strings.HasSuffix(out, "in force in 3 of 3 failure domains\n"), out)
	for _, holder := range gateways {
		if current := holder.Current(); current != nil {
			assert.Equal(t, current.Version(), uint64(2))
		}
	}

	stand.LoseAnswers("table", 1)
	status, out = ctl("account", "set", "council-dundee", "--burst", "6")
	assert.Equal(t, status, ExitOK, out)
	stand.SetOutage("table", true)
	status, out = ctl("account", "set", "council-dundee", "--burst", "7")
	assert.Equal(t, status, ExitFailed, out)
	assert.Assert(t, strings.HasPrefix(out, "not stored: "), out)
}
