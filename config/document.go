package config

import (
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Document is the merged operators' document. The map keys are the names of the
// entries.
type Document struct {
	Domains  map[structs.DomainID]Domain   `json:"domains"`
	Accounts map[structs.AccountID]Account `json:"accounts"`
	Programs map[string]Program            `json:"programs"`
	Services map[structs.ServiceID]Service `json:"services"`
	Routes   map[string]Route              `json:"routes"`
}

// Domain describes a failure domain of the site.
type Domain struct {
	Region string `json:"region"`
}

// Account is a client account. Rate and Burst limit the requests admitted by the
// whole fleet together.
type Account struct {
	Rate     float64        `json:"rate_per_second"`
	Burst    int            `json:"burst"`
	Programs []string       `json:"programs"` // kinds that its callers may run
	Routes   []string       `json:"routes,omitempty"`
	Keys     map[string]Key `json:"keys"` // by key ID
}

// Key is the stored form of a caller's key: a salted hash. The caller sends the
// key as "ek_<key ID>_<secret>".
type Key struct {
	Salt string `json:"salt"` // hex, 16 bytes
	Hash string `json:"hash"` // hex, SHA-256 of the salt followed by the secret
	Note string `json:"note,omitempty"`
}

// Program holds the limits of one kind of program.
type Program struct {
	Budget    int64               `json:"budget_tokens"`
	IdleLimit settings.Duration   `json:"idle_limit"`
	Services  []structs.ServiceID `json:"services"` // services that it may call
	MaxDepth  int                 `json:"max_depth,omitempty"`
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

// Kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is a group of equivalent targets.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// IsRepeatable is true if a call whose outcome is unknown may be sent again.
	// Methods limits this to the listed HTTP methods; empty means all methods.
	IsRepeatable bool                        `json:"repeatable"`
	Methods      []string                    `json:"repeatable_methods,omitempty"`
	Targets      map[structs.TargetID]Target `json:"targets"`
	// Timeout limits one call; 0 means the daemon's call_timeout.
	Timeout settings.Duration `json:"timeout,omitempty"`
}

// Target is one back end of a service.
type Target struct {
	Domain      structs.DomainID `json:"domain"`
	URL         string           `json:"url"`
	Protocol    string           `json:"protocol"` // "engine" or "plain"
	ChecksFence bool             `json:"checks_fence"`
	MaxInFlight int              `json:"max_in_flight,omitempty"` // 0 means that the scheduler learns the limit
	IsDraining  bool             `json:"drain,omitempty"`         // receives no new work
}

// Route gives callers access to a plain service without a program.
type Route struct {
	Prefix  string            `json:"prefix"` // path prefix, starting with "/"
	Service structs.ServiceID `json:"service"`
	IsOpen  bool              `json:"open"` // usable without a key
}

// MayRepeat reports whether a call with the HTTP method may be sent again when
// its outcome is unknown. The method is empty for model calls.
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
