package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// world is a small model of everything around a core: a journal, targets and
// callers, with failures of each. Its draws come from rapid or from a seed.
type world struct {
	draw  func(n int) int
	rules rules
	core  *Core
	gen   structs.Epoch
	now   structs.Instant
	err   error
	calm  bool // releases no longer fail

	durable map[structs.ProgramID][]journal.Record
	pending []Write
	queued  []Enqueue
	sends   []Send
	holds   map[structs.ProgramID]map[structs.TargetID]bool

	programs  []structs.ProgramID
	singles   []structs.ProgramID // programs of one call
	lastToken Token
	asked     map[Token]askedCall
	once      map[string]int               // arrivals at targets of calls that may not be repeated
	ranIn     map[string]structs.Epoch     // epoch of the last such arrival
	acked     map[structs.ProgramID]uint64 // highest acknowledged call
	injected  map[string]int
	budgets   map[structs.ProgramID]int64 // of programs that were created
	used      map[structs.ProgramID]int64 // tokens that targets gave, descendants included
}

type askedCall struct {
	program    structs.ProgramID
	number     uint64
	repeatable bool
	other      bool // the number with another content
}

func (a askedCall) key() string { return fmt.Sprintf("%s#%d/%v", a.program, a.number, a.other) }

const (
	modelHome      = "north"
	drainStep      = 300 * time.Millisecond
	recentPrograms = 5 // that calls are sent to
)

