package configwatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

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
	from    uint64 // that patch leads from, to version patched
	patched uint64
	patch   []byte
}

func (s *server) register(w *wire.Server) {
	wire.HandleUnary(w, structs.MethodWatchConfig, s.watch)
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
		if current != nil && current.Version() > q.HaveVersion {
			return s.later(q, current)
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

// later answers with a patch if the asker takes one and its version is still
// known here, else with the whole document.
func (s *server) later(q structs.ConfigQuery, current *config.Snapshot) (structs.ConfigVersion, error) {
	base := s.holder.Recent(q.HaveVersion)
	if !q.AcceptsPatch || base == nil {
		return s.whole(current)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.from != q.HaveVersion || s.patched != current.Version() {
		patch, err := config.Diff(base, current)
		if err != nil {
			return structs.ConfigVersion{}, err
		}
		encoded, err := json.Marshal(patch)
		if err != nil {
			return structs.ConfigVersion{}, errors.Wrap(err, "encode patch")
		}
		s.from, s.patched, s.patch = q.HaveVersion, current.Version(), encoded
	}
	return structs.ConfigVersion{
		Version: current.Version(),
		Author:  current.Author(),
		Patch:   s.patch,
		Age:     s.holder.Age(structs.Now()),
	}, nil
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
