// Package workload makes programs from a seed: chains of calls with tool
// pauses and sub-agents, for the sizes of two deployments.
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
	ResponseHash uint64         // hash of the prompt with its answer
	Pause        time.Duration  // until the next call, without sub-agents
	// Children are sub-agents that start after this call; the next call
	// waits for their end.
	Children []*Program
}

// Prompt returns the length of the whole prompt in tokens.
func (c *Call) Prompt() int64 { return c.Prefixes[len(c.Prefixes)-1].Tokens }

// Program is one program with its sub-agents.
type Program struct {
	ID          structs.ProgramID
	Account     structs.AccountID
	Kind        string
	Arrival     time.Duration // since the start of the run; 0 for a sub-agent
	DomainIndex int           // index of its home failure domain
	Calls       []Call
}

// CallCount counts the calls of the program and its sub-agents.
func (p *Program) CallCount() int {
	count := len(p.Calls)
	for i := range p.Calls {
		for _, child := range p.Calls[i].Children {
			count += child.CallCount()
		}
	}
	return count
}

// Options say what to make.
type Options struct {
	Shape    Shape
	Seed     uint64
	Rate     float64 // programs per second over all accounts
	Duration time.Duration
	// Surge multiplies the rate of one account; SurgeAccount is its index.
	Surge        float64
	SurgeAccount int
	IsSteady     bool // arrivals without busy and quiet stretches
}

// Generate returns the programs in order of arrival. Each account's arrivals come
// from a random source of its own, so that a surge of one leaves the programs
// of the others as they are.
func Generate(o Options) []*Program {
	var all []*Program
	var waves []wave
	if !o.IsSteady {
		waves = wavesOf(o)
	}
	for i, account := range o.Shape.Accounts {
		rate := o.Rate * account.Share
		if o.Surge > 0 && i == o.SurgeAccount {
			rate *= o.Surge
		}
		source := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		g := &generator{rng: source, shape: o.Shape, account: account.ID, prefix: account.ID}
		all = append(all, g.arrivals(rate, o.Duration, waves)...)
	}
	sortByArrival(all)
	return all
}

// wave is a stretch of time with its factor on the arrival rate.
type wave struct {
	until  time.Duration
	factor float64
}

// wavesOf draws alternating busy and quiet stretches.
func wavesOf(o Options) []wave {
	rng := rand.New(rand.NewPCG(o.Seed, math.MaxUint64))
	var waves []wave
	var at time.Duration
	for busy := false; at < o.Duration; busy = !busy {
		w := wave{factor: o.Shape.QuietFactor}
		mean := o.Shape.QuietMean
		if busy {
			w.factor = o.Shape.busyFactor()
			mean = o.Shape.BusyMean
		}
		at += time.Duration(float64(mean) * (0.5 + rng.Float64()))
		w.until = at
		waves = append(waves, w)
	}
	return waves
}

func factorAt(waves []wave, at time.Duration) float64 {
	for _, w := range waves {
		if at < w.until {
			return w.factor
		}
	}
	return 1
}
