package backing

import (
	"context"
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/backing"
)

// Service identifies a service of the platform in the control methods.
type Service string

// Services of the platform.
const (
	Table   Service = "table"
	Objects Service = "objects"
	VMs     Service = "vms"
	Weights Service = "weights"
)

// Counts holds the number of requests that took effect.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// PeakWriteRate is the highest number of writes within one second of the clock.
	PeakWriteRate uint64 `json:"peak_writes_per_second"`
}

// OutageError is the cause of errors during an outage set by SetOutage.
type OutageError struct{ Service Service }

// Error names the service.
func (e *OutageError) Error() string { return fmt.Sprintf("outage of %s", e.Service) }

// LostResponseError is the cause of an unknown outcome after LoseResponses.
type LostResponseError struct{ Service Service }

// Error names the service.
func (e *LostResponseError) Error() string { return fmt.Sprintf("response of %s was lost", e.Service) }

type faults struct {
	hasOutage       bool
	isHanging       bool
	latency         time.Duration
	responsesToLose int
	counts          Counts
	writeSecond     int64  // Unix time of the latest write
	writesInSecond  uint64 // number of writes in writeSecond
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

// SetOutage starts or ends an outage, during which a service refuses all requests.
func (s *Server) SetOutage(service Service, isOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).hasOutage = isOn
}

// SetHang makes the requests to a service hang until their context ends, without taking
// effect.
func (s *Server) SetHang(service Service, isOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).isHanging = isOn
}

// SetLatency sets the delay of each request to a service.
func (s *Server) SetLatency(service Service, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).latency = latency
}

// LoseResponses makes the next n writes take effect and return an unknown outcome.
func (s *Server) LoseResponses(service Service, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsOf(service).responsesToLose = n
}

// Counts returns the number of requests that took effect.
func (s *Server) Counts(service Service) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultsOf(service).counts
}

// faultsOf returns the fault settings and counts of a service. The caller holds s.mu.
func (s *Server) faultsOf(service Service) *faults {
	f, ok := s.faults[service]
	if !ok {
		f = &faults{}
		s.faults[service] = f
	}
	return f
}

// applyFaults applies the latency, hang and outage of a service before a request takes
// effect.
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

// newNoResponseError returns the error for a request without a response: the outcome of a
// write is unknown, a read has failed.
func newNoResponseError(service Service, isWrite bool, cause error) error {
	if isWrite {
		return &backing.UnknownOutcomeError{Service: string(service), Cause: cause}
	}
	return &backing.UnavailableError{Service: string(service), Cause: cause}
}

// recordWrite counts a write that took effect. It returns *UnknownOutcomeError if
// LoseResponses applies to it. The caller holds s.mu.
func (s *Server) recordWrite(service Service) error {
	f := s.faultsOf(service)
	f.countWrite(time.Now())
	if f.responsesToLose <= 0 {
		return nil
	}
	f.responsesToLose--
	return &backing.UnknownOutcomeError{Service: string(service), Cause: &LostResponseError{Service: service}}
}