func newWorld(draw func(int) int, r rules) *world {
	w := &world{
		draw: draw, rules: r,
		durable:  make(map[structs.ProgramID][]journal.Record),
		holds:    make(map[structs.ProgramID]map[structs.TargetID]bool),
		asked:    make(map[Token]askedCall),
		once:     make(map[string]int),
		ranIn:    make(map[string]structs.Epoch),
		acked:    make(map[structs.ProgramID]uint64),
		injected: make(map[string]int),
		budgets:  make(map[structs.ProgramID]int64),
		used:     make(map[structs.ProgramID]int64),
	}
	w.takeOver()
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// takeOver starts a new owner from the durable records.
func (w *world) takeOver() {
	w.gen++
	w.core = New(Options{Domain: modelHome, Slots: 1, EndedRetention: time.Hour, MaxPrograms: 12, rules: w.rules})
	w.pending, w.queued, w.sends = nil, nil, nil
	var records []journal.Record
	for _, id := range w.programs {
		records = append(records, w.durable[id]...)
	}
	w.step(SlotGained{Slot: 0, Epoch: w.gen, Records: records})
}

func (w *world) step(e Event) {
	w.now = w.now.Add(time.Millisecond)
	for _, action := range w.core.Step(w.now, e) {
		w.act(action)
	}
}

func (w *world) act(action Action) {
	switch a := action.(type) {
	case Write:
		w.pending = append(w.pending, a)
	case Enqueue:
		w.queued = append(w.queued, a)
	case Dequeue:
		w.queued = remove(w.queued, func(q Enqueue) bool { return q.Call == a.Call })
	case Send:
		w.sends = append(w.sends, a)
	case CancelSend:
		w.cancel(a)
	case DeliverEvent:
		w.reply(a)
	case Refuse:
		w.refused(a)
	case Release:
		w.released(a)
	case ReportViolation:
		w.fail("%v", a.Err)
	}
}

func remove[T any](list []T, match func(T) bool) []T {
	var kept []T
	for _, item := range list {
		if !match(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// cancel drops a dispatch; its bytes may have reached the target before.
func (w *world) cancel(a CancelSend) {
	for _, s := range w.sends {
		if s.Call == a.Call && s.Attempt == a.Attempt && w.draw(2) == 0 {
			w.arrived(s, s.Request.MaxTokens)
		}
	}
	w.sends = remove(w.sends, func(s Send) bool { return s.Call == a.Call && s.Attempt == a.Attempt })
}

// arrived counts a request that reached its target and the tokens that it
// used there.
func (w *world) arrived(s Send, tokens int64) {
	id := s.Request.Hold
	if plain := s.Request.Plain; plain != nil {
		key := plain.Path
		if plain.Method == "GET" {
			return
		}
		w.once[key]++
		w.ranIn[key] = w.gen
		if w.once[key] > 1 {
			w.fail("%s reached targets %d times", key, w.once[key])
		}
		return
	}
	w.use(id, tokens)
	if w.holds[id] == nil {
		w.holds[id] = make(map[structs.TargetID]bool)
	}
	w.holds[id][s.Target] = true
}

func (w *world) use(id structs.ProgramID, tokens int64) {
	for owner, budget := range w.budgets {
		if id != owner && !strings.HasPrefix(string(id), string(owner)+childSeparator) {
			continue
		}
		w.used[owner] += tokens
		if w.used[owner] > budget {
			w.fail("targets gave %s %d tokens of %d", owner, w.used[owner], budget)
		}
	}
}

func (w *world) reply(a DeliverEvent) {
	asked, known := w.asked[a.Token]
	if !known || a.Event.Kind != structs.EventDone {
		return
	}
	turn := w.durableTurn(asked.program, asked.number)
	if turn == nil {
		w.fail("%s is acknowledged and not durable", asked.key())
	}
	w.injected["acknowledged"]++
	w.acked[asked.program] = max(w.acked[asked.program], asked.number)
}

func (w *world) refused(a Refuse) {
	asked, known := w.asked[a.Token]
	if !known || a.Refusal.Run != structs.RunNo || asked.repeatable {
		return
	}
	if w.ranIn[asked.key()] == w.gen {
		w.fail("%s ran and was refused with run no: %v", asked.key(), a.Refusal)
	}
}

func (w *world) released(a Release) {
	if len(w.durable[a.Program]) > 0 && !w.endedDurably(a.Program) {
		w.fail("%s is released and runs", a.Program)
	}
	ok := w.calm || w.draw(3) > 0
	if ok && w.holds[a.Program] != nil {
		delete(w.holds[a.Program], a.Target)
	}
	w.injected["release"]++
	w.step2(ReleaseFinished{Program: a.Program, Target: a.Target, OK: ok})
}

// step2 steps from within an action: the outcome is delivered after the
// actions at hand.
func (w *world) step2(e Event) {
	for _, action := range w.core.Step(w.now, e) {
		w.act(action)
	}
}

func (w *world) endedDurably(id structs.ProgramID) bool {
	for _, r := range w.durable[id] {
		if r.Kind == journal.KindEnded {
			return true
		}
	}
	return false
}

func (w *world) durableTurn(id structs.ProgramID, number uint64) *structs.Turn {
	for _, r := range w.durable[id] {
		if r.Kind != journal.KindTurn {
			continue
		}
		var turn structs.Turn
		if err := decode(r.Body, &turn); err == nil && turn.Number == number {
			return &turn
		}
	}
	return nil
}

// keep makes records durable as a journal does: the same records again are
// kept once.
func (w *world) keep(records []journal.Record) {
	for _, r := range records {
		list := w.durable[r.Program]
		if uint64(len(list)) >= r.Seq {
			if old := list[r.Seq-1]; old.Kind != r.Kind || string(old.Body) != string(r.Body) {
				w.fail("%s: record %d is written twice with other content", r.Program, r.Seq)
			}
			continue
		}
		if uint64(len(list))+1 != r.Seq {
			w.fail("%s: record %d leaves a gap after %d", r.Program, r.Seq, len(list))
		}
		w.durable[r.Program] = append(list, r)
		if r.Kind == journal.KindCreated {
			var spec structs.CreateProgram
			if err := decode(r.Body, &spec); err == nil {
				w.budgets[r.Program] = spec.Budget
			}
		}
	}
}

func (w *world) write() {
	if len(w.pending) == 0 {
		return
	}
	i := w.draw(len(w.pending))
	write := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	switch w.draw(8) {
	case 0:
		w.injected["write full"]++
		w.step(WriteFinished{ID: write.ID, Result: WriteTailFull})
	case 1:
		w.injected["write lost"]++
		w.step(WriteFinished{ID: write.ID, Result: WriteUnknown})
	case 2:
		w.injected["write answer lost"]++
		w.keep(write.Records)
		w.step(WriteFinished{ID: write.ID, Result: WriteUnknown})
	default:
		w.keep(write.Records)
		w.step(WriteFinished{ID: write.ID, Result: WriteDurable})
	}
}

func (w *world) choose() {
	if len(w.queued) == 0 {
		return
	}
	i := w.draw(len(w.queued))
	item := w.queued[i]
	w.queued = append(w.queued[:i:i], w.queued[i+1:]...)
	w.step(TargetAssigned{Call: item.Call, Target: structs.TargetID(fmt.Sprintf("t%d", w.draw(3)))})
}

func (w *world) finish() {
	if len(w.sends) == 0 {
		return
	}
	i := w.draw(len(w.sends))
	s := w.sends[i]
	w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
	result := []Result{ResultDone, ResultDone, ResultDone, ResultNotSent, ResultIncomplete, ResultRefused, ResultFailed}[w.draw(7)]
	usage := structs.Usage{}
	if s.Request.Plain == nil {
		usage = structs.Usage{PromptTokens: int64(1 + w.draw(20)), OutputTokens: int64(w.draw(8))}
	}
	switch result {
	case ResultNotSent:
	case ResultDone:
		w.arrived(s, usage.Total())
	case ResultRefused:
		w.arrived(s, 0)
	default:
		w.arrived(s, s.Request.MaxTokens)
	}
	w.injected[fmt.Sprintf("result %d", result)]++
	if result == ResultDone || result == ResultIncomplete && w.draw(2) == 0 {
		w.step(ResponsePart{Call: s.Call, Attempt: s.Attempt, Status: 200, Data: []byte("answer")})
	}
	w.step(DispatchFinished{Call: s.Call, Attempt: s.Attempt, Result: result, Usage: usage})
}
