// Package outage decides on token grants while the store is unreachable. One region grants to
// a program, whichever VMs ask. The VMs of the region that may have a role (the holders) each keep
// a Register of the grants that are not in the store yet. A grant takes effect when a majority of
// the holders have accepted it.
//
// Invariant: the grants of a program that took effect and are not in the store yet sum to
// at most Limit. A holder accepts a grant only from a VM that knows all grants that the
// holder knows. Two majorities share a holder, so of two grants that took effect one was
// made with knowledge of the other, and the newest with knowledge of all.
//
// A program is open until so many of the holders have closed it that the others are no majority,
// which is recorded in its balance. What an open program has spent and reserved in the store leaves room for Limit, so that
// the grants fit its budget wherever they are known.
//
// Register is a state machine without clock, goroutines or I/O.
package outage

import (
	"slices"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxPrograms and maxBytes bound a register's unstored state. An outage of 12 s at 90
	// new programs per second needs 1,100 entries.
	maxPrograms = 8192
	maxBytes    = 4 << 20
	// maxClosed bounds the closed programs of one generation. Two are kept, so that a program
	// is forgotten after 32,768 others at the earliest.
	maxClosed = 32768
	// stateBytes and grantBytes estimate the memory of an entry without its strings.
	stateBytes, grantBytes = 160, 64
	// closedFraction is the part of the budget beyond which only a closed program gets tokens in
	// the store. With Limit, the rest of the budget holds all grants.
	closedFraction = 0.75
)

// Grant is a grant of tokens that the store does not have yet.
type Grant struct {
	Turn structs.RequestID `msgpack:"t"`
	// Tokens is the turn's maximum or, once IsSettled, what its caller got.
	Tokens    int64 `msgpack:"n"`
	CreatedAt int64 `msgpack:"a"` // Unix milliseconds
	IsSettled bool  `msgpack:"s,omitempty"`
	// IsVoid means that the grant did not take effect. It is settled with no tokens, and not
	// written to the store, which may have a reservation of the same turn.
	IsVoid bool `msgpack:"x,omitempty"`
}

// State is the unstored state of a program.
type State struct {
	Program string  `msgpack:"p"`
	Grants  []Grant `msgpack:"g,omitempty"`
}

// Limit returns the most tokens of a program that may be granted and not stored.
func Limit(maxTokens, budget int64) int64 { return max(maxTokens, budget/4) }

// IsClosedAt reports whether a program with this many tokens spent and reserved has to be closed.
func IsClosedAt(tokens, budget int64) bool { return float64(tokens) > closedFraction*float64(budget) }

// Unstored returns the sum of the grants.
func (s *State) Unstored() int64 {
	var sum int64
	for _, g := range s.Grants {
		sum += g.Tokens
	}
	return sum
}

// Allows reports whether a grant fits Limit.
func (s *State) Allows(tokens, budget int64) bool {
	return s.Unstored()+tokens <= Limit(tokens, budget)
}

func (s *State) find(turn structs.RequestID) *Grant {
	for i := range s.Grants {
		if s.Grants[i].Turn == turn {
			return &s.Grants[i]
		}
	}
	return nil
}

// Merge adds what another state knows.
func (s *State) Merge(other State) {
	for _, g := range other.Grants {
		switch own := s.find(g.Turn); {
		case own == nil:
			s.Grants = append(s.Grants, g)
		case g.IsSettled && !own.IsSettled:
			*own = g
		}
	}
}

// includes reports whether s has every grant of the other state, as settled as there. A void
// grant is settled with no tokens.
func (s *State) includes(other *State) bool {
	return !slices.ContainsFunc(other.Grants, func(g Grant) bool {
		own := s.find(g.Turn)
		return own == nil || g.IsSettled && !own.IsSettled
	})
}

func (s *State) clone() State {
	c := *s
	c.Grants = slices.Clone(s.Grants)
	return c
}

func (s *State) size() int {
	size := stateBytes + len(s.Program)
	for _, g := range s.Grants {
		size += grantBytes + len(g.Turn)
	}
	return size
}

// Verdict is a holder's answer to an offered state.
type Verdict uint8

const (
	Accepted Verdict = iota + 1
	// Outdated means that the holder knows more; its state is returned.
	Outdated
	// Closed means that the program must not get a grant.
	Closed
	// Abstains means that the holder may have lost its memory, reaches the store or has promised to
	// grant nothing yet.
	Abstains
	// Full means that the holder's memory is used up.
	Full
)

// Register is a holder's unstored state.
type Register struct {
	// isIntact is whether this holder knows every grant and every closed program that a
	// majority of the holders accepted.
	isIntact bool
	states   map[string]*State
	bytes    int
	// closed are the closed programs, olderClosed those of the generation before.
	closed, olderClosed map[string]bool
}

