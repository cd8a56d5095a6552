// Package quarantine decides which requests must not be sent to targets because they may
// crash them: those that were running on Options.Targets starts of targets (by default two)
// when these crashed within Options.SuspectPeriod, and that no target has answered since.
//
// The package is a deterministic state machine without clock, goroutine or I/O. What it knows
// of a request is a set of crashes, each cleared or not, from which all else follows. Lists
// that exchange their sets in any order, late and repeatedly, come to the same one: a crash is
// identified by the start of the target, its age only grows, and what is cleared stays so.
package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Options configures a List; zero values select the defaults.
type Options struct {
	// Targets is the number of crashes that put a request into quarantine.
	Targets int
	// SuspectPeriod is the time within which these crashes have to be; Period is how long a
	// quarantine lasts after the last of them.
	SuspectPeriod, Period time.Duration
	// MaxEntries limits the number of fingerprints in the list.
	MaxEntries int
	// MaxReports limits the reports for other lists, 0 for no limit.
	MaxReports int
}

// DefaultPeriod is the default of both SuspectPeriod and Period.
const DefaultPeriod = 10 * time.Minute

// trialDelay is the time from a crash to the next trial of a request in quarantine. It doubles
// with each crash.
const trialDelay = 2 * time.Second

func (o Options) withDefaults() Options {
	if o.Targets == 0 {
		o.Targets = 2
	}
	if o.SuspectPeriod == 0 {
		o.SuspectPeriod = DefaultPeriod
	}
	if o.Period == 0 {
		o.Period = DefaultPeriod
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = 4096
	}
	if o.MaxReports == 0 {
		o.MaxReports = math.MaxInt
	}
	return o
}

// crashID identifies the crash of one start of a target.
type crashID struct {
	target   structs.TargetID
	lifetime int64
}

// crash is what is known of one crash. at is not later than the instant at which this list
// heard of it, and only moves back.
type crash struct {
	at        structs.Instant
	count     int
	isCleared bool
}

type entry struct {
	crashes  map[crashID]crash
	lastUsed structs.Instant
	// announceUntil is until when other lists are told of the entry although it holds
	// nothing against the request.
	announceUntil structs.Instant
	askAgainAt    structs.Instant // when a trial may be asked for again
}

// List holds the fingerprints of the suspected and the quarantined requests. It is not
// safe for concurrent use.
type List struct {
	opts    Options
	entries map[uint64]*entry
	// answered and answeredBefore hold the requests that were answered in the present and the
	// previous part of SuspectPeriod.
	answered, answeredBefore map[uint64]bool
	rotatedAt                structs.Instant
}

// New returns an empty list.
func New(opts Options) *List {
	return &List{opts: opts.withDefaults(), entries: make(map[uint64]*entry)}
}

// RecordCrash records that a start of a target crashed while it ran a request. It reports
// whether this puts the request into quarantine. A request that targets have answered
// recently did not cause the crash.
func (l *List) RecordCrash(now structs.Instant, fingerprint uint64, target structs.TargetID, lifetime int64) bool {
	e := l.entry(now, fingerprint)
	wasQuarantined := l.isQuarantined(now, e)
	id := crashID{target: target, lifetime: lifetime}
	known, isKnown := e.crashes[id]
	if isKnown && lifetime != 0 {
		return false // another list, or another run of the request, has recorded it
	}
	e.crashes[id] = crash{at: now, count: known.count + 1, isCleared: l.wasAnswered(now, fingerprint)}
	l.announce(now, e)
	return !wasQuarantined && l.isQuarantined(now, e)
}

// RecordAnswer clears the crashes of a request that a target has answered, also those of its
// quarantine: it does not crash the targets that run it.
func (l *List) RecordAnswer(now structs.Instant, fingerprint uint64) {
	l.rotateAnswered(now)
	if len(l.answered) < l.opts.MaxEntries {
		l.answered[fingerprint] = true
	}
	e := l.entries[fingerprint]
	if e == nil {
		return
	}
	for id, c := range e.crashes {
		if c.isCleared {
			continue
		}
		c.isCleared = true
		e.crashes[id] = c
		l.announce(now, e)
	}
}

// rotateAnswered forgets the answers that are older than SuspectPeriod.
func (l *List) rotateAnswered(now structs.Instant) {
	if l.answered == nil {
		l.answered, l.rotatedAt = make(map[uint64]bool), now
	}
	if now.Sub(l.rotatedAt) < l.opts.SuspectPeriod/2 {
		return
	}
	l.answeredBefore, l.answered = l.answered, make(map[uint64]bool)
	if now.Sub(l.rotatedAt) >= l.opts.SuspectPeriod {
		l.answeredBefore = nil
	}
	l.rotatedAt = now
}

// wasAnswered reports whether a target has answered the request in the last SuspectPeriod.
func (l *List) wasAnswered(now structs.Instant, fingerprint uint64) bool {
	l.rotateAnswered(now)
	return l.answered[fingerprint] || l.answeredBefore[fingerprint]
}

