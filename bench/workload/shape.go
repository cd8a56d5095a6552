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
	Name            string
	Share           float64 // of the arrivals
	SystemTokens    int64   // tokens of the prompt that all its programs share
	Calls           Range
	AddedTokens     Range // prompt tokens that a call adds
	Output          Range // tokens
	Pause           PauseRange
	SubProgramShare float64 // of the calls that start sub-agents
	SubPrograms     Range   // sub-agents started at once
	SubProgram      *Kind
}

// UnknownShapeError names a shape that does not exist.
type UnknownShapeError struct{ Name string }

// Error names the shape and those that exist.
func (e *UnknownShapeError) Error() string {
	return fmt.Sprintf("shape %q does not exist; there are accra and tayside", e.Name)
}

// FindShape returns the shape of a name.
func FindShape(name string) (Shape, error) {
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
		Name: "court-scout", SystemTokens: 900,
		Calls:       Range{Median: 3, Min: 1, Max: 6, Sigma: 0.4},
		AddedTokens: Range{Median: 350, Min: 50, Max: 2_000, Sigma: 0.6},
		Output:      Range{Median: 120, Min: 20, Max: 500, Sigma: 0.5},
		Pause:       PauseRange{Median: time.Second, Min: 100 * time.Millisecond, Max: 20 * time.Second, Sigma: 0.8},
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
				Name: "round-planner", Share: 0.35, SystemTokens: 2_400,
				Calls:           Range{Median: 9, Min: 3, Max: 30, Sigma: 0.5},
				AddedTokens:     Range{Median: 500, Min: 50, Max: 4_000, Sigma: 0.7},
				Output:          Range{Median: 160, Min: 20, Max: 800, Sigma: 0.6},
				Pause:           PauseRange{Median: 2 * time.Second, Min: 100 * time.Millisecond, Max: 60 * time.Second, Sigma: 1},
				SubProgramShare: 0.2,
				SubPrograms:     Range{Median: 2, Min: 1, Max: 4, Sigma: 0.5},
				SubProgram:      scout,
			},
			{
				Name: "complaint-assistant", Share: 0.65, SystemTokens: 1_500,
				Calls:       Range{Median: 4, Min: 1, Max: 12, Sigma: 0.5},
				AddedTokens: Range{Median: 120, Min: 10, Max: 800, Sigma: 0.6},
				Output:      Range{Median: 110, Min: 20, Max: 400, Sigma: 0.5},
				Pause:       PauseRange{Median: 6 * time.Second, Min: 500 * time.Millisecond, Max: 90 * time.Second, Sigma: 0.9},
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
				Name: "renewal", Share: 0.8, SystemTokens: 1_300,
				Calls:       Range{Median: 3, Min: 2, Max: 6, Sigma: 0.3},
				AddedTokens: Range{Median: 90, Min: 10, Max: 500, Sigma: 0.5},
				Output:      Range{Median: 70, Min: 20, Max: 250, Sigma: 0.4},
				Pause:       PauseRange{Median: 4 * time.Second, Min: 500 * time.Millisecond, Max: 60 * time.Second, Sigma: 0.9},
			},
			{
				Name: "dispute", Share: 0.2, SystemTokens: 2_000,
				Calls:       Range{Median: 16, Min: 6, Max: 60, Sigma: 0.5},
				AddedTokens: Range{Median: 450, Min: 50, Max: 4_000, Sigma: 0.7},
				Output:      Range{Median: 180, Min: 30, Max: 900, Sigma: 0.5},
				Pause:       PauseRange{Median: 6 * time.Second, Min: 500 * time.Millisecond, Max: 120 * time.Second, Sigma: 1},
			},
		},
		QuietFactor: 0.7, QuietMean: 90 * time.Second, BusyMean: 45 * time.Second,
	}
}
