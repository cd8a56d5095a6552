package backing

import (
	"context"
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/backing"
)

// Service names one service of the platform for the control methods.
type Service string

// Services of the platform.
const (
	Table   Service = "table"
	Objects Service = "objects"
	VMs     Service = "vms"
	Weights Service = "weights"
)

// Counts are the requests that took effect.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// PeakWriteRate is the highest number of writes within one clock second.
	PeakWriteRate uint64 `json:"peak_writes_per_second"`
}

// OutageError is the cause of failures during an outage.
type OutageError struct{ Service Service }

// Error names the service.
func (e *OutageError) Error() string { return fmt.Sprintf("outage of %s", e.Service) }

// LostResponseError is the cause of an unknown outcome.
type LostResponseError struct{ Service Service }

// Error names the service.
func (e *LostResponseError) Error() string { return fmt.Sprintf("answer of %s was lost", e.Service) }

type faults struct {
	outage  bool
	hang    bool
	latency time.Duration
	lose    int
	counts  Counts
	second  int64  // of the latest write
	writes  uint64 // within that second
}

func (f *faults) countWrite(now time.Time) {
	if now.Unix() != f.second {
		f.second = now.Unix()
		f.writes = 0
	}
	f.writes++
	f.counts.Writes++
	f.counts.PeakWriteRate = max(f.counts.PeakWriteRate, f.writes)
}

// SetOutage makes a service refuse all requests.
func (s *Server) SetOutage(service Service, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault(service).outage = on
}

// SetHang makes a service give no answer, and take no effect, until the
// request's context ends.
func (s *Server) SetHang(service Service, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault(service).hang = on
}

// SetLatency sets the time that each request of a service takes.
func (s *Server) SetLatency(service Service, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault(service).latency = latency
}

// LoseResponses loses the answers of the next n writes after they took effect.
func (s *Server) LoseResponses(service Service, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault(service).lose = n
}

// Counts returns the requests that took effect.
func (s *Server) Counts(service Service) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault(service).counts
}

// fault returns the knobs of a service; s.mu is held.
func (s *Server) fault(service Service) *faults {
	f, ok := s.faults[service]
	if !ok {
		f = &faults{}
		s.faults[service] = f
	}
	return f
}

// enter applies latency, hang and outage before a request takes effect.
func (s *Server) enter(ctx context.Context, service Service, write bool) error {
	s.mu.Lock()
	f := *s.fault(service)
	s.mu.Unlock()
	if err := pause(ctx, f); err != nil {
		return noAnswer(service, write, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault(service).outage {
		return &backing.UnavailableError{Service: string(service), Cause: &OutageError{Service: service}}
	}
	return nil
}

func pause(ctx context.Context, f faults) error {
	if f.hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.latency <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(f.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func noAnswer(service Service, write bool, cause error) error {
	if write {
		return &backing.UnknownOutcomeError{Service: string(service), Cause: cause}
	}
	return &backing.UnavailableError{Service: string(service), Cause: cause}
}

// wrote counts a write and loses its answer when asked to; s.mu is held.
func (s *Server) wrote(service Service) error {
	f := s.fault(service)
	f.countWrite(time.Now())
	if f.lose <= 0 {
		return nil
	}
	f.lose--
	return &backing.UnknownOutcomeError{Service: string(service), Cause: &LostResponseError{Service: service}}
}
