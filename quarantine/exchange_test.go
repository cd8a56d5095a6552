package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	exchangedRequest = 7
	testSuspect      = time.Minute
	testPeriod       = 10 * time.Minute
)

// letter is what one list has told another, until it is delivered, possibly more than once.
type letter struct {
	to      int
	reports []Report
	sentAt  structs.Instant
}

// fleetOfLists exchanges the reports of lists in a drawn order.
type fleetOfLists struct {
	now     structs.Instant
	lists   []*List
	letters []letter
	// crashes are the instants of all crashes by lifetime, maxDelay is the longest time that a
	// letter was under way.
	crashes  map[int64]structs.Instant
	maxDelay time.Duration
}

func newFleetOfLists(count int) *fleetOfLists {
	f := &fleetOfLists{crashes: make(map[int64]structs.Instant)}
	for range count {
		f.lists = append(f.lists, New(Options{Targets: 3, SuspectPeriod: testSuspect, Period: testPeriod}))
	}
	return f
}

func (f *fleetOfLists) send(from, to int) {
	f.letters = append(f.letters, letter{to: to, reports: f.lists[from].Export(f.now), sentAt: f.now})
}

func (f *fleetOfLists) deliver(l letter) {
	f.maxDelay = max(f.maxDelay, f.now.Sub(l.sentAt))
	f.lists[l.to].Import(f.now, l.reports)
}

// exchangeAll delivers the news of each list to each other one.
func (f *fleetOfLists) exchangeAll() {
	for range len(f.lists) + 1 {
		for from := range f.lists {
			for to := range f.lists {
				f.lists[to].Import(f.now, f.lists[from].Export(f.now))
			}
		}
	}
}

// step draws one event: time passes, a target crashes, a request is answered, a letter is sent,
// delivered, or delivered without being taken out.
func (f *fleetOfLists) step(rt *rapid.T) {
	list := func(label string) int { return rapid.IntRange(0, len(f.lists)-1).Draw(rt, label) }
	switch rapid.IntRange(0, 6).Draw(rt, "event") {
	case 0:
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 90_000).Draw(rt, "pause_ms")) * time.Millisecond)
	case 1:
		lifetime := int64(len(f.crashes) + 1)
		f.crashes[lifetime] = f.now
		for range rapid.IntRange(1, 2).Draw(rt, "witnesses") {
			f.lists[list("witness")].RecordCrash(f.now, exchangedRequest, "t", lifetime)
		}
	case 2:
		f.lists[list("answered at")].RecordAnswer(f.now, exchangedRequest)
	case 3, 4:
		f.send(list("from"), list("to"))
	default:
		if len(f.letters) == 0 {
			return
		}
		n := rapid.IntRange(0, len(f.letters)-1).Draw(rt, "letter")
		f.deliver(f.letters[n])
		if rapid.Bool().Draw(rt, "isTaken") {
			f.letters = append(f.letters[:n], f.letters[n+1:]...)
		}
	}
}

// lastCrash returns the last crash of which a list may know.
func (f *fleetOfLists) lastCrash() structs.Instant {
	var last structs.Instant
	for _, at := range f.crashes {
		last = max(last, at)
	}
	return last
}

// Guards against LOST by news that goes round: whatever the order, the delay and the
// repetition of the messages, a quarantine needs three crashes, ends by the age of the last
// one, is the same at all lists that hear of each other, and ends at all of them with an
// answer.
func TestListsAgreeInAnyOrderOfMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleetOfLists(rapid.IntRange(2, 5).Draw(rt, "lists"))
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			f.step(rt)
			for n, l := range f.lists {
				left := l.Remaining(f.now, exchangedRequest)
				if left > 0 && len(f.crashes) < 3 {
					rt.Fatalf("list %d: quarantine after %d crashes", n, len(f.crashes))
				}
				if end := f.now.Add(left); left > 0 && end > f.lastCrash().Add(testPeriod+f.maxDelay) {
					rt.Fatalf("list %d: quarantine ends %s after the last crash", n, end.Sub(f.lastCrash()))
				}
			}
		}
		f.exchangeAll()
		for n, l := range f.lists {
			if got, want := l.Remaining(f.now, exchangedRequest), f.lists[0].Remaining(f.now, exchangedRequest); got != want {
				rt.Fatalf("list %d: %s left, list 0: %s", n, got, want)
			}
		}
		f.lists[rapid.IntRange(0, len(f.lists)-1).Draw(rt, "last answer at")].RecordAnswer(f.now, exchangedRequest)
		f.exchangeAll()
		for _, l := range f.letters { // late news of before the answer
			f.deliver(l)
		}
		f.exchangeAll()
		for n, l := range f.lists {
			if left := l.Remaining(f.now, exchangedRequest); left > 0 {
				rt.Fatalf("list %d: %s left after an answer", n, left)
			}
		}
	})
}

