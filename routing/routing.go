// Package routing holds the configuration that requests need: routes, services, client
// accounts with their keys, and limits.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// Kind says whether a route's requests may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests run at most once and are answered with a stream of events.
	Streaming
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Split is a service of a route and its weight.
type Split struct {
	Service structs.ServiceID
	Weight  int
}

// Route tells where and how requests with one host and path prefix are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Splits []Split
	Kind   Kind
	// Timeout is the maximum time that a caller waits, 0 for no limit.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response has its full value.
	LatencyObjective time.Duration
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	// IsPublic means that requests need no key.
	IsPublic bool
	// StoresTurns means that requests are turns of a conversation, which are stored for
	// the time of Retention.
	StoresTurns bool
	Retention   time.Duration
	// IsResumable means that a stream that broke off may go on at another target after
	// the last event that was received.
	IsResumable bool
	// AllowedRegions are the regions whose targets may serve the route, empty for all.
	AllowedRegions []string
}

// IsRepeatable reports whether a request may run more than once.
func (r *Route) IsRepeatable() bool { return r.Kind == Safe || r.Kind == Streaming && r.IsResumable }

// PickService picks one of the route's services by weight. It returns the same service
// for the same affinity as long as the weights don't change.
func (r *Route) PickService(affinity string) structs.ServiceID {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(affinity) % uint64(total))
	for _, split := range r.Splits {
		if point < split.Weight {
			return split.Service
		}
		point -= split.Weight
	}
	return ""
}

// Service is a group of equivalent targets.
type Service struct {
	ID         structs.ServiceID
	HealthPath string
	// MaxConnections is the maximum number of connections of all VMs to one target.
	MaxConnections int
	// TokensPerEvent is the number of tokens in one stream event of a model engine, 0 for
	// a service that is no model engine.
	TokensPerEvent int
	// ColdRate is the number of requests per second that a target takes from all VMs while
	// it is cold, 0 if targets are never cold. ColdStart is how long a target is cold after
	// its start.
	ColdRate  float64
	ColdStart time.Duration
}

// Account is a client account.
type Account struct {
	ID structs.AccountID
	// Rate is the number of requests per second that the account may send through all
	// VMs, 0 for no limit. Burst is the number it may send at once beyond the rate.
	Rate, Burst float64
	// Priority replaces the priority of the route if HasPriority is set; 0 goes first.
	Priority    int
	HasPriority bool
	// AllowedRegions are the regions whose targets may serve the account, empty for all.
	AllowedRegions []string
}

// Limits limits what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version  uint64
	Services map[structs.ServiceID]*Service
	Accounts map[structs.AccountID]*Account
	Limits   Limits
	// RegionLimits is a hash of all AllowedRegions, 0 if there are none.
	RegionLimits uint64
	// HasUnstoredTurns reports whether there are routes whose turns are not stored, which may run
	// while the store is unreachable.
	HasUnstoredTurns bool
	hosts            map[string]*hostRoutes // by name in lower case
	keys             map[string]*Account
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []int // of the prefixes, each once, longest first
}

// TableContents is the input of NewTable.
type TableContents struct {
	Version  uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	Accounts []*Account
	Keys     map[string]*Account // by key
}

// NewTable builds a table.
func NewTable(c TableContents) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		Services: make(map[structs.ServiceID]*Service, len(c.Services)),
		Accounts: make(map[structs.AccountID]*Account, len(c.Accounts)),
		hosts:    make(map[string]*hostRoutes),
		keys:     c.Keys,
	}
	for _, account := range c.Accounts {
		t.Accounts[account.ID] = account
	}
	for _, service := range c.Services {
		t.Services[service.ID] = service
	}
	for _, route := range c.Routes {
		t.HasUnstoredTurns = t.HasUnstoredTurns || route.Kind == Streaming && !route.StoresTurns
		t.addRoute(route)
	}
	for _, host := range t.hosts {
		slices.SortFunc(host.lengths, func(a, b int) int { return b - a })
		host.lengths = slices.Compact(host.lengths)
	}
	t.RegionLimits = hashRegionLimits(c)
	return t
}

// addRoute adds a route unless its host has one with the same prefix.
func (t *Table) addRoute(route *Route) {
	name := strings.ToLower(route.Host)
	host := t.hosts[name]
	if host == nil {
		host = &hostRoutes{byPrefix: make(map[string]*Route)}
		t.hosts[name] = host
	}
	if _, exists := host.byPrefix[route.Prefix]; exists {
		return
	}
	host.byPrefix[route.Prefix] = route
	host.lengths = append(host.lengths, len(route.Prefix))
}

// Match returns the route of a host with the longest prefix of a path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	routes := t.hosts[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	for _, length := range routes.lengths {
		if length > len(path) {
			continue
		}
		if route := routes.byPrefix[path[:length]]; route != nil {
			return route
		}
	}
	return nil
}

// Account returns the account with the given key, nil if there is none.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.keys[key]
}
