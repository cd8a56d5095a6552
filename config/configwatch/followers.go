package configwatch

import (
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// followerTimeout is how long a daemon counts as a follower after its last
// question.
const followerTimeout = 5 * time.Second

// followers remembers which version each daemon that asks has in force.
type followers struct {
	mu   sync.Mutex
	seen map[string]follower
}

type follower struct {
	inForce uint64
	at      structs.Instant
}

func (f *followers) note(now structs.Instant, from string, inForce uint64) {
	if from == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = make(map[string]follower)
	}
	f.seen[from] = follower{inForce: inForce, at: now}
}

// lowest returns the lowest version in force among own and the followers. A
// follower without any version serves nothing that depends on one and does not
// count.
func (f *followers) lowest(now structs.Instant, own uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, seen := range f.seen {
		if now.Sub(seen.at) > followerTimeout {
			delete(f.seen, name)
			continue
		}
		if seen.inForce != 0 {
			own = min(own, seen.inForce)
		}
	}
	return own
}

// versions copies the table for the dump.
func (f *followers) versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[string]uint64, len(f.seen))
	for name, seen := range f.seen {
		copied[name] = seen.inForce
	}
	return copied
}
