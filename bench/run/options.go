// Package run drives the decision packages in virtual time: one dispatcher per
// failure domain before model engines, with the callers of a workload.
package run

import (
	"fmt"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/bench/vengine"
	"github.com/endivecourse/endivecourse/bench/workload"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
)

// Policies name the plug-ins of one run.
type Policies struct {
	Queue string `json:"queue"` // module name without "queue."
	Route string `json:"route"` // module name without "route."
	Limit string `json:"limit"` // LimitNone or LimitLearned
}

// Limits of calls in flight at a target.
const (
	LimitNone    = "none"
	LimitLearned = "learned"
)

// noLimit is more calls than any run puts in flight.
const noLimit = 1 << 20

// InvalidPoliciesError says that a text does not name policies.
type InvalidPoliciesError struct{ Text string }

// Error shows the form.
func (e *InvalidPoliciesError) Error() string {
	return fmt.Sprintf("policies %q are not of the form QUEUE+ROUTE+none or QUEUE+ROUTE+learned", e.Text)
}

// ParsePolicies reads QUEUE+ROUTE+LIMIT.
func ParsePolicies(text string) (Policies, error) {
	parts := strings.Split(text, "+")
	if len(parts) != 3 || parts[2] != LimitNone && parts[2] != LimitLearned {
		return Policies{}, &InvalidPoliciesError{Text: text}
	}
	p := Policies{Queue: parts[0], Route: parts[1], Limit: parts[2]}
	if _, err := p.newQueue(); err != nil {
		return Policies{}, err
	}
	_, err := p.newRoute()
	return p, err
}

// String is the form that ParsePolicies reads.
func (p Policies) String() string { return p.Queue + "+" + p.Route + "+" + p.Limit }

func (p Policies) newQueue() (queue.Policy, error) {
	factory, err := kernel.Lookup[queue.Factory](kernel.ModuleID("queue." + p.Queue))
	if err != nil {
		return nil, err
	}
	return factory(), nil
}

func (p Policies) newRoute() (route.Policy, error) {
	factory, err := kernel.Lookup[route.Factory](kernel.ModuleID("route." + p.Route))
	if err != nil {
		return nil, err
	}
	return factory(), nil
}

// Options say what to run.
type Options struct {
	Workload  workload.Options
	Policies  Policies
	Engine    vengine.Params
	Warmup    time.Duration // arrivals before it are not measured
	Drain     time.Duration // after the last arrival, for programs to end
	Fault     Fault
	FaultAt   time.Duration // when the fault begins
	MaxQueued int           // waiting calls per dispatcher, above which calls are refused
}

// Defaults of Options.
const (
	DefaultWarmup    = 4 * time.Minute
	DefaultDuration  = 20 * time.Minute
	DefaultDrain     = 30 * time.Minute
	DefaultFaultAt   = 10 * time.Minute
	DefaultMaxQueued = 4096
)
