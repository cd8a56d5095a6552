package scheduler

import (
	"context"
	"sync"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// mailbox holds what the core has said to one caller and the caller has not
// read yet. Its size is bounded by that of an answer.
type mailbox struct {
	token   program.Token
	program structs.ProgramID
	notify  chan struct{} // capacity 1

	mu      sync.Mutex
	events  []structs.CallEvent
	info    *structs.ProgramInfo
	refusal *structs.Refusal
}

// mailboxes are the open mailboxes by token.
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

// put changes a mailbox and wakes its reader. A mailbox that is closed is
// passed over.
func (m *mailboxes) put(token program.Token, change func(*mailbox)) {
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

func (m *mailboxes) reply(a program.DeliverEvent) {
	m.put(a.Token, func(b *mailbox) { b.events = append(b.events, a.Event) })
}

func (m *mailboxes) answer(a program.DeliverInfo) {
	info := a.Info
	m.put(a.Token, func(b *mailbox) { b.info = &info })
}

// refuse passes a refusal on and names the owner to ask instead.
func (s *Scheduler) refuse(a program.Refuse) {
	s.box.put(a.Token, func(b *mailbox) { b.refusal = s.withOwner(b.program, a.Refusal) })
}

// withOwner completes a refusal for a slot that is not served here. A slot
// that is on its way here is not ready yet.
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
	moved := *refusal
	moved.Owner = owner
	return &moved
}

// take waits for news and removes them from the mailbox.
func (b *mailbox) take(ctx context.Context) (events []structs.CallEvent, info *structs.ProgramInfo, refusal *structs.Refusal, err error) {
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
