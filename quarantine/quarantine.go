// Package quarantine decides which requests are kept from targets: those that
// were running on two targets as these crashed.
//
// The package is a state machine without clock, goroutine or I/O.
package quarantine

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// Options bounds a List; zero values take a default.
type Options struct {
	// Targets is how many different targets must have crashed.
	Targets int
	// SuspectPeriod is how long a crash is remembered, Period how long a request
	// is kept from targets.
	SuspectPeriod, Period time.Duration
	// MaxEntries bounds the fingerprints that are remembered.
	MaxEntries int
}

// DefaultPeriod is how long a crash is remembered and a request kept from
// targets, where Options say nothing.
const DefaultPeriod = 10 * time.Minute

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
	return o
}

// Report is a crash or a quarantine as it is told to other schedulers. Times
// are durations, since instants do not cross processes.
type Report struct {
	Fingerprint uint64             `msgpack:"f"`
	Targets     []structs.TargetID `msgpack:"t"`
	// Remaining is how long the request is kept from targets; 0 for one that is
	// only suspected.
	Remaining time.Duration `msgpack:"l"`
}

type entry struct {
	targets map[structs.TargetID]structs.Instant // instant of the last crash
	until   structs.Instant                      // 0 when not quarantined
	touched structs.Instant
}

// held reports whether the request is kept from targets.
func (e *entry) held(now structs.Instant) bool { return e.until != 0 && now < e.until }

// List holds the suspected and the quarantined fingerprints. It is used from
// one goroutine.
type List struct {
	opts    Options
	entries map[uint64]*entry
}

// New makes an empty list.
func New(opts Options) *List {
	return &List{opts: opts.withDefaults(), entries: make(map[uint64]*entry)}
}

// RecordCrash records that a target's connection was lost while it ran a request,
// and reports whether this puts the request into quarantine.
func (l *List) RecordCrash(now structs.Instant, fingerprint uint64, target structs.TargetID) bool {
	e := l.entry(now, fingerprint)
	e.targets[target] = now
	for id, at := range e.targets {
		if now.Sub(at) > l.opts.SuspectPeriod {
			delete(e.targets, id)
		}
	}
	if len(e.targets) < l.opts.Targets {
		return false
	}
	fresh := !e.held(now)
	e.until = now.Add(l.opts.Period)
	return fresh
}

// Remaining returns how long a request is still kept from targets; 0 for one that
// may run.
func (l *List) Remaining(now structs.Instant, fingerprint uint64) time.Duration {
	e := l.entries[fingerprint]
	if e == nil || !e.held(now) {
		return 0
	}
	return e.until.Sub(now)
}

// Report returns what is known of one request.
func (l *List) Report(now structs.Instant, fingerprint uint64) Report {
	report := Report{Fingerprint: fingerprint, Remaining: l.Remaining(now, fingerprint)}
	e := l.entries[fingerprint]
	if e == nil {
		return report
	}
	for id, at := range e.targets {
		if now.Sub(at) <= l.opts.SuspectPeriod {
			report.Targets = append(report.Targets, id)
		}
	}
	sort.Slice(report.Targets, func(i, j int) bool { return report.Targets[i] < report.Targets[j] })
	return report
}

// Export returns what other schedulers have to know, by fingerprint.
func (l *List) Export(now structs.Instant) []Report {
	reports := make([]Report, 0, len(l.entries))
	for fingerprint := range l.entries {
		report := l.Report(now, fingerprint)
		if report.Remaining == 0 && len(report.Targets) == 0 {
			continue
		}
		reports = append(reports, report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Fingerprint < reports[j].Fingerprint })
	return reports
}

// Digest is the same for reports that differ only in the time that is left.
func Digest(reports []Report) uint64 {
	digest := xxhash.New()
	var number [8]byte
	for _, r := range reports {
		binary.BigEndian.PutUint64(number[:], r.Fingerprint)
		digest.Write(number[:])
		for _, id := range r.Targets {
			digest.WriteString(string(id))
			digest.Write([]byte{0})
		}
		if r.Remaining > 0 {
			digest.Write([]byte{1})
		}
	}
	return digest.Sum64()
}

// Import merges the reports of another scheduler. A crash that is known keeps
// its instant, so that reports passed around do not stay alive for ever.
func (l *List) Import(now structs.Instant, reports []Report) {
	for _, report := range reports {
		l.merge(now, report)
	}
}

func (l *List) merge(now structs.Instant, report Report) {
	e := l.entry(now, report.Fingerprint)
	for _, id := range report.Targets {
		if _, known := e.targets[id]; !known {
			e.targets[id] = now
		}
	}
	until := now.Add(min(report.Remaining, l.opts.Period))
	if report.Remaining > 0 && (e.until == 0 || until > e.until) {
		e.until = until
	}
	if len(e.targets) >= l.opts.Targets && e.until == 0 {
		e.until = now.Add(l.opts.Period)
	}
}

// Len returns the number of remembered fingerprints.
func (l *List) Len() int { return len(l.entries) }

// entry returns the fingerprint's entry, making room for a new one.
func (l *List) entry(now structs.Instant, fingerprint uint64) *entry {
	if e := l.entries[fingerprint]; e != nil {
		e.touched = now
		return e
	}
	if len(l.entries) >= l.opts.MaxEntries {
		l.evict(now)
	}
	e := &entry{targets: make(map[structs.TargetID]structs.Instant), touched: now}
	l.entries[fingerprint] = e
	return e
}

// evict drops what is no longer needed, or else the entry that was touched
// longest ago, suspects first.
func (l *List) evict(now structs.Instant) {
	var victim uint64
	var oldest *entry
	for fingerprint, e := range l.entries {
		if !e.held(now) && now.Sub(e.touched) > l.opts.SuspectPeriod {
			delete(l.entries, fingerprint)
			continue
		}
		if oldest == nil || evictBefore(now, e, oldest, fingerprint < victim) {
			victim, oldest = fingerprint, e
		}
	}
	if len(l.entries) >= l.opts.MaxEntries {
		delete(l.entries, victim)
	}
}

func evictBefore(now structs.Instant, a, b *entry, lower bool) bool {
	if heldA, heldB := a.held(now), b.held(now); heldA != heldB {
		return heldB
	}
	if a.touched != b.touched {
		return a.touched < b.touched
	}
	return lower
}

// RecordAnswer clears the suspicion from a request that a target answered: it does
// not crash the targets that run it. A quarantine stays.
func (l *List) RecordAnswer(now structs.Instant, fingerprint uint64) {
	if e := l.entries[fingerprint]; e != nil && !e.held(now) {
		delete(l.entries, fingerprint)
	}
}
