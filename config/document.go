package config

import (
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Document is the merged operators' document. Names are the keys of its maps.
type Document struct {
	Domains  map[structs.DomainID]Domain   `json:"domains"`
	Accounts map[structs.AccountID]Account `json:"accounts"`
	Programs map[string]Program            `json:"programs"`
	Services map[structs.ServiceID]Service `json:"services"`
	Routes   map[string]Route              `json:"routes"`
}

// Domain is a failure domain of the site.
type Domain struct {
	Region string `json:"region"`
}

// Account is a client account. Rate and Burst count admitted requests over
// the whole fleet.
type Account struct {
	Rate     float64        `json:"rate_per_second"`
	Burst    int            `json:"burst"`
	Programs []string       `json:"programs"` // that its callers may run
	Routes   []string       `json:"routes,omitempty"`
	Keys     map[string]Key `json:"keys"` // by key ID
}

// Key is a caller's key as it is kept: a salted hash. A caller presents
// "ek_<key ID>_<secret>".
type Key struct {
	Salt string `json:"salt"` // hex, 16 bytes
	Hash string `json:"hash"` // hex, SHA-256 of salt and secret
	Note string `json:"note,omitempty"`
}

// Program is a kind of program.
type Program struct {
	Budget    int64               `json:"budget_tokens"`
	IdleLimit settings.Duration   `json:"idle_limit"`
	Services  []structs.ServiceID `json:"services"` // that its calls may ask
	MaxDepth  int                 `json:"max_depth,omitempty"`
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// Kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is a group of equivalent targets.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// IsRepeatable says that a call whose outcome is unknown may be sent again.
	// Methods lists the HTTP methods for which that holds; empty means all.
	IsRepeatable bool                        `json:"repeatable"`
	Methods      []string                    `json:"repeatable_methods,omitempty"`
	Targets      map[structs.TargetID]Target `json:"targets"`
	// Timeout bounds one call; 0 takes the daemon's call_timeout.
	Timeout settings.Duration `json:"timeout,omitempty"`
}

// Target is one back end.
type Target struct {
	Domain      structs.DomainID `json:"domain"`
	URL         string           `json:"url"`
	Protocol    string           `json:"protocol"` // "engine" or "plain"
	ChecksFence bool             `json:"checks_fence"`
	MaxInFlight int              `json:"max_in_flight,omitempty"` // 0 lets the scheduler learn it
	IsDraining  bool             `json:"drain,omitempty"`         // gets no new work
}

// Route gives direct access to a plain service without a program.
type Route struct {
	Prefix  string            `json:"prefix"` // of the path, starting with "/"
	Service structs.ServiceID `json:"service"`
	IsOpen  bool              `json:"open"` // no key is needed
}

// MayRepeat reports whether a call with the HTTP method may be sent again
// after an unknown outcome. Model calls pass an empty method.
func (s Service) MayRepeat(method string) bool {
	if !s.IsRepeatable {
		return false
	}
	if len(s.Methods) == 0 || method == "" {
		return true
	}
	for _, m := range s.Methods {
		if m == method {
			return true
		}
	}
	return false
}
