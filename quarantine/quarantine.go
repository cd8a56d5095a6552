// Package quarantine decides which requests must not be sent to targets because they may
// crash them: those that were running on Options.Targets different targets (by default
// two) when these crashed.
//
// The package is a deterministic state machine without clock, goroutine or I/O.
package quarantine

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// Options configures a List; zero values select the defaults.
type Options struct {
	// Targets is the number of different targets that must have crashed before a request
	// is quarantined.
	Targets int
	// SuspectPeriod is how long a crash counts; Period is how long a quarantine lasts.
	SuspectPeriod, Period time.Duration
	// MaxEntries limits the number of fingerprints in the list.
	MaxEntries int
}

// DefaultPeriod is the default of both SuspectPeriod and Period.
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

// Report is what is known of one request, in the form sent to other schedulers. Times are
// durations, since an Instant is valid in one process only.
type Report struct {
	Fingerprint uint64             `msgpack:"f"`
	Targets     []structs.TargetID `msgpack:"t"`
	// Remaining is the time until the quarantine ends, 0 for a request that is only
	// suspected.
	Remaining time.Duration `msgpack:"l"`
}

type entry struct {
	crashes          map[structs.TargetID]structs.Instant // instant of the last crash
	quarantinedUntil structs.Instant                      // 0 when not quarantined
	lastUsed         structs.Instant
}

// isQuarantined reports whether the request must not be sent to targets.
func (e *entry) isQuarantined(now structs.Instant) bool {
	return e.quarantinedUntil != 0 && now < e.quarantinedUntil
}

// List holds the fingerprints of the suspected and the quarantined requests. It is not
// safe for concurrent use.
type List struct {
	opts    Options
	entries map[uint64]*entry
}

// New returns an empty list.
func New(opts Options) *List {
	return &List{opts: opts.withDefaults(), entries: make(map[uint64]*entry)}
}

// RecordCrash records that a target's connection was lost while it ran a request, which
// counts as a crash. It reports whether this puts the request into quarantine.
func (l *List) RecordCrash(now structs.Instant, fingerprint uint64, target structs.TargetID) bool {
	e := l.entry(now, fingerprint)
	e.crashes[target] = now
	for id, at := range e.crashes {
		if now.Sub(at) > l.opts.SuspectPeriod {
			delete(e.crashes, id)
		}
	}
	if len(e.crashes) < l.opts.Targets {
		return false
	}
	isNew := !e.isQuarantined(now)
	e.quarantinedUntil = now.Add(l.opts.Period)
	return isNew
}

// Remaining returns the time until a request's quarantine ends, 0 if it is not
// quarantined.
func (l *List) Remaining(now structs.Instant, fingerprint uint64) time.Duration {
	e := l.entries[fingerprint]
	if e == nil || !e.isQuarantined(now) {
		return 0
	}
	return e.quarantinedUntil.Sub(now)
}

// Report returns what is known of one request.
func (l *List) Report(now structs.Instant, fingerprint uint64) Report {
	report := Report{Fingerprint: fingerprint, Remaining: l.Remaining(now, fingerprint)}
	e := l.entries[fingerprint]
	if e == nil {
		return report
	}
	for id, at := range e.crashes {
		if now.Sub(at) <= l.opts.SuspectPeriod {
			report.Targets = append(report.Targets, id)
		}
	}
	sort.Slice(report.Targets, func(i, j int) bool { return report.Targets[i] < report.Targets[j] })
	return report
}

// Export returns reports for other schedulers, sorted by fingerprint.
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

// Digest returns a hash of reports. It does not change while only the remaining times
// change.
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

// Import merges the reports of another scheduler. A crash that is already known keeps its
// instant, so that reports passed back and forth expire.
func (l *List) Import(now structs.Instant, reports []Report) {
	for _, report := range reports {
		l.merge(now, report)
	}
}

func (l *List) merge(now structs.Instant, report Report) {
	e := l.entry(now, report.Fingerprint)
	for _, id := range report.Targets {
		if _, isKnown := e.crashes[id]; !isKnown {
			e.crashes[id] = now
		}
	}
	until := now.Add(min(report.Remaining, l.opts.Period))
	if report.Remaining > 0 && (e.quarantinedUntil == 0 || until > e.quarantinedUntil) {
		e.quarantinedUntil = until
	}
	if len(e.crashes) >= l.opts.Targets && e.quarantinedUntil == 0 {
		e.quarantinedUntil = now.Add(l.opts.Period)
	}
}

// Len returns the number of fingerprints in the list.
func (l *List) Len() int { return len(l.entries) }

// entry returns the entry of a fingerprint. If it has to add one to a full list, it
// evicts another.
func (l *List) entry(now structs.Instant, fingerprint uint64) *entry {
	if e := l.entries[fingerprint]; e != nil {
		e.lastUsed = now
		return e
	}
	if len(l.entries) >= l.opts.MaxEntries {
		l.evict(now)
	}
	e := &entry{crashes: make(map[structs.TargetID]structs.Instant), lastUsed: now}
	l.entries[fingerprint] = e
	return e
}

// evict drops the entries that have expired. If there are none, it drops the least
// recently used entry, suspected ones before quarantined ones.
func (l *List) evict(now structs.Instant) {
	var evicted uint64
	var oldest *entry
	for fingerprint, e := range l.entries {
		if !e.isQuarantined(now) && now.Sub(e.lastUsed) > l.opts.SuspectPeriod {
			delete(l.entries, fingerprint)
			continue
		}
		if oldest == nil || shouldEvictBefore(now, e, oldest, fingerprint < evicted) {
			evicted, oldest = fingerprint, e
		}
	}
	if len(l.entries) >= l.opts.MaxEntries {
		delete(l.entries, evicted)
	}
}

func shouldEvictBefore(now structs.Instant, a, b *entry, isLower bool) bool {
	if isQuarantinedA, isQuarantinedB := a.isQuarantined(now), b.isQuarantined(now); isQuarantinedA != isQuarantinedB {
		return isQuarantinedB
	}
	if a.lastUsed != b.lastUsed {
		return a.lastUsed < b.lastUsed
	}
	return isLower
}

// RecordAnswer clears the suspicion from a request that a target answered, since it did
// not crash that target. A quarantine stays.
func (l *List) RecordAnswer(now structs.Instant, fingerprint uint64) {
	if e := l.entries[fingerprint]; e != nil && !e.isQuarantined(now) {
		delete(l.entries, fingerprint)
	}
}
