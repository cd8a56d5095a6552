package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/gateway/forward"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Snapshot is the gateway's view of one version of the configuration.
type Snapshot interface {
	Version() uint64
	Authenticate(presented string) (account structs.AccountID, keyID string, ok bool)
	IsKeyValid(account structs.AccountID, keyID string) bool
	Program(kind string) (config.Program, bool)
	Service(id structs.ServiceID) (config.Service, bool)
	Account(id structs.AccountID) (config.Account, bool)
	MayRun(account structs.AccountID, kind string) bool
	MayCall(kind string, service structs.ServiceID) bool
	MatchRoute(path string) (name string, route config.Route, ok bool)
	MayUseRoute(account structs.AccountID, name string) bool
}

// SnapshotSource provides the configuration in force and a channel that is closed on
// its next change. S is the concrete snapshot type of the source.
type SnapshotSource[S Snapshot] interface {
	Current() S
	Changed() <-chan struct{}
}

// Configs provides the configuration in force; Current is nil before the first version.
type Configs interface {
	Current() Snapshot
	Changed() <-chan struct{}
}

// sourceConfigs adapts a SnapshotSource to Configs.
type sourceConfigs[S interface {
	comparable
	Snapshot
}] struct{ source SnapshotSource[S] }

// NewConfigs adapts a source to Configs. The zero value of S means that the source has
// no configuration yet.
func NewConfigs[S interface {
	comparable
	Snapshot
}](source SnapshotSource[S]) Configs {
	return sourceConfigs[S]{source: source}
}

func (f sourceConfigs[S]) Current() Snapshot {
	var none S
	current := f.source.Current()
	if current == none {
		return nil
	}
	return current
}

func (f sourceConfigs[S]) Changed() <-chan struct{} { return f.source.Changed() }

// Admitter applies the rate limits of client accounts.
type Admitter interface {
	Admit(ctx context.Context, account structs.AccountID) *structs.Refusal
}

// Options configures a Gateway. Domain, Configs, Forwarder, Admitter and Listen are
// required.
type Options struct {
	Domain    structs.DomainID
	Configs   Configs
	Forwarder *forward.Forwarder
	Admitter  Admitter
	// Domains lists all failure domains. A program that is created with an idempotency
	// key is placed in one of them by a hash of the key. Nil means the gateway's own
	// domain only.
	Domains func() []structs.DomainID
	Limits  settings.Limits
	// ConfigAge returns the time since the configuration in force was last
	// confirmed. Requests that need a key are refused while it exceeds
	// MaxStale; 0 sets no limit.
	ConfigAge func() time.Duration
	MaxStale  time.Duration
	// Listen is the address that callers connect to, TLS its certificate.
	Listen  string
	TLS     settings.CallersTLS
	Log     *slog.Logger
	Metrics *metrics.Set
	Clock   func() structs.Instant // nil means structs.Now
	// NewID generates the random part of an identifier; nil means crypto/rand.
	NewID func() string
	// DrainGrace is how long a drain continues to serve new requests after /readyz has
	// begun to fail; negative means not at all, 0 means 3 s.
	DrainGrace time.Duration
	// A zero value of the fields below means the default of the same name.
	MaxInFlight       int           // requests
	MaxOpenInFlight   int           // requests on open routes
	MaxTotalBodyBytes int64         // of all request bodies in memory
	MaxResponseBytes  int64         // of one response that isn't streamed
	BodyTimeout       time.Duration // for reading a request body
	WriteTimeout      time.Duration // of one write to a caller
}

const (
	defaultMaxInFlight       = 8192
	defaultMaxOpenInFlight   = 256
	defaultMaxTotalBodyBytes = 128 << 20 // bytes
	defaultMaxResponseBytes  = 8 << 20   // bytes
	defaultBodyTimeout       = 30 * time.Second
	defaultWriteTimeout      = 30 * time.Second
	defaultDrainGrace        = 3 * time.Second
	idBytes                  = 16
)

func (o Options) defaults() Options {
	limits := settings.Default().Limits
	setDefault(&o.Limits.MaxBody, limits.MaxBody)
	setDefault(&o.Limits.MaxHeader, limits.MaxHeader)
	setDefault(&o.Limits.HeaderTimeout, limits.HeaderTimeout)
	setDefault(&o.Limits.CallTimeout, limits.CallTimeout)
	setDefault(&o.MaxInFlight, defaultMaxInFlight)
	setDefault(&o.MaxOpenInFlight, defaultMaxOpenInFlight)
	setDefault(&o.MaxTotalBodyBytes, defaultMaxTotalBodyBytes)
	setDefault(&o.MaxResponseBytes, defaultMaxResponseBytes)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.DrainGrace, defaultDrainGrace)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Clock == nil {
		o.Clock = structs.Now
	}
	if o.NewID == nil {
		o.NewID = randomID
	}
	if o.Domains == nil {
		own := []structs.DomainID{o.Domain}
		o.Domains = func() []structs.DomainID { return own }
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// randomID generates an identifier. crypto/rand.Read never returns an error.
func randomID() string {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
