package edge

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetpath"
)

const (
	// pathCheckPeriod is how often the paths to targets are looked at.
	pathCheckPeriod = 100 * time.Millisecond
	// verdictTimeout bounds the wait for the cause of a failure: a check takes 350 ms.
	verdictTimeout = 700 * time.Millisecond
)

// targetPaths is the state of this VM's paths to targets, and of the VMs that forward
// requests while these are lost.
type targetPaths struct {
	mu      sync.Mutex
	health  targetpath.Health
	relays  targetpath.Relays
	checks  int
	decided chan struct{} // closed and replaced at the end of each check
	// abandon cancels the requests that have no response yet and may be sent again, by
	// number.
	abandon     map[uint64]context.CancelFunc
	lastAttempt uint64
	forwarding  int  // requests of peers that this VM forwards
	isDraining  bool // takes no requests of peers any more
}

func newTargetPaths() *targetPaths {
	return &targetPaths{decided: make(chan struct{}), abandon: make(map[uint64]context.CancelFunc)}
}

func (p *targetPaths) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.IsLost()
}

// isInDoubt reports whether failures may be due to this VM's paths.
func (p *targetPaths) isInDoubt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.IsLost() || p.health.IsSuspect()
}

// lostSince reports whether the paths were lost at any time from since on.
func (p *targetPaths) lostSince(since structs.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.LostSince(since)
}

func (p *targetPaths) connected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Connected(structs.Now())
}

func (p *targetPaths) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Heard(structs.Now())
}

// begin records that a request is sent. A request that may be sent again is cancelled by
// abandon if the paths are lost before its response begins; answered prevents that, or
// reports false if it comes too late. end records the request's end.
func (p *targetPaths) begin(abandon context.CancelFunc) (answered func() bool, end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.RequestBegan(structs.Now())
	p.lastAttempt++
	number := p.lastAttempt
	if abandon != nil {
		p.abandon[number] = abandon
	}
	answered = func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		isKept := abandon == nil || p.abandon[number] != nil
		delete(p.abandon, number)
		p.health.Heard(structs.Now())
		return isKept
	}
	end = func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.abandon, number)
		p.health.RequestEnded()
	}
	return answered, end
}

// awaitVerdict returns what a failure was due to, once that is known. While it stays open,
// the target counts as failed.
func (p *targetPaths) awaitVerdict(ctx context.Context, failedAt structs.Instant) targetpath.Verdict {
	timer := time.NewTimer(verdictTimeout)
	defer timer.Stop()
	for {
		p.mu.Lock()
		verdict, decided := p.health.Judge(failedAt), p.decided
		p.mu.Unlock()
		if verdict != targetpath.Undecided {
			return verdict
		}
		select {
		case <-decided:
		case <-timer.C:
			return targetpath.TargetFailed
		case <-ctx.Done():
			return targetpath.Undecided
		}
	}
}

// heardBody records the bytes of a response as they are read.
type heardBody struct {
	io.ReadCloser
	paths *targetPaths
}

// Read implements io.Reader.
func (b *heardBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.paths.heard()
	}
	return n, err
}

// recordPathFailure records that a connection to a target failed or broke, and checks the
// paths.
func (s *Server) recordPathFailure(now structs.Instant) {
	s.paths.mu.Lock()
	s.paths.health.Failed(now)
	s.paths.mu.Unlock()
	go s.checkPaths(context.Background(), time.Time{})
}

// checkPaths connects to some targets if it is open whether this VM reaches any.
func (s *Server) checkPaths(ctx context.Context, _ time.Time) {
	p := s.paths
	check, isDue := p.beginCheck()
	if !isDue {
		return
	}
	candidates := targetpath.PickCandidates(check, s.pathCandidates())
	isConnected := s.connectsToAny(ctx, candidates)

	p.mu.Lock()
	now := structs.Now()
	transition := p.health.EndCheck(now, isConnected, len(candidates))
	var abandoned []context.CancelFunc
	if transition == targetpath.Lost && p.health.AreConnectionsSilent(now) {
		for number, abandon := range p.abandon {
			abandoned = append(abandoned, abandon)
			delete(p.abandon, number)
		}
	}
	close(p.decided)
	p.decided = make(chan struct{})
	p.mu.Unlock()
	s.applyPathTransition(transition, candidates, abandoned)
}

// beginCheck begins a check if one is due, and returns its number.
func (p *targetPaths) beginCheck() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := structs.Now()
	if !p.health.IsCheckDue(now) {
		return 0, false
	}
	p.checks++
	p.health.BeginCheck(now)
	return p.checks, true
}

func (s *Server) applyPathTransition(transition targetpath.Transition, tried []targetpath.Candidate, abandoned []context.CancelFunc) {
	switch transition {
	case targetpath.Lost:
		s.mu.Lock()
		s.targets.ForgetOwnFailures()
		s.mu.Unlock()
		for _, abandon := range abandoned {
			abandon()
		}
		s.stats.pathsLost.Inc()
		s.log.Warn("lost the paths to all targets", "tried", len(tried), "sent_again", len(abandoned),
			"last_answer_ms", s.answerAge(structs.Now()).Milliseconds())
	case targetpath.Restored:
		s.log.Info("regained the paths to targets", "tried", len(tried))
	}
}

// pathCandidates returns the targets that a check may connect to.
func (s *Server) pathCandidates() []targetpath.Candidate {
	now := structs.Now()
	table := s.opts.Config.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []targetpath.Candidate
	for _, id := range s.targets.IDs() {
		target, _ := s.targets.Get(id)
		if !s.targets.IsPermitted(target, placement.Query{}) {
			continue // an evacuated failure domain gets no checks either
		}
		if table == nil || table.Services[target.Service] == nil {
			continue // possibly an entry of another writer, at whose address there is nothing
		}
		candidates = append(candidates, targetpath.Candidate{
			Target: id, Service: target.Service, Domain: target.Domain, Address: target.Address,
			IsFailing: s.targets.IsBackingOff(now, id),
		})
	}
	return candidates
}

// connectsToAny reports whether a connection to any of the candidates could be made.
func (s *Server) connectsToAny(ctx context.Context, candidates []targetpath.Candidate) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(candidates))
	for _, candidate := range candidates {
		go func() { results <- s.pool.Probe(ctx, candidate.Address) }()
	}
	for range candidates {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}

// resultOf returns what a grant's outcome says of the target: nothing if this VM's paths
// were lost.
func (s *Server) resultOf(g *grant) placement.Result {
	if g.failedAt != 0 && s.paths.awaitVerdict(context.Background(), g.failedAt) == targetpath.PathLost {
		return placement.ResultNone
	}
	return g.result
}

// ReachesTargets reports whether peers may forward requests through this VM.
func (s *Server) ReachesTargets() bool {
	if !s.knowsEvacuations() {
		return false
	}
	s.paths.mu.Lock()
	defer s.paths.mu.Unlock()
	return !s.paths.health.IsLost() && !s.paths.isDraining
}
