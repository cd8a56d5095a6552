package workload

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Shape is a deployment: its failure domains, accounts and kinds of program.
type Shape struct {
	Name     string
	Service  structs.ServiceID
	Domains  []Domain
	Accounts []Account
	Kinds    []Kind
	// Arrivals alternate between quiet and busy stretches; the factors are
	// such that the mean rate is kept.
	QuietFactor         float64
	QuietMean, BusyMean time.Duration
}

// busyFactor keeps the mean of the rate over quiet and busy stretches at 1.
func (s Shape) busyFactor() float64 {
	return 1 + (1-s.QuietFactor)*float64(s.QuietMean)/float64(s.BusyMean)
}

// Domain is a failure domain with its targets and its share of the arrivals.
type Domain struct {
	ID      structs.DomainID
	Region  string
	Targets int
	Share   float64
}

// Account is a client account with its share of the arrivals.
type Account struct {
	ID    structs.AccountID
	Share float64
}

// Kind is a kind of program.
type Kind struct {
	Name          string
	Share         float64 // of the arrivals
	System        int64   // tokens of the prompt that all its programs share
	Calls         Range
	Added         Range // prompt tokens that a call adds
	Output        Range // tokens
	Pause         PauseRange
	SubAgentShare float64 // of the calls that start sub-agents
	SubAgents     Range   // sub-agents started at once
	SubAgent      *Kind
}

// UnknownShapeError names a shape that does not exist.
type UnknownShapeError struct{ Name string }

// Error names the shape and those that exist.
func (e *UnknownShapeError) Error() string {
	return fmt.Sprintf("shape %q does not exist; there are accra and tayside", e.Name)
}

// ShapeOf returns the shape of a name.
func ShapeOf(name string) (Shape, error) {
	switch name {
	case "accra":
		return Accra(), nil
	case "tayside":
		return Tayside(), nil
	}
	return Shape{}, &UnknownShapeError{Name: name}
}

func accounts(names ...structs.AccountID) []Account {
	shares := []float64{0.30, 0.22, 0.15, 0.10, 0.08, 0.06, 0.05, 0.04}
	all := make([]Account, len(names))
	for i, name := range names {
		all[i] = Account{ID: name, Share: shares[i]}
	}
	return all
}

// Accra has eight model targets in three failure domains of two regions; crews'
// planners with sub-agents and complaint assistants.
func Accra() Shape {
	scout := &Kind{
		Name: "court-scout", System: 900,
		Calls:  Range{Median: 3, Least: 1, Most: 6, Spread: 0.4},
		Added:  Range{Median: 350, Least: 50, Most: 2_000, Spread: 0.6},
		Output: Range{Median: 120, Least: 20, Most: 500, Spread: 0.5},
		Pause:  PauseRange{Median: time.Second, Least: 100 * time.Millisecond, Most: 20 * time.Second, Spread: 0.8},
	}
	return Shape{
		Name: "accra", Service: "rake-llm",
		Domains: []Domain{
			{ID: "accra-central", Region: "greater-accra", Targets: 3, Share: 0.40},
			{ID: "tema-east", Region: "greater-accra", Targets: 3, Share: 0.35},
			{ID: "kumasi-north", Region: "ashanti", Targets: 2, Share: 0.25},
		},
		Accounts: accounts("wardens", "depots", "clubs", "residents", "schools", "parks", "events", "press"),
		Kinds: []Kind{
			{
				Name: "round-planner", Share: 0.35, System: 2_400,
				Calls:         Range{Median: 9, Least: 3, Most: 30, Spread: 0.5},
				Added:         Range{Median: 500, Least: 50, Most: 4_000, Spread: 0.7},
				Output:        Range{Median: 160, Least: 20, Most: 800, Spread: 0.6},
				Pause:         PauseRange{Median: 2 * time.Second, Least: 100 * time.Millisecond, Most: 60 * time.Second, Spread: 1},
				SubAgentShare: 0.2,
				SubAgents:     Range{Median: 2, Least: 1, Most: 4, Spread: 0.5},
				SubAgent:      scout,
			},
			{
				Name: "complaint-assistant", Share: 0.65, System: 1_500,
				Calls:  Range{Median: 4, Least: 1, Most: 12, Spread: 0.5},
				Added:  Range{Median: 120, Least: 10, Most: 800, Spread: 0.6},
				Output: Range{Median: 110, Least: 20, Most: 400, Spread: 0.5},
				Pause:  PauseRange{Median: 6 * time.Second, Least: 500 * time.Millisecond, Most: 90 * time.Second, Spread: 0.9},
			},
		},
		QuietFactor: 0.7, QuietMean: 90 * time.Second, BusyMean: 45 * time.Second,
	}
}

// Tayside has eleven model targets in three failure domains of two regions;
// short renewals and long disputes that keep the whole conversation.
func Tayside() Shape {
	return Shape{
		Name: "tayside", Service: "agent-models",
		Domains: []Domain{
			{ID: "dundee-a", Region: "east-scot", Targets: 4, Share: 0.40},
			{ID: "perth-b", Region: "east-scot", Targets: 4, Share: 0.33},
			{ID: "glasgow-a", Region: "west-scot", Targets: 3, Share: 0.27},
		},
		Accounts: accounts("dundee", "perth", "angus", "fife", "stirling", "callcentre", "crews", "web"),
		Kinds: []Kind{
			{
				Name: "renewal", Share: 0.8, System: 1_300,
				Calls:  Range{Median: 3, Least: 2, Most: 6, Spread: 0.3},
				Added:  Range{Median: 90, Least: 10, Most: 500, Spread: 0.5},
				Output: Range{Median: 70, Least: 20, Most: 250, Spread: 0.4},
				Pause:  PauseRange{Median: 4 * time.Second, Least: 500 * time.Millisecond, Most: 60 * time.Second, Spread: 0.9},
			},
			{
				Name: "dispute", Share: 0.2, System: 2_000,
				Calls:  Range{Median: 16, Least: 6, Most: 60, Spread: 0.5},
				Added:  Range{Median: 450, Least: 50, Most: 4_000, Spread: 0.7},
				Output: Range{Median: 180, Least: 30, Most: 900, Spread: 0.5},
				Pause:  PauseRange{Median: 6 * time.Second, Least: 500 * time.Millisecond, Most: 120 * time.Second, Spread: 1},
			},
		},
		QuietFactor: 0.7, QuietMean: 90 * time.Second, BusyMean: 45 * time.Second,
	}
}