// NewRegister returns an empty register, intact if nothing can have been granted before.
func NewRegister(isIntact bool) *Register {
	return &Register{isIntact: isIntact, states: make(map[string]*State), closed: make(map[string]bool)}
}

// IsIntact reports whether the register takes part in decisions.
func (r *Register) IsIntact() bool { return r.isIntact }

// SetIntact records that the register has learned what it may have missed.
func (r *Register) SetIntact() { r.isIntact = true }

// State returns what is known of a program.
func (r *Register) State(program string) State {
	if s := r.states[program]; s != nil {
		return s.clone()
	}
	return State{Program: program}
}

// IsClosed reports whether the program is closed.
func (r *Register) IsClosed(program string) bool { return r.closed[program] || r.olderClosed[program] }

// Offer accepts a state with a new grant, or says why not.
func (r *Register) Offer(offered State) (Verdict, State) {
	switch own := r.State(offered.Program); {
	case !r.IsIntact():
		return Abstains, State{}
	case !offered.includes(&own):
		return Outdated, own
	case r.IsClosed(offered.Program):
		return Closed, State{}
	case !r.Learn(offered):
		return Full, State{}
	}
	return Accepted, State{}
}

// Learn merges a state and reports whether it fits the memory.
func (r *Register) Learn(other State) bool {
	merged := r.State(other.Program)
	oldSize, isNew := merged.size(), r.states[other.Program] == nil
	merged.Merge(other)
	if len(merged.Grants) == 0 {
		return true
	}
	if isNew {
		oldSize = 0
	}
	if isNew && len(r.states) >= maxPrograms || r.bytes-oldSize+merged.size() > maxBytes {
		return false
	}
	r.bytes += merged.size() - oldSize
	r.states[other.Program] = &merged
	return true
}

// Settle replaces a grant's tokens by those that the caller got, and reports whether the
// register has the grant.
func (r *Register) Settle(program string, turn structs.RequestID, tokens int64) bool {
	s := r.states[program]
	if s == nil {
		return false
	}
	g := s.find(turn)
	if g == nil {
		return false
	}
	if !g.IsSettled {
		g.Tokens, g.IsSettled = min(tokens, g.Tokens), true
	}
	return true
}

// Void records that a grant did not take effect.
func (r *Register) Void(program string, turn structs.RequestID) {
	if s := r.states[program]; s != nil {
		if g := s.find(turn); g != nil && !g.IsSettled {
			g.Tokens, g.IsSettled, g.IsVoid = 0, true, true
		}
	}
}

// Drop removes grants that the store has. One that was settled since it was stored is kept, so
// that it is written once more. The program is closed: its balance may leave no room for further
// grants.
func (r *Register) Drop(stored State) {
	s := r.states[stored.Program]
	if s == nil {
		return
	}
	r.Close(stored.Program)
	r.bytes -= s.size()
	s.Grants = slices.DeleteFunc(s.Grants, func(g Grant) bool {
		written := stored.find(g.Turn)
		return written != nil && (written.IsSettled || !g.IsSettled || g.IsVoid)
	})
	if len(s.Grants) == 0 {
		delete(r.states, stored.Program)
		return
	}
	r.bytes += s.size()
}

// Close records that a program is closed.
func (r *Register) Close(program string) {
	if r.IsClosed(program) {
		return
	}
	if len(r.closed) >= maxClosed {
		r.olderClosed, r.closed = r.closed, make(map[string]bool)
	}
	r.closed[program] = true
}

// States returns all unstored states, the one with the oldest grant first.
func (r *Register) States() []State {
	states := make([]State, 0, len(r.states))
	for _, s := range r.states {
		states = append(states, s.clone())
	}
	slices.SortFunc(states, func(a, b State) int {
		if byAge := a.Grants[0].CreatedAt - b.Grants[0].CreatedAt; byAge != 0 {
			return int(byAge)
		}
		return slices.Compare([]byte(a.Program), []byte(b.Program))
	})
	return states
}

// ClosedPrograms returns the closed programs.
func (r *Register) ClosedPrograms() []string {
	programs := make([]string, 0, len(r.closed))
	for _, generation := range []map[string]bool{r.olderClosed, r.closed} {
		for p := range generation {
			programs = append(programs, p)
		}
	}
	return programs
}

// Stats returns the number of grants and the creation time of the oldest, 0 for none.
func (r *Register) Stats() (grants int, oldest int64) {
	for _, s := range r.states {
		for _, g := range s.Grants {
			grants++
			if oldest == 0 || g.CreatedAt < oldest {
				oldest = g.CreatedAt
			}
		}
	}
	return grants, oldest
}
