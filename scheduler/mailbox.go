package scheduler

import (
	"context"
	"sync"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// mailbox holds the core's replies to one caller that the caller has not read yet. Its
// size is bounded by the size of a response.
type mailbox struct {
	token   program.Token
	program structs.ProgramID
	notify  chan struct{} // capacity 1

	mu      sync.Mutex
	events  []structs.CallEvent
	info    *structs.ProgramInfo
	refusal *structs.Refusal
}

// mailboxes holds the open mailboxes by token.
type mailboxes struct {
	mu   sync.Mutex
	last program.Token
	open map[program.Token]*mailbox
}

func (m *mailboxes) new(id structs.ProgramID) *mailbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last++
	b := &mailbox{token: m.last, program: id, notify: make(chan struct{}, 1)}
	m.open[b.token] = b
	return b
}

func (m *mailboxes) close(b *mailbox) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, b.token)
}

func (m *mailboxes) len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.open)
}

func (m *mailboxes) find(token program.Token) *mailbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open[token]
}

// update changes a mailbox and wakes its reader. It does nothing if the mailbox is
// closed.
func (m *mailboxes) update(token program.Token, change func(*mailbox)) {
	b := m.find(token)
	if b == nil {
		return
	}
	b.mu.Lock()
	change(b)
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

func (m *mailboxes) deliverEvent(a program.DeliverEvent) {
	m.update(a.Token, func(b *mailbox) { b.events = append(b.events, a.Event) })
}

func (m *mailboxes) deliverInfo(a program.DeliverInfo) {
	info := a.Info
	m.update(a.Token, func(b *mailbox) { b.info = &info })
}

// deliverRefusal passes a refusal to its caller, with the address of the slot's owner
// if it is not this process.
func (s *Scheduler) deliverRefusal(a program.Refuse) {
	s.mailboxes.update(a.Token, func(b *mailbox) { b.refusal = s.withOwner(b.program, a.Refusal) })
}

// withOwner adds the owner's address to a refusal for a slot that is not served here.
// If this process is taking over the slot, it returns a "not ready" refusal instead.
func (s *Scheduler) withOwner(id structs.ProgramID, refusal *structs.Refusal) *structs.Refusal {
	if refusal == nil || refusal.Kind != structs.RefusedNotOwner {
		return refusal
	}
	if id.HomeDomain() != s.opts.Settings.Domain {
		return refusal
	}
	slot := program.SlotOf(id, s.opts.Settings.Lease.Slots)
	owner := s.opts.Ownership.OwnerAddr(slot)
	if _, held := s.opts.Ownership.HeldEpoch(slot); held || owner == s.opts.Settings.Listen.AdvertisedAddr() {
		return notReady("slot %d is being taken over", slot)
	}
	redirect := *refusal
	redirect.Owner = owner
	return &redirect
}

// receive waits for a reply, removes the events from the mailbox and returns what it
// holds.
func (b *mailbox) receive(ctx context.Context) (events []structs.CallEvent, info *structs.ProgramInfo, refusal *structs.Refusal, err error) {
	select {
	case <-b.notify:
	case <-ctx.Done():
		return nil, nil, nil, ctx.Err()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	events, b.events = b.events, nil
	return events, b.info, b.refusal, nil
}
