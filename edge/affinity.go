package edge

import (
	"github.com/endivecourse/endivecourse/structs"
)

// maxRecentLines bounds the lines of turns in one generation of recentTargets. A VM
// serves some hundred lines at a time.
const maxRecentLines = 4096

// recentTargets remembers which target ran the last turn of each line of turns, and
// of each program, since that target has the prompt in its cache. It holds two
// generations: the older one is dropped when the newer one is full. It is for turns
// that are not stored; a stored turn names its target.
type recentTargets struct {
	newer, older map[string]structs.TargetID
}

func (r *recentTargets) put(key string, target structs.TargetID) {
	if len(r.newer) >= maxRecentLines || r.newer == nil {
		r.older, r.newer = r.newer, make(map[string]structs.TargetID)
	}
	r.newer[key] = target
}

// get returns the target of a key, or an empty ID.
func (r *recentTargets) get(key string) structs.TargetID {
	if target, isKnown := r.newer[key]; isKnown {
		return target
	}
	return r.older[key]
}

// lineKeys returns the keys under which a request's target is remembered: its line
// and, for the first turn of a sub-program, whose prompt begins with its parent's,
// the program.
func (x *exchange) lineKeys() (line, program string) {
	program = string(x.accountID()) + "/" + string(x.Program)
	return program + "/" + x.Turn.Line, program
}

// cachedTarget returns the target that probably has the request's prompt in its
// cache, or an empty ID.
func (x *exchange) cachedTarget() structs.TargetID {
	if x.forwardedFor != "" {
		return x.cached
	}
	if x.turn == nil || x.route.StoresTurns {
		return x.previousTarget()
	}
	line, program := x.lineKeys()
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if target := s.recent.get(line); target != "" {
		return target
	}
	return s.recent.get(program)
}

// rememberTarget records that the request's target has its prompt in its cache.
func (x *exchange) rememberTarget() {
	if x.turn == nil || x.route.StoresTurns {
		return
	}
	line, program := x.lineKeys()
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent.put(line, x.target)
	s.recent.put(program, x.target)
}
