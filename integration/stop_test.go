package integration

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/standin/plain"
)

const (
	stopTokenTime = 400 * time.Millisecond
	orderTime     = 1500 * time.Millisecond
	perDomain     = 3 // VMs of one failure domain
)

// Daemons are stopped as planned, one in each failure domain at a time, while
// streams of several seconds and non-repeatable calls run through all daemons. No
// stream or call fails, no call runs twice, and each daemon exits with status 0.
func TestPlannedStops(t *testing.T) {
	f := startFleet(t, fleetOptions{
		name: "accra", document: raiseRates,
		engine: engine.Options{TokenTime: stopTokenTime}, plain: plain.Options{Delay: orderTime},
	})
	for _, daemons := range [][]*daemonProcess{f.schedulers, f.gateways} {
		for n := range perDomain {
			var stopping []*daemonProcess
			for domain := 0; domain < len(daemons); domain += perDomain {
				stopping = append(stopping, daemons[domain+n])
			}
			f.stopUnderLoad(stopping, n)
		}
	}
}

// orderCall is a non-repeatable call in progress.
type orderCall struct {
	body string
	took time.Duration // set before done receives the result
	done chan error
}

func (f *fleet) startOrder(gateway *daemonProcess, body string) *orderCall {
	f.t.Helper()
	c := f.conversation(gateway, "court-wardens", "rake-agent", plainName)
	o := &orderCall{body: body, done: make(chan error, 1)}
	call := caller.PlainCall{Call: 1, Service: plainName, Request: caller.PlainRequest{Method: "POST", Path: orderPath, Body: body}}
	began := time.Now()
	go func() {
		_, err := c.client.Plain(f.t.Context(), c.id, call)
		o.took = time.Since(began).Round(time.Millisecond)
		o.done <- err
	}()
	return o
}

func (f *fleet) stopUnderLoad(stopping []*daemonProcess, round int) {
	f.t.Helper()
	var streams []*openStream
	var orders []*orderCall
	for i, gateway := range f.gateways {
		name := fmt.Sprintf("%s %d %d", stopping[0].binary, round, i)
		streams = append(streams, f.stream(gateway, "crew-dispatch", "round-planner", longPrompt(name, longAnswer, longAnswer+2)))
		orders = append(orders, f.startOrder(gateway, name))
	}
	began := time.Now()
	for _, d := range stopping {
		f.signal(d, syscall.SIGTERM)
	}
	for i, s := range streams {
		<-s.done
		assert.NilError(f.t, s.err, "stream at %s", f.gateways[i].settings.VM)
		assert.Equal(f.t, s.text, engine.Answer(s.prompt))
	}
	slowest := time.Duration(0)
	for i, o := range orders {
		assert.NilError(f.t, <-o.done, "order at %s", f.gateways[i].settings.VM)
		slowest = max(slowest, o.took)
		assert.Equal(f.t, f.orders()[o.body], 1)
	}
	for _, d := range stopping {
		assert.NilError(f.t, d.cmd.Wait(), "%s on %s", d.binary, d.settings.VM)
		f.start(d)
	}
	f.t.Logf("%s of three VMs stopped in %s; slowest order %s", stopping[0].binary,
		time.Since(began).Round(time.Millisecond), slowest)
	f.waitReady()
}
