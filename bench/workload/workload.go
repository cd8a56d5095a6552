// Package workload generates programs from a seed. A program is a chain of calls with tool
// pauses and sub-programs. A deployment shape sets the sizes and the mix of kinds.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// Call is one model call of a program and the tool pause after it.
type Call struct {
	Prefixes     []queue.Prefix // of the prompt, shortest first
	Output       int64          // tokens
	ResponseHash uint64         // hash of the prompt with its response
	Pause        time.Duration  // minimum time between the response and the next call
	// Children are sub-programs that start after this call. The next call waits until
	// they have ended.
	Children []*Program
}

// Prompt returns the number of tokens of the whole prompt.
func (c *Call) Prompt() int64 { return c.Prefixes[len(c.Prefixes)-1].Tokens }

// Program is a program or a sub-program, with its calls.
type Program struct {
	ID          structs.ProgramID
	Account     structs.AccountID
	Kind        string
	Arrival     time.Duration // since the start of the run; 0 for a sub-program
	DomainIndex int           // of the owning failure domain, in Shape.Domains
	Calls       []Call
}

// CallCount returns the number of calls of the program and its sub-programs.
func (p *Program) CallCount() int {
	count := len(p.Calls)
	for i := range p.Calls {
		for _, child := range p.Calls[i].Children {
			count += child.CallCount()
		}
	}
	return count
}

// Options configure the generated programs.
type Options struct {
	Shape    Shape
	Seed     uint64
	Rate     float64 // programs per second over all accounts
	Duration time.Duration
	// Surge is a factor on the arrival rate of the client account with the index
	// SurgeAccount; 0 means no surge.
	Surge        float64
	SurgeAccount int
	IsSteady     bool // the arrival rate does not alternate between busy and quiet phases
}

// Generate returns the programs in order of arrival. Each client account has its own random
// source, so that a surge of one account does not change the programs of the others.
func Generate(o Options) []*Program {
	var all []*Program
	var phases []phase
	if !o.IsSteady {
		phases = drawPhases(o)
	}
	for i, account := range o.Shape.Accounts {
		rate := o.Rate * account.Share
		if o.Surge > 0 && i == o.SurgeAccount {
			rate *= o.Surge
		}
		source := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		g := &generator{rng: source, shape: o.Shape, account: account.ID, prefix: account.ID}
		all = append(all, g.drawArrivals(rate, o.Duration, phases)...)
	}
	sortByArrival(all)
	return all
}

// phase is an interval of time with a factor on the arrival rate.
type phase struct {
	until  time.Duration
	factor float64
}

// drawPhases returns alternating quiet and busy phases of random length.
func drawPhases(o Options) []phase {
	rng := rand.New(rand.NewPCG(o.Seed, math.MaxUint64))
	var phases []phase
	var at time.Duration
	for busy := false; at < o.Duration; busy = !busy {
		p := phase{factor: o.Shape.QuietFactor}
		mean := o.Shape.QuietMean
		if busy {
			p.factor = o.Shape.busyFactor()
			mean = o.Shape.BusyMean
		}
		at += time.Duration(float64(mean) * (0.5 + rng.Float64()))
		p.until = at
		phases = append(phases, p)
	}
	return phases
}

func rateFactorAt(phases []phase, at time.Duration) float64 {
	for _, p := range phases {
		if at < p.until {
			return p.factor
		}
	}
	return 1
}
