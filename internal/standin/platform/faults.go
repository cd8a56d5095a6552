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
	hasOutage       bool
	isHanging       bool
	latency         time.Duration
	responsesToLose int
	counts          Counts
	writeSecond     int64  // of the latest write
	writesInSecond  uint64 // within that second
}

func (f *faults) countWrite(now time.Time) {
	if now.Unix() != f.writeSecond {
		f.writeSecond = now.Unix()
		f.writesInSecond = 0
	}
	f.writesInSecond++
	f.counts.Writes++
	f.counts.PeakWriteRate = max(f.counts.PeakWriteRate, f.writesInSecond)
}

// SetOutage makes a service refuse all requests.
func (s *Server) SetOutage(service Service, isOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).hasOutage = isOn
}

// SetHang makes a service give no answer, and take no effect, until the
// request's context ends.
func (s *Server) SetHang(service Service, isOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).isHanging = isOn
}

// SetLatency sets the time that each request of a service takes.
func (s *Server) SetLatency(service Service, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).latency = latency
}

// LoseResponses loses the answers of the next n writes after they took effect.
func (s *Server) LoseResponses(service Service, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).responsesToLose = n
}

// Counts returns the requests that took effect.
func (s *Server) Counts(service Service) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultsOf(service).counts
}

// faultsOf returns the knobs of a service; s.mu is held.
func (s *Server) faultsOf(service Service) *faults {
	f, ok := s.faults[service]
	if !ok {
		f = &faults{}
		s.faults[service] = f
	}
	return f
}

// applyFaults applies latency, hang and outage before a request takes effect.
func (s *Server) applyFaults(ctx context.Context, service Service, isWrite bool) error {
	s.mu.Lock()
	f := *s.faultsOf(service)
	s.mu.Unlock()
	if err := delayRequest(ctx, f); err != nil {
		return newNoResponseError(service, isWrite, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsOf(service).hasOutage {
		return &backing.UnavailableError{Service: string(service), Cause: &OutageError{Service: service}}
	}
	return nil
}

func delayRequest(ctx context.Context, f faults) error {
	if f.isHanging {
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

func newNoResponseError(service Service, isWrite bool, cause error) error {
	if isWrite {
		return &backing.UnknownOutcomeError{Service: string(service), Cause: cause}
	}
	return &backing.UnavailableError{Service: string(service), Cause: cause}
}

// recordWrite counts a write and loses its answer when asked to; s.mu is held.
func (s *Server) recordWrite(service Service) error {
	f := s.faultsOf(service)
	f.countWrite(time.Now())
	if f.responsesToLose <= 0 {
		return nil
	}
	f.responsesToLose--
	return &backing.UnknownOutcomeError{Service: string(service), Cause: &LostResponseError{Service: service}}
}
