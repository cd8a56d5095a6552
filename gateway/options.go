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

// Snapshot is what the gateway reads of one version of the operators'
// document.
type Snapshot interface {
	Version() uint64
	Authenticate(presented string) (account structs.AccountID, keyID string, ok bool)
	KeyValid(account structs.AccountID, keyID string) bool
	Program(kind string) (config.Program, bool)
	Service(id structs.ServiceID) (config.Service, bool)
	Account(id structs.AccountID) (config.Account, bool)
	MayRun(account structs.AccountID, kind string) bool
	MayAsk(kind string, service structs.ServiceID) bool
	MatchRoute(path string) (name string, route config.Route, ok bool)
	MayUseRoute(account structs.AccountID, name string) bool
}

// SnapshotSource gives the configuration in force and a channel that is closed when it
// has changed. S is the holder's own snapshot type.
type SnapshotSource[S Snapshot] interface {
	Current() S
	Changed() <-chan struct{}
}

// Configs gives the configuration in force; Current is nil before the first
// version.
type Configs interface {
	Current() Snapshot
	Changed() <-chan struct{}
}

type followed[S interface {
	comparable
	Snapshot
}] struct{ holder SnapshotSource[S] }

// NewConfigs makes Configs of a holder whose zero snapshot means that none is held.
func NewConfigs[S interface {
	comparable
	Snapshot
}](holder SnapshotSource[S]) Configs {
	return followed[S]{holder: holder}
}

func (f followed[S]) Current() Snapshot {
	var none S
	current := f.holder.Current()
	if current == none {
		return nil
	}
	return current
}

func (f followed[S]) Changed() <-chan struct{} { return f.holder.Changed() }

// Admitter admits requests of client accounts.
type Admitter interface {
	Admit(ctx context.Context, account structs.AccountID) *structs.Refusal
}

// Options configures a Gateway. Domain, Configs, Forwarder and Admitter are
// required.
type Options struct {
	Domain    structs.DomainID
	Configs   Configs
	Forwarder *forward.Forwarder
	Admitter  Admitter
	// Domains lists all failure domains; it places one-shot calls that carry
	// an idempotency key. Nil means the own domain only.
	Domains func() []structs.DomainID
	Limits  settings.Limits
	// ConfigAge returns the time since the configuration in force was last
	// confirmed. Requests that need a key are refused while it exceeds
	// MaxStale; 0 sets no limit.
	ConfigAge func() time.Duration
	MaxStale  time.Duration
	// Listen is the callers' address, TLS its certificate.
	Listen  string
	TLS     settings.CallersTLS
	Log     *slog.Logger
	Metrics *metrics.Set
	Clock   func() structs.Instant // nil means structs.Now
	// NewID draws the random part of an identifier; nil means crypto/rand.
	NewID func() string
	// DrainGrace is how long new requests are served after readiness has
	// failed; negative means not at all, 0 means 3 s.
	DrainGrace time.Duration
	// The rest has defaults; see defaults.
	MaxInFlight       int   // requests
	MaxOpenInFlight   int   // requests on open routes
	MaxTotalBodyBytes int64 // bytes of all request bodies held at a time
	MaxResponseBytes  int64 // bytes of one answer that is not streamed
	BodyTimeout       time.Duration
	WriteTimeout      time.Duration // of one write to a caller
}

const (
	defaultMaxInFlight     = 8192
	defaultMaxOpenInFlight = 256
	defaultMaxBodies       = 128 << 20 // bytes
	defaultMaxAnswer       = 8 << 20   // bytes
	defaultBodyTimeout     = 30 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	defaultDrainGrace      = 3 * time.Second
	idBytes                = 16
)

func (o Options) defaults() Options {
	limits := settings.Default().Limits
	setDefault(&o.Limits.MaxBody, limits.MaxBody)
	setDefault(&o.Limits.MaxHeader, limits.MaxHeader)
	setDefault(&o.Limits.HeaderTimeout, limits.HeaderTimeout)
	setDefault(&o.Limits.CallTimeout, limits.CallTimeout)
	setDefault(&o.MaxInFlight, defaultMaxInFlight)
	setDefault(&o.MaxOpenInFlight, defaultMaxOpenInFlight)
	setDefault(&o.MaxTotalBodyBytes, defaultMaxBodies)
	setDefault(&o.MaxResponseBytes, defaultMaxAnswer)
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

// randomID draws an identifier. crypto/rand.Read never fails.
func randomID() string {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
