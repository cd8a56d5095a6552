// Package run simulates the deterministic state machines of the scheduler in virtual time.
// Each failure domain has one dispatcher, which sends the calls of a workload's programs to
// simulated model engines.
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

// Policies names the policy plug-ins of a run.
type Policies struct {
	Queue string `json:"queue"` // module name without "queue."
	Route string `json:"route"` // module name without "route."
	Limit string `json:"limit"` // LimitNone or LimitLearned
}

// Values of Policies.Limit, the limit on calls in flight at a target.
const (
	LimitNone    = "none"
	LimitLearned = "learned"
)

// noLimit is larger than the number of calls in any run.
const noLimit = 1 << 20

// InvalidPoliciesError reports a text that is not of the form QUEUE+ROUTE+LIMIT.
type InvalidPoliciesError struct{ Text string }

// Error returns a message with the text and the expected form.
func (e *InvalidPoliciesError) Error() string {
	return fmt.Sprintf("policies %q are not of the form QUEUE+ROUTE+none or QUEUE+ROUTE+learned", e.Text)
}

// ParsePolicies parses QUEUE+ROUTE+LIMIT and checks that the plug-ins exist.
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

// String returns the form that ParsePolicies parses.
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

// Options configure a run.
type Options struct {
	Workload  workload.Options
	Policies  Policies
	Engine    vengine.Params
	Warmup    time.Duration // programs that arrive earlier are not measured
	Drain     time.Duration // time after the last arrival for programs to end
	Fault     Fault
	FaultAt   time.Duration // when the fault begins
	MaxQueued int           // waiting calls per dispatcher at which further calls are refused
}

// Default values for Options.
const (
	DefaultWarmup    = 4 * time.Minute
	DefaultDuration  = 20 * time.Minute
	DefaultDrain     = 30 * time.Minute
	DefaultFaultAt   = 10 * time.Minute
	DefaultMaxQueued = 4096
)