// Guards against a crash that goes round between lists and is taken for a new one each time.
func TestCrashesFarApartDoNotQuarantine(t *testing.T) {
	f := newFleetOfLists(3)
	for lifetime := range int64(6) {
		f.lists[lifetime%3].RecordCrash(f.now, exchangedRequest, "t", lifetime+1)
		for range 70 {
			f.now = f.now.Add(time.Second)
			f.exchangeAll()
		}
		for _, l := range f.lists {
			assert.Equal(t, l.Remaining(f.now, exchangedRequest), time.Duration(0), "crash %d", lifetime)
		}
	}
}

// Guards against a quarantine of a request that is answered all the time, since a target that
// crashes runs it too.
func TestCrashesOfAnsweredRequestDoNotCount(t *testing.T) {
	f := newFleetOfLists(2)
	f.lists[0].RecordAnswer(f.now, exchangedRequest)
	f.now = f.now.Add(testSuspect / 3)
	for lifetime := range int64(3) { // at the list that has no answer
		assert.Assert(t, !f.lists[0].RecordCrash(f.now, exchangedRequest, "t", lifetime+1))
		f.lists[1].RecordCrash(f.now, exchangedRequest, "t", lifetime+4)
	}
	assert.Assert(t, f.lists[1].Remaining(f.now, exchangedRequest) > 0)
	f.exchangeAll()
	for _, l := range f.lists {
		assert.Equal(t, l.Remaining(f.now, exchangedRequest), time.Duration(0))
	}
}

// Guards against reports of builds without ages that bring back what is cleared.
func TestReportsWithoutAgesDoNotReviveCrashes(t *testing.T) {
	l := New(Options{Targets: 3, SuspectPeriod: testSuspect, Period: testPeriod})
	old := Report{Fingerprint: exchangedRequest, Targets: []structs.TargetID{"a", "b", "c"}}
	l.Import(0, []Report{old})
	assert.Assert(t, l.Remaining(1, exchangedRequest) > 0)
	l.RecordAnswer(2, exchangedRequest)
	l.Import(3, []Report{old})
	assert.Equal(t, l.Remaining(4, exchangedRequest), time.Duration(0))
}

func TestTrialsAreSpacedByCrashes(t *testing.T) {
	l := New(Options{Targets: 3, SuspectPeriod: testSuspect, Period: testPeriod})
	for lifetime, want := range []time.Duration{0, 0, trialDelay, 2 * trialDelay, 4 * trialDelay} {
		l.RecordCrash(0, exchangedRequest, "t", int64(lifetime+1))
		assert.Equal(t, l.NextTrial(0, exchangedRequest), Trial{Crashes: lifetime + 1, Wait: want})
	}
	assert.Equal(t, l.NextTrial(structs.Instant(4*trialDelay), exchangedRequest).Wait, time.Duration(0))
}

func TestReportsAreBounded(t *testing.T) {
	l := New(Options{Targets: 1, MaxReports: 4})
	for fingerprint := range uint64(20) {
		l.RecordCrash(structs.Instant(fingerprint), fingerprint, "t", 1)
	}
	reports := l.Export(20)
	assert.Equal(t, len(reports), 4)
	assert.Equal(t, fmt.Sprint(reports[0].Fingerprint), "16")
}
