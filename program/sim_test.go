package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// simulation models the surroundings of a core: a journal, targets and callers,
// each of which can fail. It draws its random choices from rapid or from a seeded
// generator.
type simulation struct {
	draw              func(n int) int
	mutations         mutations
	core              *Core
	epoch             structs.Epoch
	now               structs.Instant
	err               error
	isReleaseReliable bool // memory releases always succeed

	durable     map[structs.ProgramID][]journal.Record
	pending     []Write
	queued      []Enqueue
	sends       []Send
	memoryHolds map[structs.ProgramID]map[structs.TargetID]bool

	programs       []structs.ProgramID
	singlePrograms []structs.ProgramID // programs that were created for one call
	lastToken      Token
	sentCalls      map[Token]sentCall
	onceArrivals   map[string]int               // arrivals at targets by call, only calls that must not be repeated
	ranInEpoch     map[string]structs.Epoch     // epoch of the last such arrival, by call
	acked          map[structs.ProgramID]uint64 // highest number of an acknowledged call
	eventCounts    map[string]int
	budgets        map[structs.ProgramID]int64 // of programs whose creation is durable
	usedTokens     map[structs.ProgramID]int64 // tokens used at targets, descendants included
}

type sentCall struct {
	program         structs.ProgramID
	number          uint64
	isRepeatable    bool
	hasOtherContent bool // content differs from the usual one of this number
}

func (a sentCall) key() string {
	return fmt.Sprintf("%s#%d/%v", a.program, a.number, a.hasOtherContent)
}

const (
	testDomain     = "north"
	drainStep      = 300 * time.Millisecond
	recentPrograms = 5 // number of the latest programs that calls are sent to
)

func newSimulation(draw func(int) int, r mutations) *simulation {
	w := &simulation{
		draw: draw, mutations: r,
		durable:      make(map[structs.ProgramID][]journal.Record),
		memoryHolds:  make(map[structs.ProgramID]map[structs.TargetID]bool),
		sentCalls:    make(map[Token]sentCall),
		onceArrivals: make(map[string]int),
		ranInEpoch:   make(map[string]structs.Epoch),
		acked:        make(map[structs.ProgramID]uint64),
		eventCounts:  make(map[string]int),
		budgets:      make(map[structs.ProgramID]int64),
		usedTokens:   make(map[structs.ProgramID]int64),
	}
	w.startOwner()
	return w
}

func (w *simulation) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// startOwner starts a new owner of the slot from the durable records.
func (w *simulation) startOwner() {
	w.epoch++
	w.core = New(Options{Domain: testDomain, Slots: 1, EndedRetention: time.Hour, MaxPrograms: 12, mutations: w.mutations})
	w.pending, w.queued, w.sends = nil, nil, nil
	var records []journal.Record
	for _, id := range w.programs {
		records = append(records, w.durable[id]...)
	}
	w.step(SlotGained{Slot: 0, Epoch: w.epoch, Records: records})
}

func (w *simulation) step(e Event) {
	w.now = w.now.Add(time.Millisecond)
	for _, action := range w.core.Step(w.now, e) {
		w.perform(action)
	}
}

func (w *simulation) perform(action Action) {
	switch a := action.(type) {
	case Write:
		w.pending = append(w.pending, a)
	case Enqueue:
		w.queued = append(w.queued, a)
	case Dequeue:
		w.queued = without(w.queued, func(q Enqueue) bool { return q.Call == a.Call })
	case Send:
		w.sends = append(w.sends, a)
	case CancelSend:
		w.cancelDispatch(a)
	case DeliverEvent:
		w.checkDelivery(a)
	case Refuse:
		w.checkRefusal(a)
	case Release:
		w.releaseMemory(a)
	case ReportViolation:
		w.fail("%v", a.Err)
	}
}