// announce makes other lists hear of an entry for some time.
func (l *List) announce(now structs.Instant, e *entry) {
	e.announceUntil = now.Add(l.opts.SuspectPeriod)
}

// remaining returns the time until the quarantine of a request ends, 0 if there is none.
func (l *List) remaining(now structs.Instant, e *entry) time.Duration {
	instants := e.counted()
	for last := len(instants) - 1; last >= l.opts.Targets-1; last-- {
		if instants[last].Sub(instants[last-l.opts.Targets+1]) <= l.opts.SuspectPeriod {
			return max(instants[last].Add(l.opts.Period).Sub(now), 0)
		}
	}
	return 0
}

func (l *List) isQuarantined(now structs.Instant, e *entry) bool { return l.remaining(now, e) > 0 }

// counted returns the instants of the crashes that count against the request, in order.
func (e *entry) counted() []structs.Instant {
	var instants []structs.Instant
	for _, c := range e.crashes {
		if !c.isCleared {
			instants = append(instants, c.at)
		}
	}
	slices.Sort(instants)
	return instants
}

// expire drops the crashes that are older than Period.
func (l *List) expire(now structs.Instant, e *entry) {
	for id, c := range e.crashes {
		if now.Sub(c.at) > l.opts.Period {
			delete(e.crashes, id)
		}
	}
}

// Remaining returns the time until a request's quarantine ends, 0 if it is not
// quarantined.
func (l *List) Remaining(now structs.Instant, fingerprint uint64) time.Duration {
	e := l.entries[fingerprint]
	if e == nil {
		return 0
	}
	return l.remaining(now, e)
}

// Trial describes when a request in quarantine may be tried once more.
type Trial struct {
	// Crashes is the number of crashes that count against the request. Each allows one trial.
	Crashes int
	// Wait is the time until the next trial.
	Wait time.Duration
}

// NextTrial returns when a request in quarantine may be tried once more.
func (l *List) NextTrial(now structs.Instant, fingerprint uint64) Trial {
	e := l.entries[fingerprint]
	if e == nil {
		return Trial{}
	}
	instants := e.counted()
	if len(instants) < l.opts.Targets {
		return Trial{Crashes: len(instants)}
	}
	const maxDoublings = 20
	due := instants[len(instants)-1].Add(trialDelay << min(len(instants)-l.opts.Targets, maxDoublings))
	return Trial{Crashes: len(instants), Wait: max(due.Sub(now), e.askAgainAt.Sub(now), 0)}
}

// DelayTrial holds trials of a request back for a time.
func (l *List) DelayTrial(now structs.Instant, fingerprint uint64, wait time.Duration) {
	if e := l.entries[fingerprint]; e != nil {
		e.askAgainAt = now.Add(wait)
	}
}

// Sweep drops what has expired.
func (l *List) Sweep(now structs.Instant) {
	for fingerprint, e := range l.entries {
		l.expire(now, e)
		if len(e.crashes) == 0 {
			delete(l.entries, fingerprint)
		}
	}
}

// Len returns the number of fingerprints in the list.
func (l *List) Len() int { return len(l.entries) }

// entry returns the entry of a fingerprint without its expired crashes. If it has to add one
// to a full list, it evicts another.
func (l *List) entry(now structs.Instant, fingerprint uint64) *entry {
	if e := l.entries[fingerprint]; e != nil {
		e.lastUsed = now
		l.expire(now, e)
		return e
	}
	if len(l.entries) >= l.opts.MaxEntries {
		l.evict(now)
	}
	e := &entry{crashes: make(map[crashID]crash), lastUsed: now, announceUntil: now, askAgainAt: now}
	l.entries[fingerprint] = e
	return e
}

// evict drops the entries that have expired. If there are none, it drops the least
// recently used entry, suspected ones before quarantined ones.
func (l *List) evict(now structs.Instant) {
	var evicted uint64
	var oldest *entry
	for fingerprint, e := range l.entries {
		l.expire(now, e)
		if len(e.crashes) == 0 {
			delete(l.entries, fingerprint)
			continue
		}
		if oldest == nil || l.shouldEvictBefore(now, e, oldest, fingerprint < evicted) {
			evicted, oldest = fingerprint, e
		}
	}
	if len(l.entries) >= l.opts.MaxEntries {
		delete(l.entries, evicted)
	}
}

func (l *List) shouldEvictBefore(now structs.Instant, a, b *entry, isLower bool) bool {
	if isQuarantinedA, isQuarantinedB := l.isQuarantined(now, a), l.isQuarantined(now, b); isQuarantinedA != isQuarantinedB {
		return isQuarantinedB
	}
	if a.lastUsed != b.lastUsed {
		return a.lastUsed < b.lastUsed
	}
	return isLower
}
