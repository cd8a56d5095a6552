package edge

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
)

// waiter is a request that waits for a slot.
type waiter struct {
	ticket  admission.Request
	query   placement.Query
	granted chan placement.Choice // of capacity 1
}

// NoTargetError says that a service has no target that may be used.
type NoTargetError struct{ Service structs.ServiceID }

// Error names the service.
func (e *NoTargetError) Error() string {
	return "service " + string(e.Service) + " has no usable target"
}

// NoFreeSlotError says that no slot became free in time.
type NoFreeSlotError struct {
	Service structs.ServiceID
	Waited  time.Duration
}

// Error names the service and the wait.
func (e *NoFreeSlotError) Error() string {
	return "no slot of service " + string(e.Service) + " became free within " + e.Waited.Round(time.Millisecond).String()
}

// acquire returns a target whose load has been raised by one; finish ends
// that. It waits in line for at most hold while all targets are full.
func (s *Server) acquire(ctx context.Context, query placement.Query, ticket admission.Request, hold time.Duration) (placement.Target, error) {
	now := structs.Now()
	s.mu.Lock()
	line := s.line(query.Service)
	choice, ok := s.targets.Choose(now, query)
	if !ok {
		s.mu.Unlock()
		return placement.Target{}, &NoTargetError{Service: query.Service}
	}
	if choice.HasFreeSlot && line.Len() == 0 {
		s.targets.BeginRequest(choice.Target.ID)
		s.mu.Unlock()
		return choice.Target, nil
	}
	w := &waiter{ticket: ticket, query: query, granted: make(chan placement.Choice, 1)}
	line.Add(&w.ticket)
	s.waiters[&w.ticket] = w
	s.serveLine(query.Service)
	s.mu.Unlock()
	return s.wait(ctx, w, hold)
}

func (s *Server) wait(ctx context.Context, w *waiter, hold time.Duration) (placement.Target, error) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	var err error
	select {
	case choice := <-w.granted:
		return choice.Target, nil
	case <-timer.C:
		err = &NoFreeSlotError{Service: w.query.Service, Waited: hold}
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.line(w.query.Service).Remove(&w.ticket) {
		delete(s.waiters, &w.ticket)
		return placement.Target{}, err
	}
	choice := <-w.granted // granted meanwhile
	if ctx.Err() == nil {
		return choice.Target, nil
	}
	s.finish(choice.Target.ID, placement.ResultNone, 0)
	return placement.Target{}, err
}

func (s *Server) line(service structs.ServiceID) *admission.Queue {
	line := s.lines[service]
	if line == nil {
		line = &admission.Queue{}
		s.lines[service] = line
	}
	return line
}

// serveLine hands free slots to those first in line. The caller holds the lock.
func (s *Server) serveLine(service structs.ServiceID) {
	line := s.line(service)
	now := structs.Now()
	for {
		first := line.First()
		if first == nil {
			return
		}
		w := s.waiters[first]
		choice, ok := s.targets.Choose(now, w.query)
		if !ok || !choice.HasFreeSlot {
			return
		}
		line.Remove(first)
		delete(s.waiters, first)
		s.targets.BeginRequest(choice.Target.ID)
		w.granted <- choice
	}
}

// serveLines does so for all services. The caller holds the lock.
func (s *Server) serveLines() {
	for service := range s.lines {
		s.serveLine(service)
	}
}
