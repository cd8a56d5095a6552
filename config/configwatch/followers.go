package configwatch

import (
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// followerTimeout is how long a daemon counts as a follower after its last
// query.
const followerTimeout = 5 * time.Second

// followers records the version that each querying daemon has in force.
type followers struct {
	mu     sync.Mutex
	byName map[string]follower
}

type follower struct {
	inForce uint64
	seenAt  structs.Instant
}

func (f *followers) record(now structs.Instant, from string, inForce uint64) {
	if from == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byName == nil {
		f.byName = make(map[string]follower)
	}
	f.byName[from] = follower{inForce: inForce, seenAt: now}
}

// minInForce returns the lowest of own and the versions that the followers have
// in force. A follower without a version is ignored, since it serves nothing
// that depends on one.
func (f *followers) minInForce(now structs.Instant, own uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, entry := range f.byName {
		if now.Sub(entry.seenAt) > followerTimeout {
			delete(f.byName, name)
			continue
		}
		if entry.inForce != 0 {
			own = min(own, entry.inForce)
		}
	}
	return own
}

// versions returns the version in force by daemon name, for the state dump.
func (f *followers) versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[string]uint64, len(f.byName))
	for name, entry := range f.byName {
		copied[name] = entry.inForce
	}
	return copied
}
