package integration

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing/httpbacking"
	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	slowToken = time.Second
	// longAnswer is the least number of tokens, at one per slowToken, that keeps
	// a response in progress until a configuration change is in force.
	longAnswer = 12
	// settleTimeout bounds the wait for a condition without a deadline of its own.
	settleTimeout = 30 * time.Second
)

// longPrompt returns a prompt to which the engine's answer has between min and max
// tokens.
func longPrompt(name string, min, max int) []structs.Message {
	for n := 0; ; n++ {
		prompt := []structs.Message{{Role: "user", Content: fmt.Sprintf("%s %d", name, n)}}
		if tokens := tokenCount(engine.Answer(prompt)); tokens >= min && tokens <= max {
			return prompt
		}
	}
}

// openStream is a streamed response in progress.
type openStream struct {
	prompt  []structs.Message
	started chan struct{}
	done    chan struct{} // closed once text, err and at are set
	text    string
	err     error
	endedAt time.Time
}

// stream creates a program at a gateway, starts a model call and returns once the
// first data of its response has arrived.
func (f *fleet) stream(gateway *daemonProcess, account structs.AccountID, kind string, prompt []structs.Message) *openStream {
	f.t.Helper()
	c := f.conversation(gateway, account, kind, modelName)
	s := &openStream{prompt: prompt, started: make(chan struct{}), done: make(chan struct{})}
	var once sync.Once
	call := caller.ModelCall{Call: 1, Service: modelName, Messages: prompt}
	go func() {
		defer close(s.done)
		answer, err := c.client.Model(f.t.Context(), c.id, call, func(string) { once.Do(func() { close(s.started) }) })
		s.text, s.err, s.endedAt = answer.Text, err, time.Now()
	}()
	select {
	case <-s.started:
	case <-s.done:
		f.t.Fatalf("stream at %s: %v", gateway.settings.VM, s.err)
	}
	return s
}

// revokeKeys publishes a configuration without the keys of an account and returns
// its version.
func (f *fleet) revokeKeys(store *config.Store, account structs.AccountID) uint64 {
	f.t.Helper()
	head, err := store.CurrentInfo(f.t.Context())
	assert.NilError(f.t, err)
	document := f.document
	document.Accounts = maps.Clone(f.document.Accounts)
	changed := document.Accounts[account]
	changed.Keys = nil
	document.Accounts[account] = changed
	version, err := store.Publish(f.t.Context(), head.Version, "operator", document)
	assert.NilError(f.t, err)
	return version
}

