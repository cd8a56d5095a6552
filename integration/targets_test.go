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
	// leftAfter is how long a leaving target may still get new work.
	leftAfter = 5 * time.Second
	watchFor  = 2 * time.Second
)

// A request crashes each engine that runs it, and its caller sends it again
// and again through all gateways, in programs of all failure domains. It
// crashes two engines of the whole fleet; other requests are served.
func TestPoisonRequest(t *testing.T) {
	f := startFleet(t, fleetOptions{name: "accra", cuttable: true, document: ample, engine: engine.Options{CrashMarker: crashMarker}})
	var refusals []caller.RefusedError
	for range 2 {
		for _, gateway := range f.gateways {
			refusals = append(refusals, f.poison(f.talk(gateway, "court-wardens", "rake-agent", modelName)))
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
	f.talk(f.gateways[0], "court-wardens", "rake-agent", modelName).turn("harmless")
}

// poison sends the crashing request once it is admitted and returns its
// refusal.
func (f *fleet) poison(c *talk) caller.RefusedError {
	f.t.Helper()
	call := caller.ModelCall{Call: 1, Service: modelName, Messages: []structs.Message{{Role: "user", Content: crashMarker}}}
	var refusal *caller.RefusedError
	f.persist("poison", func(ctx context.Context) error {
		_, err := c.client.Model(ctx, c.id, call, nil)
		if !errors.As(err, &refusal) {
			return &unexpected{"answer to a crashing request", err}
		}
		if refusal.Kind == structs.RefusedOverRate || refusal.Kind == structs.RefusedNotReady {
			return err
		}
		return nil
	})
	return *refusal
}

// completions counts the calls that a target has received.
func (f *fleet) completions(id structs.TargetID) int {
	n := 0
	for _, request := range f.site.Engines[id].Requests() {
		if request.URL == "/v1/chat/completions" {
			n++
		}
	}
	return n
}

// A target's VM begins to leave under load. After 5 s it receives nothing new,
// and nothing that ran on it is cut.
func TestLeavingTarget(t *testing.T) {
	const leaving = structs.TargetID("rake-llm-1")
	f := startFleet(t, fleetOptions{name: "accra", document: ample, engine: engine.Options{TokenTime: time.Millisecond}})
	vm := backing.VM{ID: "engine-vm-1", Domain: "accra-central", State: backing.VMLive, Target: leaving}
	f.site.Platform.SetVM(vm)
	var talks []*talk
	for _, gateway := range f.gateways {
		talks = append(talks, f.talk(gateway, "crew-dispatch", "round-planner", modelName))
	}
	load := func(until time.Time) {
		for n := 0; time.Now().Before(until) || n == 0; n++ {
			for _, c := range talks {
				c.turn(fmt.Sprintf("question %d", n))
			}
		}
	}
	load(time.Now().Add(watchFor))
	assert.Assert(t, f.completions(leaving) > 0)
	f.site.Platform.SetVMState(vm.ID, backing.VMLeaving)
	load(time.Now().Add(leftAfter))
	received := f.completions(leaving)
	load(time.Now().Add(watchFor))
	assert.Equal(t, f.completions(leaving), received)
}
