package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	crashMarker = "crash-marker"
	// leavingGrace is how long a leaving target may still get new requests.
	leavingGrace = 5 * time.Second
	loadPeriod   = 2 * time.Second
)

// A request crashes each engine that runs it, and its caller repeats it through
// all gateways, in programs of all failure domains. It must crash no more than two
// engines before the fleet quarantines it; other requests are still served.
func TestPoisonRequest(t *testing.T) {
	f := startFleet(t, fleetOptions{name: "accra", hasForwarders: true, document: raiseRates, engine: engine.Options{CrashMarker: crashMarker}})
	var refusals []caller.RefusedError
	for range 2 {
		for _, gateway := range f.gateways {
			refusals = append(refusals, f.sendCrashingRequest(f.conversation(gateway, "court-wardens", "rake-agent", modelName)))
		}
	}
	crashes := 0
	for _, server := range f.site.Engines {
		crashes += server.CrashCount()
	}
	assert.Equal(t, crashes, 2, "engines crashed; refusals: %v", refusals)
	assert.Equal(t, refusals[0].Run, structs.RunUnknown)
	for _, refusal := range refusals[1:] {
		assert.Equal(t, refusal.Kind, structs.RefusedQuarantined)
		assert.Equal(t, refusal.Run, structs.RunNo)
	}
	f.conversation(f.gateways[0], "court-wardens", "rake-agent", modelName).turn("harmless")
}

// sendCrashingRequest sends the crashing request, retries until it is admitted, and
// returns its refusal.
func (f *fleet) sendCrashingRequest(c *conversation) caller.RefusedError {
	f.t.Helper()
	call := caller.ModelCall{Call: 1, Service: modelName, Messages: []structs.Message{{Role: "user", Content: crashMarker}}}
	var refusal *caller.RefusedError
	f.retry("poison", func(ctx context.Context) error {
		_, err := c.client.Model(ctx, c.id, call, nil)
		if !errors.As(err, &refusal) {
			return &unexpectedError{"unexpected response to a crashing request", err}
		}
		if refusal.Kind == structs.RefusedOverRate || refusal.Kind == structs.RefusedNotReady {
			return err
		}
		return nil
	})
	return *refusal
}

// completionCount counts the calls that a target has received.
func (f *fleet) completionCount(id structs.TargetID) int {
	n := 0
	for _, request := range f.site.Engines[id].Requests() {
		if request.URL == "/v1/chat/completions" {
			n++
		}
	}
	return n
}

// A target's VM is marked as leaving under load. After 5 s the target receives no
// new requests, and no request in progress on it fails.
func TestLeavingTarget(t *testing.T) {
	const leaving = structs.TargetID("rake-llm-1")
	f := startFleet(t, fleetOptions{name: "accra", document: raiseRates, engine: engine.Options{TokenTime: time.Millisecond}})
	vm := backing.VM{ID: "engine-vm-1", Domain: "accra-central", State: backing.VMLive, Target: leaving}
	f.site.Platform.SetVM(vm)
	var conversations []*conversation
	for _, gateway := range f.gateways {
		conversations = append(conversations, f.conversation(gateway, "crew-dispatch", "round-planner", modelName))
	}
	load := func(until time.Time) {
		for n := 0; time.Now().Before(until) || n == 0; n++ {
			for _, c := range conversations {
				c.turn(fmt.Sprintf("question %d", n))
			}
		}
	}
	load(time.Now().Add(loadPeriod))
	assert.Assert(t, f.completionCount(leaving) > 0)
	f.site.Platform.SetVMState(vm.ID, backing.VMLeaving)
	load(time.Now().Add(leavingGrace))
	received := f.completionCount(leaving)
	load(time.Now().Add(loadPeriod))
	assert.Equal(t, f.completionCount(leaving), received)
}
