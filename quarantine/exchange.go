package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// Crash is the crash of a target that ran a request, in the form sent to other lists.
type Crash struct {
	Target structs.TargetID `msgpack:"t"`
	// Lifetime identifies the start of the target, 0 if it is not known.
	Lifetime int64 `msgpack:"s,omitempty"`
	// Count tells crashes apart that are recorded under the same start.
	Count int `msgpack:"n,omitempty"`
	// Age is the time since the crash; an Instant is valid in one process only.
	Age time.Duration `msgpack:"a"`
	// IsCleared reports that a target has answered the request since.
	IsCleared bool `msgpack:"c,omitempty"`
}

// Report is what is known of one request, in the form sent to other lists.
type Report struct {
	Fingerprint uint64 `msgpack:"f"`
	// Targets are the targets whose crash counts against the request, Remaining is the time
	// until its quarantine ends, 0 for none. Lists of builds without Crashes read these.
	Targets   []structs.TargetID `msgpack:"t"`
	Remaining time.Duration      `msgpack:"l"`
	Crashes   []Crash            `msgpack:"k,omitempty"`
}

// Report returns what is known of one request.
func (l *List) Report(now structs.Instant, fingerprint uint64) Report {
	report := Report{Fingerprint: fingerprint, Remaining: l.Remaining(now, fingerprint)}
	e := l.entries[fingerprint]
	if e == nil {
		return report
	}
	for id, c := range e.crashes {
		age := now.Sub(c.at)
		if age > l.opts.Period {
			continue
		}
		report.Crashes = append(report.Crashes, Crash{Target: id.target, Lifetime: id.lifetime, Count: c.count, Age: age, IsCleared: c.isCleared})
		if !c.isCleared && (age <= l.opts.SuspectPeriod || report.Remaining > 0) {
			report.Targets = append(report.Targets, id.target)
		}
	}
	slices.Sort(report.Targets)
	report.Targets = slices.Compact(report.Targets)
	sort.Slice(report.Crashes, func(i, j int) bool {
		a, b := report.Crashes[i], report.Crashes[j]
		return a.Target < b.Target || a.Target == b.Target && a.Lifetime < b.Lifetime
	})
	return report
}

// Export returns reports for other lists, sorted by fingerprint: of the requests that are
// suspected or in quarantine, and of those of which there is news. If they are more than
// MaxReports, the newest and those in quarantine are returned.
func (l *List) Export(now structs.Instant) []Report {
	reports := make([]Report, 0, min(len(l.entries), l.opts.MaxReports))
	for fingerprint, e := range l.entries {
		report := l.Report(now, fingerprint)
		if report.Remaining == 0 && len(report.Targets) == 0 && now >= e.announceUntil || len(report.Crashes) == 0 {
			continue
		}
		reports = append(reports, report)
	}
	if len(reports) > l.opts.MaxReports {
		sort.Slice(reports, func(i, j int) bool { return reports[i].isMoreUrgentThan(&reports[j]) })
		reports = reports[:l.opts.MaxReports]
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Fingerprint < reports[j].Fingerprint })
	return reports
}

// isMoreUrgentThan orders reports of quarantines first, then by the age of the last crash.
func (r *Report) isMoreUrgentThan(other *Report) bool {
	if (r.Remaining > 0) != (other.Remaining > 0) {
		return r.Remaining > 0
	}
	if age, otherAge := r.youngest(), other.youngest(); age != otherAge {
		return age < otherAge
	}
	return r.Fingerprint < other.Fingerprint
}

func (r *Report) youngest() time.Duration {
	youngest := time.Duration(math.MaxInt64)
	for _, c := range r.Crashes {
		youngest = min(youngest, c.Age)
	}
	return youngest
}

// AddAge returns reports as they are after a time in which they were stored.
func AddAge(reports []Report, age time.Duration) []Report {
	age = max(age, 0)
	older := make([]Report, 0, len(reports))
	for _, r := range reports {
		r.Remaining = max(r.Remaining-age, 0)
		r.Crashes = slices.Clone(r.Crashes)
		for i := range r.Crashes {
			r.Crashes[i].Age += age
		}
		older = append(older, r)
	}
	return older
}

// Digest returns a hash of reports. It does not change while only the times change.
func Digest(reports []Report) uint64 {
	digest := xxhash.New()
	var number [8]byte
	writeNumber := func(n uint64) {
		binary.BigEndian.PutUint64(number[:], n)
		digest.Write(number[:])
	}
	for _, r := range reports {
		writeNumber(r.Fingerprint)
		for _, c := range r.Crashes {
			digest.WriteString(string(c.Target))
			writeNumber(uint64(c.Lifetime))
			writeNumber(uint64(c.Count))
			if c.IsCleared {
				digest.Write([]byte{1})
			}
		}
		digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Import merges the reports of another list.
func (l *List) Import(now structs.Instant, reports []Report) {
	for _, report := range reports {
		l.merge(now, report)
	}
}

func (l *List) merge(now structs.Instant, report Report) {
	crashes := slices.DeleteFunc(slices.Clone(report.Crashes), func(c Crash) bool { return c.Age > l.opts.Period })
	if len(report.Crashes) == 0 {
		crashes = l.unagedCrashes(report)
	}
	if len(crashes) == 0 {
		return
	}
	e := l.entry(now, report.Fingerprint)
	wasAnswered := l.wasAnswered(now, report.Fingerprint)
	for _, c := range crashes {
		if e.merge(now, c, wasAnswered) {
			l.announce(now, e)
		}
	}
}

// merge merges one crash of another list. It reports whether other lists may lack what this
// one knows now.
func (e *entry) merge(now structs.Instant, c Crash, wasAnswered bool) bool {
	id := crashID{target: c.Target, lifetime: c.Lifetime}
	known, isKnown := e.crashes[id]
	merged := crash{at: now.Add(-max(c.Age, 0)), count: c.Count, isCleared: c.IsCleared || wasAnswered}
	switch {
	case isKnown && known.count > c.Count:
		return true
	case isKnown && known.count == c.Count:
		merged.at = min(merged.at, known.at)
		merged.isCleared = merged.isCleared || known.isCleared
	}
	e.crashes[id] = merged
	return !isKnown || known.count != merged.count || merged.isCleared != (known.isCleared && c.IsCleared)
}

// unagedCrashes returns the crashes in a report of a build that states neither their ages nor
// which are cleared. Those of known targets are left out: they may be any age.
func (l *List) unagedCrashes(report Report) []Crash {
	var crashes []Crash
	for _, target := range report.Targets {
		if !l.knowsCrashOf(report.Fingerprint, target) {
			crashes = append(crashes, Crash{Target: target, Count: 1})
		}
	}
	return crashes
}

func (l *List) knowsCrashOf(fingerprint uint64, target structs.TargetID) bool {
	e := l.entries[fingerprint]
	if e == nil {
		return false
	}
	for id := range e.crashes {
		if id.target == target {
			return true
		}
	}
	return false
}