// keyStatus returns the status of a gateway's response to a request with a key, or
// 0 if the gateway does not respond.
func keyStatus(ctx context.Context, gateway *daemonProcess, key string) int {
	url := "http://" + gateway.settings.Listen.Callers + "/v1/programs/none~none"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// waitRefused waits until each gateway refuses a key and returns how long after
// since each of them did.
func (f *fleet) waitRefused(gateways []*daemonProcess, key string, since time.Time) map[structs.VMID]time.Duration {
	f.t.Helper()
	var mu sync.Mutex
	refused := make(map[structs.VMID]time.Duration)
	var group errgroup.Group
	for _, gateway := range gateways {
		group.Go(func() error {
			for keyStatus(f.t.Context(), gateway, key) != http.StatusUnauthorized {
				if time.Since(since) > settleTimeout {
					return &unexpectedError{"revoked key is still accepted at", gateway.settings.VM}
				}
				time.Sleep(20 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			refused[gateway.settings.VM] = time.Since(since).Round(time.Millisecond)
			return nil
		})
	}
	assert.NilError(f.t, group.Wait())
	return refused
}

func maxDuration(times map[structs.VMID]time.Duration) time.Duration {
	var most time.Duration
	for _, d := range times {
		most = max(most, d)
	}
	return most
}

// A key is revoked while its callers have open streams at all gateways. The streams
// must end as unauthorized, and every gateway must refuse the key from then on, also
// on a VM whose daemons restart while the store is down. The stream of another
// account is not affected.
func TestRevokedKey(t *testing.T) {
	const revoked, kept = structs.AccountID("court-wardens"), structs.AccountID("crew-dispatch")
	f := startFleet(t, fleetOptions{name: "accra", hasForwarders: true, document: raiseRates, engine: engine.Options{TokenTime: slowToken}})
	other := f.stream(f.gateways[0], kept, "round-planner", longPrompt("kept", longAnswer-4, longAnswer-2))
	var streams []*openStream
	for _, gateway := range f.gateways {
		name := string(gateway.settings.VM)
		streams = append(streams, f.stream(gateway, revoked, "rake-agent", longPrompt(name, longAnswer, 2*longAnswer)))
	}
	version := f.revokeKeys(f.site.Store(), revoked)
	stored := time.Now()
	refused := f.waitRefused(f.gateways, f.keys[revoked], stored)
	ended := make(map[structs.VMID]time.Duration)
	for i, s := range streams {
		<-s.done
		var refusal *caller.RefusedError
		assert.Assert(t, errors.As(s.err, &refusal), "%v", s.err)
		assert.Equal(t, refusal.Kind, structs.RefusedUnauthorized)
		ended[f.gateways[i].settings.VM] = s.endedAt.Sub(stored).Round(time.Millisecond)
	}
	t.Logf("longest time from the stored change to the refusal: %s, to the end of the stream: %s", maxDuration(refused), maxDuration(ended))
	<-other.done
	assert.NilError(t, other.err)
	assert.Equal(t, other.text, engine.Answer(other.prompt))
	f.checkStartInOutage(version, f.keys[revoked])
}

// checkStartInOutage restarts both daemons of a VM while the store is down and
// checks that they never serve a configuration older than version.
func (f *fleet) checkStartInOutage(version uint64, revokedKey string) {
	f.t.Helper()
	f.site.Platform.SetOutage(standin.Table, true)
	defer f.site.Platform.SetOutage(standin.Table, false)
	gateway, scheduler := f.gateways[0], f.schedulers[0]
	f.kill(gateway)
	f.kill(scheduler)
	startedAt := time.Now()
	f.start(scheduler)
	f.start(gateway)
	for status := 0; status != http.StatusUnauthorized; time.Sleep(5 * time.Millisecond) {
		assert.Assert(f.t, time.Since(startedAt) < settleTimeout, "no refusal of the revoked key in time, last status %d", status)
		status = keyStatus(f.t.Context(), gateway, revokedKey)
		isAllowed := status == 0 || status == http.StatusServiceUnavailable || status == http.StatusUnauthorized
		assert.Assert(f.t, isAllowed, "a VM started in a store outage answers a revoked key with status %d", status)
	}
	f.t.Logf("a VM started in the store outage refuses the key %s after its start", time.Since(startedAt).Round(time.Millisecond))
	for _, d := range []*daemonProcess{scheduler, gateway} {
		for f.version(d) != version {
			assert.Assert(f.t, time.Since(startedAt) < settleTimeout, "%s has configuration version %d", d.binary, f.version(d))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// version returns a daemon's configuration version.
func (f *fleet) version(d *daemonProcess) uint64 { return configVersion(f.t, f.read(d, "/dump")) }

// The schedulers of two failure domains are cut off from the store. A revoked key
// must still be refused at their gateways, which get the change through the third
// failure domain, and so must the next one.
func TestChangeReachesDomainsCutFromTheStore(t *testing.T) {
	const first, second = structs.AccountID("court-wardens"), structs.AccountID("crew-dispatch")
	f := startFleet(t, fleetOptions{name: "accra", hasForwarders: true, document: raiseRates})
	for _, d := range f.schedulers {
		if d.settings.Domain != "accra-central" {
			f.stores[d.settings.VM].setCut(true)
		}
	}
	for _, account := range []structs.AccountID{first, second} {
		f.revokeKeys(f.site.Store(), account)
		times := f.waitRefused(f.gateways, f.keys[account], time.Now())
		t.Logf("time from the stored change to the refusal at all gateways: %s %v", maxDuration(times), times)
	}
}

// Operators publish the same next version at the same time, through the platform's
// HTTP protocol, while some of its responses are lost. In each round exactly one
// succeeds, and every other gets an error that names the author and the version.
func TestRacingOperators(t *testing.T) {
	const operators, rounds, lost = 8, 10, 3
	document := readDocument(t, "../examples/accra", func(text string) string { return text })
	site := startPlatform(t)
	for round := range rounds {
		site.LoseResponses(standin.Table, lost)
		results := make([]error, operators)
		var all sync.WaitGroup
		for i := range operators {
			all.Go(func() {
				services, err := httpbacking.New(site.url, time.Second)
				if err == nil {
					store := &config.Store{Table: services.Table}
					_, err = store.Publish(t.Context(), uint64(round), operatorName(i), document)
				}
				results[i] = err
			})
		}
		all.Wait()
		services, err := httpbacking.New(site.url, time.Second)
		assert.NilError(t, err)
		head, err := (&config.Store{Table: services.Table}).CurrentInfo(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, head.Version, uint64(round+1))
		for i, err := range results {
			var race *config.VersionConflictError
			switch {
			case operatorName(i) == head.Author:
				assert.NilError(t, err)
			default:
				assert.Assert(t, errors.As(err, &race), "%s: %v", operatorName(i), err)
				assert.Equal(t, race.Author, head.Author)
				assert.Equal(t, race.Version, head.Version)
			}
		}
	}
}

func operatorName(i int) string { return fmt.Sprintf("operator-%d", i) }
