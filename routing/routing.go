// Package routing is the configuration in force as requests need it: which
// route a request takes, whose key it carries and what may be repeated.
package routing

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests run at most once and are answered by events.
	Streaming
)

// String names the kind for logs.
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

// Split is one service of a route and its part of the requests.
type Split struct {
	Service structs.ServiceID
	Weight  int
}

// Route is where the requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Splits []Split
	Kind   Kind
	// Timeout is how long a caller may be kept waiting, 0 without a limit.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority ranks the route's requests, 0 first.
	Priority int
	// MaxAttempts bounds the targets one request may be sent to.
	MaxAttempts int
	// IsPublic routes need no key.
	IsPublic bool
	// StoresTurns says that requests are turns of a conversation, which the
	// system keeps for Retention.
	StoresTurns bool
	Retention   time.Duration
}

// IsRepeatable reports whether a request may run more than once.
func (r *Route) IsRepeatable() bool { return r.Kind == Safe }

// PickService picks the route's service. The same affinity text gets the same
// service as long as the weights stay.
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
	// MaxConnections is how many connections one target takes from all VMs.
	MaxConnections int
	// TokensPerEvent is the tokens in one stream event of a model engine, 0
	// for a plain service.
	TokensPerEvent int
}

// Account is a client account.
type Account struct {
	ID structs.AccountID
	// Rate is the requests a second the account may send over all VMs, 0
	// without a limit; Burst is what it may send at once beyond that.
	Rate, Burst float64
	// Priority ranks the account's requests before the route's does, when
	// HasPriority.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It is not changed once made.
type Table struct {
	Version  uint64
	Services map[structs.ServiceID]*Service
	Accounts map[structs.AccountID]*Account
	Limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	keys     map[string]*Account
}

// TableContents is what a Table is made of.
type TableContents struct {
	Version  uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	Accounts []*Account
	Keys     map[string]*Account // by key
}

// NewTable makes a table.
func NewTable(c TableContents) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		Services: make(map[structs.ServiceID]*Service, len(c.Services)),
		Accounts: make(map[structs.AccountID]*Account, len(c.Accounts)),
		routes:   make(map[string][]*Route),
		keys:     c.Keys,
	}
	for _, account := range c.Accounts {
		t.Accounts[account.ID] = account
	}
	for _, service := range c.Services {
		t.Services[service.ID] = service
	}
	for _, route := range c.Routes {
		host := strings.ToLower(route.Host)
		t.routes[host] = insert(t.routes[host], route)
	}
	return t
}

func insert(routes []*Route, route *Route) []*Route {
	at := len(routes)
	for i, other := range routes {
		if len(route.Prefix) > len(other.Prefix) {
			at = i
			break
		}
	}
	routes = append(routes, nil)
	copy(routes[at+1:], routes[at:])
	routes[at] = route
	return routes
}

// Match returns the route of a host and path, nil when there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Account returns the account that holds a key, nil when none does.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.keys[key]
}
