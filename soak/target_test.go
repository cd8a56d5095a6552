package soak

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

// fakeTarget is an in-memory target that all schedulers share.
type fakeTarget struct {
	f  *fleet
	id structs.TargetID

	mu            sync.Mutex
	heldPrograms  map[structs.ProgramID]bool
	failPercent   int
	failsReleases bool
	leftAt        time.Time // when its VM was listed as leaving
	extraLatency  time.Duration
}

func (e *fakeTarget) withLock(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeTarget) heldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heldPrograms)
}

// driver is one scheduler's connection to a target. Like the real drivers it
// returns a *target.IncompleteResponseError for a response that is incomplete, duplicated
// or belongs to another request.
type driver struct {
	*fakeTarget
	n *node
}

// callName returns the name of a call: its program and number, from the path or
// the last message of the request.
func callName(req target.Request) string {
	if req.Plain != nil {
		return req.Plain.Path
	}
	return req.Messages[len(req.Messages)-1].Content
}

func responseTo(name string) string { return "answer to " + name }

func (d *driver) Do(ctx context.Context, req target.Request) (target.Stream, error) {
	d.f.net.waitWhileFrozen(d.n.addr)
	if d.n.isDead.Load() {
		return nil, &target.NotSentError{Target: d.id, Cause: io.ErrClosedPipe}
	}
	name := callName(req)
	d.mu.Lock()
	failPercent, extraLatency, leftAt := d.failPercent, d.extraLatency, d.leftAt
	d.mu.Unlock()
	longest := 300
	if req.Plain != nil {
		longest = 3000 // so that many plain calls are in flight when a fault begins
	}
	bad := d.f.draw(100) < failPercent
	kind := d.f.draw(5)
	if bad && kind == 0 {
		return nil, &target.NotSentError{Target: d.id, Cause: io.ErrClosedPipe}
	}
	d.f.checkLeaving(d.id, leftAt)
	d.f.checkIsolation(req, name)
	d.f.recordRun(name, req.Plain != nil)
	if req.Plain == nil {
		d.withLock(func() { d.heldPrograms[req.Hold] = true })
	}
	select {
	case <-time.After(time.Duration(10+d.f.draw(longest))*time.Millisecond + extraLatency):
	case <-ctx.Done():
		return nil, &target.IncompleteResponseError{Target: d.id, Cause: ctx.Err()}
	}
	if d.n.isDead.Load() || bad && kind == 1 {
		return nil, &target.IncompleteResponseError{Target: d.id, Cause: io.ErrUnexpectedEOF}
	}
	data := []byte(responseTo(name))
	s := &stream{d: d}
	half := len(data) / 2
	first := target.Chunk{Data: data[:half]}
	if req.Plain != nil {
		first.Status = 201
	}
	s.chunks = []target.Chunk{first, {Data: data[half:]}, {IsLast: true, Usage: usageOf(req)}}
	if bad {
		s.chunks = s.chunks[:d.f.draw(3)]
	}
	return s, nil
}

func usageOf(req target.Request) structs.Usage {
	if req.Plain != nil {
		return structs.Usage{}
	}
	return structs.Usage{PromptTokens: int64(len(req.Messages)), OutputTokens: 2}
}

type stream struct {
	d      *driver
	chunks []target.Chunk
}

func (s *stream) Recv() (target.Chunk, error) {
	s.d.f.net.waitWhileFrozen(s.d.n.addr)
	if len(s.chunks) == 0 || s.d.n.isDead.Load() {
		return target.Chunk{}, &target.IncompleteResponseError{Target: s.d.id, IsAlive: true, Cause: io.ErrUnexpectedEOF}
	}
	chunk := s.chunks[0]
	s.chunks = s.chunks[1:]
	return chunk, nil
}

func (s *stream) Close() error { return nil }

func (d *driver) Load(context.Context) (target.Load, error) {
	if d.n.isDead.Load() {
		return target.Load{}, &target.IncompleteResponseError{Target: d.id, Cause: io.ErrUnexpectedEOF}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var load target.Load
	for id := range d.heldPrograms {
		load.HeldPrograms = append(load.HeldPrograms, string(id))
	}
	return load, nil
}

func (d *driver) Release(_ context.Context, id structs.ProgramID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failsReleases || d.n.isDead.Load() {
		return &target.StatusError{Target: d.id, Status: 500}
	}
	delete(d.heldPrograms, id)
	return nil
}

func (d *driver) Order(context.Context, target.Order) error { return nil }

// checkLeaving checks that a leaving target gets no new request later than 5 s
// after it was listed as leaving.
func (f *fleet) checkLeaving(id structs.TargetID, leftAt time.Time) {
	const bound = 5 * time.Second
	if !leftAt.IsZero() && time.Since(leftAt) > bound && f.isFaultFreeSince(leftAt) {
		f.fail("leaving target %s got a request %s after it was listed as leaving", id, time.Since(leftAt))
	}
}

// checkIsolation checks that a prompt contains only messages of its own program.
func (f *fleet) checkIsolation(req target.Request, name string) {
	own, _, _ := strings.Cut(name, "#")
	for _, m := range req.Messages {
		if !strings.Contains(m.Content, own+"#") {
			f.fail("prompt of %s contains %q", name, m.Content)
		}
	}
}

// recordRun counts a run of a call and checks that the calls of a program arrive
// in order and that a call with runsOnce runs no second time.
func (f *fleet) recordRun(name string, runsOnce bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, digits, _ := strings.Cut(name, "#")
	number := 0
	fmt.Sscan(digits, &number)
	f.runs[name]++
	if last := f.arrived[own]; number < last && f.err == nil {
		f.err = fmt.Errorf("%s arrived after call %d of its program", name, last)
	}
	f.arrived[own] = max(f.arrived[own], number)
	if runsOnce && f.runs[name] > 1 && f.err == nil {
		f.err = fmt.Errorf("%s ran %d times", name, f.runs[name])
	}
}
