package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// generator draws the programs of one account.
type generator struct {
	rng     *rand.Rand
	shape   Shape
	account structs.AccountID
	prefix  structs.AccountID
	count   int
}

// arrivals draws a Poisson process whose rate follows the waves, by thinning.
func (g *generator) arrivals(rate float64, duration time.Duration, waves []wave) []*Program {
	top := rate * max(g.shape.busyFactor(), g.shape.QuietFactor)
	var all []*Program
	for at := time.Duration(0); ; {
		at += time.Duration(g.rng.ExpFloat64() / top * float64(time.Second))
		if at >= duration {
			return all
		}
		if g.rng.Float64()*top > rate*factorAt(waves, at) {
			continue
		}
		p := g.program(g.kind(), 0)
		p.Arrival = at
		all = append(all, p)
	}
}

func (g *generator) kind() Kind {
	draw := g.rng.Float64()
	for _, kind := range g.shape.Kinds {
		if draw < kind.Share {
			return kind
		}
		draw -= kind.Share
	}
	return g.shape.Kinds[0]
}

func (g *generator) program(kind Kind, depth int) *Program {
	g.count++
	domain := g.domain()
	id := fmt.Sprintf("%s-%d", g.prefix, g.count)
	p := &Program{
		ID:          structs.NewProgramID(g.shape.Domains[domain].ID, id),
		Account:     g.account,
		Kind:        kind.Name,
		DomainIndex: domain,
	}
	prompt := []queue.Prefix{{Hash: xxhash.Sum64String(kind.Name), Tokens: kind.SystemTokens}}
	calls := kind.Calls.draw(g.rng)
	for number := range calls {
		prompt = appendPrefix(prompt, p.ID, 2*number, kind.AddedTokens.draw(g.rng))
		call := Call{Prefixes: slices.Clone(prompt), Output: kind.Output.draw(g.rng)}
		prompt = appendPrefix(prompt, p.ID, 2*number+1, call.Output)
		call.ResponseHash = prompt[len(prompt)-1].Hash
		if number+1 < calls {
			g.between(&call, kind, p, depth)
		}
		p.Calls = append(p.Calls, call)
	}
	return p
}

// between draws what happens before the next call: a tool pause or sub-agents.
func (g *generator) between(call *Call, kind Kind, parent *Program, depth int) {
	call.Pause = kind.Pause.draw(g.rng)
	if depth > 0 || kind.SubProgram == nil || g.rng.Float64() >= kind.SubProgramShare {
		return
	}
	for range kind.SubPrograms.draw(g.rng) {
		child := g.program(*kind.SubProgram, depth+1)
		child.DomainIndex = parent.DomainIndex
		child.ID = structs.NewProgramID(g.shape.Domains[parent.DomainIndex].ID, fmt.Sprintf("%s-%d", g.prefix, g.count))
		call.Children = append(call.Children, child)
	}
}

func (g *generator) domain() int {
	draw := g.rng.Float64()
	for i, domain := range g.shape.Domains {
		if draw < domain.Share {
			return i
		}
		draw -= domain.Share
	}
	return 0
}

func appendPrefix(prompt []queue.Prefix, id structs.ProgramID, message int64, tokens int64) []queue.Prefix {
	hash := xxhash.Sum64String(fmt.Sprintf("%s#%d", id, message))
	return append(prompt, queue.Prefix{Hash: hash, Tokens: prompt[len(prompt)-1].Tokens + tokens})
}

// Range is a log-normal distribution of whole numbers cut to its bounds.
type Range struct {
	Median, Min, Max int64
	Sigma            float64 // standard deviation of the logarithm
}

func (r Range) draw(rng *rand.Rand) int64 {
	value := float64(r.Median) * math.Exp(rng.NormFloat64()*r.Sigma)
	return min(max(int64(value), r.Min), r.Max)
}

// PauseRange is a log-normal distribution of pauses cut to its bounds.
type PauseRange struct {
	Median, Min, Max time.Duration
	Sigma            float64 // standard deviation of the logarithm
}

func (r PauseRange) draw(rng *rand.Rand) time.Duration {
	whole := Range{Median: int64(r.Median), Min: int64(r.Min), Max: int64(r.Max), Sigma: r.Sigma}
	return time.Duration(whole.draw(rng))
}

func sortByArrival(programs []*Program) {
	slices.SortStableFunc(programs, func(a, b *Program) int { return int(a.Arrival - b.Arrival) })
}
