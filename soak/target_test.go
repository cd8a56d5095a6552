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

// engine is a target in memory, shared by all schedulers.
type engine struct {
	f  *fleet
	id structs.TargetID

	mu       sync.Mutex
	held     map[structs.ProgramID]bool
	trouble  int       // percent of requests that go wrong
	failing  bool      // releases fail
	leftAt   time.Time // when its VM was listed as leaving
	slowness time.Duration
}

func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) holds() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

// driver is one scheduler's way to a target. It fails like the real ones: an
// answer that is cut, doubled or crossed is a *target.BrokenError.
type driver struct {
	*engine
	n *node
}

// label names a call to a target: its program and number.
func label(req target.Request) string {
	if req.Plain != nil {
		return req.Plain.Path
	}
	return req.Messages[len(req.Messages)-1].Content
}

func answerTo(name string) string { return "answer to " + name }

func (d *driver) Do(ctx context.Context, req target.Request) (target.Stream, error) {
	d.f.net.thaw(d.n.addr)
	if d.n.dead.Load() {
		return nil, &target.NotSentError{Target: d.id, Cause: io.ErrClosedPipe}
	}
	name := label(req)
	d.mu.Lock()
	trouble, slowness, leftAt := d.trouble, d.slowness, d.leftAt
	d.mu.Unlock()
	longest := 300
	if req.Plain != nil {
		longest = 3000 // many orders are at a target when a fault begins
	}
	bad := d.f.draw(100) < trouble
	kind := d.f.draw(5)
	if bad && kind == 0 {
		return nil, &target.NotSentError{Target: d.id, Cause: io.ErrClosedPipe}
	}
	d.f.checkLeaving(d.id, leftAt)
	d.f.checkIsolation(req, name)
	d.f.ran(name, req.Plain != nil)
	if req.Plain == nil {
		d.set(func() { d.held[req.Hold] = true })
	}
	select {
	case <-time.After(time.Duration(10+d.f.draw(longest))*time.Millisecond + slowness):
	case <-ctx.Done():
		return nil, &target.IncompleteResponseError{Target: d.id, Cause: ctx.Err()}
	}
	if d.n.dead.Load() || bad && kind == 1 {
		return nil, &target.IncompleteResponseError{Target: d.id, Cause: io.ErrUnexpectedEOF}
	}
	data := []byte(answerTo(name))
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
	s.d.f.net.thaw(s.d.n.addr)
	if len(s.chunks) == 0 || s.d.n.dead.Load() {
		return target.Chunk{}, &target.IncompleteResponseError{Target: s.d.id, IsAlive: true, Cause: io.ErrUnexpectedEOF}
	}
	chunk := s.chunks[0]
	s.chunks = s.chunks[1:]
	return chunk, nil
}

func (s *stream) Close() error { return nil }

func (d *driver) Load(context.Context) (target.Load, error) {
	if d.n.dead.Load() {
		return target.Load{}, &target.IncompleteResponseError{Target: d.id, Cause: io.ErrUnexpectedEOF}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var load target.Load
	for id := range d.held {
		load.HeldPrograms = append(load.HeldPrograms, string(id))
	}
	return load, nil
}

func (d *driver) Release(_ context.Context, id structs.ProgramID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing || d.n.dead.Load() {
		return &target.StatusError{Target: d.id, Status: 500}
	}
	delete(d.held, id)
	return nil
}

func (d *driver) Order(context.Context, target.Order) error { return nil }

// checkLeaving checks that a leaving target gets nothing new after a while.
func (f *fleet) checkLeaving(id structs.TargetID, leftAt time.Time) {
	const bound = 5 * time.Second
	if !leftAt.IsZero() && time.Since(leftAt) > bound && f.calmSince(leftAt) {
		f.fail("leaving target %s got a request %s after it was listed", id, time.Since(leftAt))
	}
}

// checkIsolation checks that a prompt holds messages of its own program only.
func (f *fleet) checkIsolation(req target.Request, name string) {
	own, _, _ := strings.Cut(name, "#")
	for _, m := range req.Messages {
		if !strings.Contains(m.Content, own+"#") {
			f.fail("prompt of %s holds %q", name, m.Content)
		}
	}
}

// ran counts an arrival and checks that a program's calls arrive in order.
func (f *fleet) ran(name string, order bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, digits, _ := strings.Cut(name, "#")
	number := 0
	fmt.Sscan(digits, &number)
	f.runs[name]++
	if last := f.arrived[own]; number < last && f.err == nil {
		f.err = fmt.Errorf("%s arrived after call %d", name, last)
	}
	f.arrived[own] = max(f.arrived[own], number)
	if order && f.runs[name] > 1 && f.err == nil {
		f.err = fmt.Errorf("%s ran %d times", name, f.runs[name])
	}
}
