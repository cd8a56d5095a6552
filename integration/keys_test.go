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
	// longAnswer is the least number of tokens of an answer that outlasts a
	// change of the configuration.
	longAnswer = 12
	// settleWithin bounds what ends at some time.
	settleWithin = 30 * time.Second
)

// longPrompt returns a question whose answer has between min and max tokens.
func longPrompt(name string, min, max int) []structs.Message {
	for n := 0; ; n++ {
		prompt := []structs.Message{{Role: "user", Content: fmt.Sprintf("%s %d", name, n)}}
		if tokens := tokenCount(engine.Answer(prompt)); tokens >= min && tokens <= max {
			return prompt
		}
	}
}

// openStream is an answer that is being received.
type openStream struct {
	prompt []structs.Message
	began  chan struct{}
	done   chan struct{} // closed once text, err and at are set
	text   string
	err    error
	at     time.Time
}

// stream makes a program at a gateway and opens an answer of many seconds.
func (f *fleet) stream(gateway *daemonProcess, account structs.AccountID, kind string, prompt []structs.Message) *openStream {
	f.t.Helper()
	c := f.talk(gateway, account, kind, modelName)
	s := &openStream{prompt: prompt, began: make(chan struct{}), done: make(chan struct{})}
	var once sync.Once
	call := caller.ModelCall{Call: 1, Service: modelName, Messages: prompt}
	go func() {
		defer close(s.done)
		answer, err := c.client.Model(f.t.Context(), c.id, call, func(string) { once.Do(func() { close(s.began) }) })
		s.text, s.err, s.at = answer.Text, err, time.Now()
	}()
	select {
	case <-s.began:
	case <-s.done:
		f.t.Fatalf("stream at %s: %v", gateway.settings.VM, s.err)
	}
	return s
}

// withdraw stores a version without the keys of an account.
func (f *fleet) withdraw(store *config.Store, account structs.AccountID) uint64 {
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

// answerTo returns the status that a gateway gives to a key, or 0 when it does
// not answer.
func answerTo(ctx context.Context, gateway *daemonProcess, key string) int {
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

// waitRefused waits until each gateway refuses a key and returns the times.
func (f *fleet) waitRefused(gateways []*daemonProcess, key string, since time.Time) map[structs.VMID]time.Duration {
	f.t.Helper()
	var mu sync.Mutex
	refused := make(map[structs.VMID]time.Duration)
	var group errgroup.Group
	for _, gateway := range gateways {
		group.Go(func() error {
			for answerTo(f.t.Context(), gateway, key) != http.StatusUnauthorized {
				if time.Since(since) > settleWithin {
					return &unexpected{"key is not refused at", gateway.settings.VM}
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

func longest(times map[structs.VMID]time.Duration) time.Duration {
	var most time.Duration
	for _, d := range times {
		most = max(most, d)
	}
	return most
}

// An operator withdraws a key while its callers are connected at all gateways.
// Their streams end as unauthorized, those of another account are whole, and
// the key is refused everywhere from then on, also by a VM that is born while
// the store is down.
func TestWithdrawnKey(t *testing.T) {
	const withdrawn, kept = structs.AccountID("court-wardens"), structs.AccountID("crew-dispatch")
	f := startFleet(t, fleetOptions{name: "accra", cuttable: true, document: ample, engine: engine.Options{TokenTime: slowToken}})
	other := f.stream(f.gateways[0], kept, "round-planner", longPrompt("kept", longAnswer-4, longAnswer-2))
	var streams []*openStream
	for _, gateway := range f.gateways {
		name := string(gateway.settings.VM)
		streams = append(streams, f.stream(gateway, withdrawn, "rake-agent", longPrompt(name, longAnswer, 2*longAnswer)))
	}
	version := f.withdraw(f.site.Store(), withdrawn)
	stored := time.Now()
	refused := f.waitRefused(f.gateways, f.keys[withdrawn], stored)
	ended := make(map[structs.VMID]time.Duration)
	for i, s := range streams {
		<-s.done
		var refusal *caller.RefusedError
		assert.Assert(t, errors.As(s.err, &refusal), "%v", s.err)
		assert.Equal(t, refusal.Kind, structs.RefusedUnauthorized)
		ended[f.gateways[i].settings.VM] = s.at.Sub(stored).Round(time.Millisecond)
	}
	t.Logf("from stored to refused: %s, to the end of the stream: %s", longest(refused), longest(ended))
	<-other.done
	assert.NilError(t, other.err)
	assert.Equal(t, other.text, engine.Answer(other.prompt))
	f.checkBornInOutage(version, f.keys[withdrawn])
}

// checkBornInOutage restarts both daemons of a VM while the store is down, and
// checks that they serve nothing older than the version.
func (f *fleet) checkBornInOutage(version uint64, withdrawnKey string) {
	f.t.Helper()
	f.site.Platform.SetOutage(standin.Table, true)
	defer f.site.Platform.SetOutage(standin.Table, false)
	gateway, scheduler := f.gateways[0], f.schedulers[0]
	f.kill(gateway)
	f.kill(scheduler)
	born := time.Now()
	f.start(scheduler)
	f.start(gateway)
	for status := 0; status != http.StatusUnauthorized; time.Sleep(5 * time.Millisecond) {
		assert.Assert(f.t, time.Since(born) < settleWithin, "the key is answered with %d", status)
		status = answerTo(f.t.Context(), gateway, withdrawnKey)
		legal := status == 0 || status == http.StatusServiceUnavailable || status == http.StatusUnauthorized
		assert.Assert(f.t, legal, "a VM born in an outage answers a withdrawn key with %d", status)
	}
	f.t.Logf("a VM born in the outage refuses the key %s after its start", time.Since(born).Round(time.Millisecond))
	for _, d := range []*daemonProcess{scheduler, gateway} {
		for f.version(d) != version {
			assert.Assert(f.t, time.Since(born) < settleWithin, "%s has version %d", d.binary, f.version(d))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// version returns the version of the configuration that a daemon has.
func (f *fleet) version(d *daemonProcess) uint64 { return readVersion(f.t, f.read(d, "/dump")) }

// The store is cut from the schedulers of two failure domains. A withdrawal
// reaches their gateways through the third, as does the next change.
func TestChangeReachesDomainsCutFromTheStore(t *testing.T) {
	const first, second = structs.AccountID("court-wardens"), structs.AccountID("crew-dispatch")
	f := startFleet(t, fleetOptions{name: "accra", cuttable: true, document: ample})
	for _, d := range f.schedulers {
		if d.settings.Domain != "accra-central" {
			f.stores[d.settings.VM].setCut(true)
		}
	}
	for _, account := range []structs.AccountID{first, second} {
		f.withdraw(f.site.Store(), account)
		times := f.waitRefused(f.gateways, f.keys[account], time.Now())
		t.Logf("from stored to refused at all gateways: %s %v", longest(times), times)
	}
}

// Operators race each other through the platform's own protocol while answers
// are lost. Each round has one winner, and every other is told who it is.
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
