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

// longPollTimeout is how long a query waits for a later version.
const longPollTimeout = time.Second

// server answers the queries of other daemons from the holder. It caches the last
// encoded document and the last encoded patch.
type server struct {
	holder    *config.Holder
	followers followers

	mu        sync.Mutex
	version   uint64 // version of the document in encoded
	encoded   []byte
	patchFrom uint64 // patch leads from this version to patchTo
	patchTo   uint64
	patch     []byte
}

func (s *server) register(w *wire.Server) {
	wire.HandleUnary(w, structs.MethodWatchConfig, s.watch)
}

// watch replies with a later version as soon as there is one, or without a
// document when longPollTimeout expires.
func (s *server) watch(ctx context.Context, q structs.ConfigQuery) (structs.ConfigVersion, error) {
	s.followers.record(structs.Now(), q.From, q.InForce)
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		changed := s.holder.Changed()
		current := s.holder.Current()
		if current != nil && current.Version() > q.HaveVersion {
			return s.newerVersion(q, current)
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		reply := structs.ConfigVersion{Age: s.holder.Age(structs.Now())}
		if current != nil {
			reply.Version, reply.Author = current.Version(), current.Author()
		}
		return reply, nil
	}
}

// newerVersion returns a patch if the sender of the query accepts one and its
// version was in force here recently, and the full document otherwise.
func (s *server) newerVersion(q structs.ConfigQuery, current *config.Snapshot) (structs.ConfigVersion, error) {
	base := s.holder.Recent(q.HaveVersion)
	if !q.AcceptsPatch || base == nil {
		return s.fullDocument(current)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.patchFrom != q.HaveVersion || s.patchTo != current.Version() {
		patch, err := config.Diff(base, current)
		if err != nil {
			return structs.ConfigVersion{}, err
		}
		encoded, err := json.Marshal(patch)
		if err != nil {
			return structs.ConfigVersion{}, errors.Wrap(err, "encode patch")
		}
		s.patchFrom, s.patchTo, s.patch = q.HaveVersion, current.Version(), encoded
	}
	return structs.ConfigVersion{
		Version: current.Version(),
		Author:  current.Author(),
		Patch:   s.patch,
		Age:     s.holder.Age(structs.Now()),
	}, nil
}

func (s *server) fullDocument(current *config.Snapshot) (structs.ConfigVersion, error) {
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
