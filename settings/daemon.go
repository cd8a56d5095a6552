package settings

import (
	"encoding/json"
	"time"

	"github.com/endivecourse/endivecourse/internal/strictjson"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// DescribeFormat names how a duration is written.
func (d Duration) DescribeFormat() string { return `a duration such as "250ms", "1.5s" or "10m"` }

// Std returns the time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Daemon is the settings file of a gatewayd or a schedulerd. All addresses are
// host:port with a numeric host.
type Daemon struct {
	VM     structs.VMID     `json:"vm"`
	Domain structs.DomainID `json:"domain"`
	Region string           `json:"region"`
	Listen Listen           `json:"listen"`
	// Schedulers holds wire addresses by failure domain, the own one
	// included; they are used until the platform's VM list is known.
	Schedulers map[structs.DomainID][]string `json:"schedulers"`
	Platform   Platform                      `json:"platform"`
	WireTLS    wire.TLSFiles                 `json:"wire_tls"`
	CallersTLS CallersTLS                    `json:"callers_tls"`
	Log        Log                           `json:"log"`
	Limits     Limits                        `json:"limits"`
	Lease      Lease                         `json:"lease"`
	Policy     Policy                        `json:"policy"`
	Config     Config                        `json:"config"`
	// OperatorTokenHash is the hex SHA-256 of the operators' token for the
	// admin address; empty allows loopback peers only.
	OperatorTokenHash string `json:"operator_token_hash"`

	source *strictjson.Node // the file that the settings come from, or nil
}

// Listen holds the addresses that a daemon listens on.
type Listen struct {
	Callers string `json:"callers,omitempty"` // gatewayd: HTTP for callers
	Wire    string `json:"wire,omitempty"`    // schedulerd: frames from gateways and schedulers
	Admin   string `json:"admin"`             // health, metrics, state dump
	// Advertise is the address at which other daemons reach Wire; empty means
	// Wire itself.
	Advertise string `json:"advertise,omitempty"`
}

// AdvertisedAddr returns the wire address that other daemons use.
func (l Listen) AdvertisedAddr() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Wire
}

// Platform names the platform driver and its address.
type Platform struct {
	Driver  string   `json:"driver"` // "http"
	URL     string   `json:"url"`
	Timeout Duration `json:"timeout"`
}

// CallersTLS names the certificate of the callers' address; both or none.
type CallersTLS struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
}

// Log sets level (debug, info, warn, error) and format (json, text).
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Limits bounds what one daemon takes on.
type Limits struct {
	MaxBody       int64    `json:"max_body_bytes"`
	MaxHeader     int      `json:"max_header_bytes"`
	MaxQueued     int      `json:"max_queued_calls"`
	MaxPrograms   int      `json:"max_programs"`
	MaxTail       int64    `json:"max_tail_bytes"`
	ReorderWindow int      `json:"reorder_window"`
	HeaderTimeout Duration `json:"header_timeout"`
	CallTimeout   Duration `json:"call_timeout"`
	DrainTimeout  Duration `json:"drain_timeout"`
}

// Lease sets the ownership of slots.
type Lease struct {
	Slots      int      `json:"slots"`    // per failure domain, the same in every daemon
	Duration   Duration `json:"duration"` // how long one renewal lasts
	Renew      Duration `json:"renew"`    // interval between renewals
	ClockDrift float64  `json:"clock_drift"`
}

// Policy names the plug-ins that order and place calls.
type Policy struct {
	Queue string `json:"queue"` // module name without "queue."
	Route string `json:"route"` // module name without "route."
}

// Config sets how the operators' document is followed.
type Config struct {
	Poll     Duration `json:"poll"`
	MaxStale Duration `json:"max_stale"` // 0 serves on without limit
}

// Default returns the settings that a file may leave out.
func Default() Daemon {
	return Daemon{
		Platform: Platform{Driver: "http", Timeout: Duration(2 * time.Second)},
		Log:      Log{Level: "info", Format: "json"},
		Limits: Limits{
			MaxBody: 4 << 20, MaxHeader: 32 << 10, MaxQueued: 4096, MaxPrograms: 20000,
			MaxTail: 64 << 20, ReorderWindow: 16, HeaderTimeout: Duration(10 * time.Second),
			CallTimeout: Duration(10 * time.Minute), DrainTimeout: Duration(10 * time.Minute),
		},
		Lease:  Lease{Slots: 64, Duration: Duration(2 * time.Second), Renew: Duration(500 * time.Millisecond), ClockDrift: 0.01},
		Policy: Policy{Queue: "fair", Route: "prefix"},
		Config: Config{Poll: Duration(time.Second)},
	}
}
