package configwatch

import (
	"context"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// holdFor is how long a question waits for a later version.
const holdFor = time.Second

// server answers the questions of other daemons from the holder.
type server struct {
	holder    *config.Holder
	followers followers

	mu      sync.Mutex
	version uint64 // that encoded holds
	encoded []byte
}

func (s *server) register(w *wire.Server) {
	wire.Unary(w, structs.MethodWatchConfig, s.watch)
}

// watch answers with a later version as soon as there is one, and with an
// empty document when none came in time.
func (s *server) watch(ctx context.Context, q structs.ConfigQuery) (structs.ConfigVersion, error) {
	s.followers.note(structs.Now(), q.From, q.InForce)
	timer := time.NewTimer(holdFor)
	defer timer.Stop()
	for {
		changed := s.holder.Changed()
		current := s.holder.Current()
		if current != nil && current.Version() > q.Have {
			return s.whole(current)
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		answer := structs.ConfigVersion{Age: s.holder.Age(structs.Now())}
		if current != nil {
			answer.Version, answer.Author = current.Version(), current.Author()
		}
		return answer, nil
	}
}

func (s *server) whole(current *config.Snapshot) (structs.ConfigVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != current.Version() {
		encoded, err := current.Document().Encode()
		if err != nil {
			return structs.ConfigVersion{}, err
		}
		s.version, s.encoded = current.Version(), encoded
	}
	return structs.ConfigVersion{
		Version:  current.Version(),
		Author:   current.Author(),
		Document: s.encoded,
		Age:      s.holder.Age(structs.Now()),
	}, nil
}