func without[T any](list []T, match func(T) bool) []T {
	var kept []T
	for _, item := range list {
		if !match(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// cancelDispatch removes a dispatch. Its bytes may have reached the target
// before.
func (w *simulation) cancelDispatch(a CancelSend) {
	for _, s := range w.sends {
		if s.Call == a.Call && s.Attempt == a.Attempt && w.draw(2) == 0 {
			w.recordArrival(s, s.Request.MaxTokens)
		}
	}
	w.sends = without(w.sends, func(s Send) bool { return s.Call == a.Call && s.Attempt == a.Attempt })
}

// recordArrival records that a request reached its target and used the given
// tokens there.
func (w *simulation) recordArrival(s Send, tokens int64) {
	id := s.Request.Hold
	if plain := s.Request.Plain; plain != nil {
		key := plain.Path
		if plain.Method == "GET" {
			return
		}
		w.onceArrivals[key]++
		w.ranInEpoch[key] = w.epoch
		if w.onceArrivals[key] > 1 {
			w.fail("call %s reached targets %d times, but must not be repeated", key, w.onceArrivals[key])
		}
		return
	}
	w.countTokens(id, tokens)
	if w.memoryHolds[id] == nil {
		w.memoryHolds[id] = make(map[structs.TargetID]bool)
	}
	w.memoryHolds[id][s.Target] = true
}

func (w *simulation) countTokens(id structs.ProgramID, tokens int64) {
	for owner, budget := range w.budgets {
		if id != owner && !strings.HasPrefix(string(id), string(owner)+childSeparator) {
			continue
		}
		w.usedTokens[owner] += tokens
		if w.usedTokens[owner] > budget {
			w.fail("program %s used %d tokens at targets, its budget is %d", owner, w.usedTokens[owner], budget)
		}
	}
}

func (w *simulation) checkDelivery(a DeliverEvent) {
	sent, known := w.sentCalls[a.Token]
	if !known || a.Event.Kind != structs.EventDone {
		return
	}
	turn := w.durableTurn(sent.program, sent.number)
	if turn == nil {
		w.fail("call %s was acknowledged before its turn was durable", sent.key())
	}
	w.eventCounts["acknowledged"]++
	w.acked[sent.program] = max(w.acked[sent.program], sent.number)
}

func (w *simulation) checkRefusal(a Refuse) {
	sent, known := w.sentCalls[a.Token]
	if !known || a.Refusal.Run != structs.RunNo || sent.isRepeatable {
		return
	}
	if w.ranInEpoch[sent.key()] == w.epoch {
		w.fail("call %s reached a target, but was refused as not run: %v", sent.key(), a.Refusal)
	}
}

func (w *simulation) releaseMemory(a Release) {
	if len(w.durable[a.Program]) > 0 && !w.hasDurableEnd(a.Program) {
		w.fail("memory of program %s is released before its end is durable", a.Program)
	}
	ok := w.isReleaseReliable || w.draw(3) > 0
	if ok && w.memoryHolds[a.Program] != nil {
		delete(w.memoryHolds[a.Program], a.Target)
	}
	w.eventCounts["release"]++
	w.stepNested(ReleaseFinished{Program: a.Program, Target: a.Target, OK: ok})
}

// stepNested steps the core while an action is being carried out, without
// advancing the time.
func (w *simulation) stepNested(e Event) {
	for _, action := range w.core.Step(w.now, e) {
		w.perform(action)
	}
}

func (w *simulation) hasDurableEnd(id structs.ProgramID) bool {
	for _, r := range w.durable[id] {
		if r.Kind == journal.KindEnded {
			return true
		}
	}
	return false
}

func (w *simulation) durableTurn(id structs.ProgramID, number uint64) *structs.Turn {
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

// appendDurable makes records durable the way a journal does: a record that is
// appended again is stored once.
func (w *simulation) appendDurable(records []journal.Record) {
	for _, r := range records {
		list := w.durable[r.Program]
		if uint64(len(list)) >= r.Seq {
			if old := list[r.Seq-1]; old.Kind != r.Kind || string(old.Body) != string(r.Body) {
				w.fail("program %s: record %d is written twice with different content", r.Program, r.Seq)
			}
			continue
		}
		if uint64(len(list))+1 != r.Seq {
			w.fail("program %s: record %d leaves a gap after record %d", r.Program, r.Seq, len(list))
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

func (w *simulation) finishWrite() {
	if len(w.pending) == 0 {
		return
	}
	i := w.draw(len(w.pending))
	write := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	switch w.draw(8) {
	case 0:
		w.eventCounts["write full"]++
		w.step(WriteFinished{ID: write.ID, Result: WriteTailFull})
	case 1:
		w.eventCounts["write lost"]++
		w.step(WriteFinished{ID: write.ID, Result: WriteUnknown})
	case 2:
		w.eventCounts["write reply lost"]++
		w.appendDurable(write.Records)
		w.step(WriteFinished{ID: write.ID, Result: WriteUnknown})
	default:
		w.appendDurable(write.Records)
		w.step(WriteFinished{ID: write.ID, Result: WriteDurable})
	}
}

func (w *simulation) assignTarget() {
	if len(w.queued) == 0 {
		return
	}
	i := w.draw(len(w.queued))
	item := w.queued[i]
	w.queued = append(w.queued[:i:i], w.queued[i+1:]...)
	w.step(TargetAssigned{Call: item.Call, Target: structs.TargetID(fmt.Sprintf("t%d", w.draw(3)))})
}

func (w *simulation) finishDispatch() {
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
		w.recordArrival(s, usage.Total())
	case ResultRefused:
		w.recordArrival(s, 0)
	default:
		w.recordArrival(s, s.Request.MaxTokens)
	}
	w.eventCounts[fmt.Sprintf("result %d", result)]++
	if result == ResultDone || result == ResultIncomplete && w.draw(2) == 0 {
		w.step(ResponsePart{Call: s.Call, Attempt: s.Attempt, Status: 200, Data: []byte("answer")})
	}
	w.step(DispatchFinished{Call: s.Call, Attempt: s.Attempt, Result: result, Usage: usage})
}
