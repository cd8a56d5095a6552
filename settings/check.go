package settings

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/internal/strictjson"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Bounds of single values.
const (
	maxSlots      = math.MaxUint16 + 1 // structs.Slot has 16 bits
	maxClockDrift = 0.5
	// frameOverhead is kept free in a frame beside a request's body.
	frameOverhead = 64 << 10
	maxBody       = wire.DefaultMaxFrame - frameOverhead
	minHeader     = 1 << 10
	// confirmationDelay bounds how old the confirmation of a healthy daemon
	// gets beyond the interval of polls: two hops of questions, each held for
	// up to a second, with room for slow answers.
	confirmationDelay = 10 * time.Second
)

var keys = strictjson.Keys

func checkCommon(d *Daemon, r *strictjson.Report) {
	checkIdentity(d, r)
	checkListen(d, r)
	checkSchedulers(d, r)
	checkPlatform(d, r)
	checkTLS(d, r)
	checkLog(d, r)
	checkLimits(d, r)
	checkLease(d, r)
	checkFollowing(d, r)
}

func checkGateway(d *Daemon, r *strictjson.Report) {
	if d.Listen.Callers == "" {
		r.Add(keys("listen", "callers"), "is missing; a gatewayd needs %s", strictjson.AddressFormat)
	}
	if d.Listen.Wire != "" {
		r.Add(keys("listen", "wire"), "is of use to a schedulerd only; a gatewayd must leave it out")
	}
	if d.Listen.Advertise != "" {
		r.Add(keys("listen", "advertise"), "is of use to a schedulerd only; a gatewayd must leave it out")
	}
}

func checkScheduler(d *Daemon, r *strictjson.Report) {
	if d.Listen.Wire == "" {
		r.Add(keys("listen", "wire"), "is missing; a schedulerd needs %s", strictjson.AddressFormat)
	}
	if d.Listen.Callers != "" {
		r.Add(keys("listen", "callers"), "is of use to a gatewayd only; a schedulerd must leave it out")
	}
	if d.CallersTLS != (CallersTLS{}) {
		r.Add(keys("callers_tls"), "is of use to a gatewayd only; a schedulerd must leave it out")
	}
}

func checkIdentity(d *Daemon, r *strictjson.Report) {
	r.CheckName(keys("vm"), string(d.VM))
	r.CheckName(keys("domain"), string(d.Domain))
	r.CheckName(keys("region"), d.Region)
}

func checkListen(d *Daemon, r *strictjson.Report) {
	fields := []struct{ name, address string }{
		{"admin", d.Listen.Admin}, {"callers", d.Listen.Callers}, {"wire", d.Listen.Wire},
	}
	used := make(map[string]string)
	for _, f := range fields {
		path := keys("listen", f.name)
		if f.address == "" {
			continue
		}
		r.CheckAddress(path, f.address, strictjson.PortMayBeZero)
		if other, twice := used[f.address]; twice && !strings.HasSuffix(f.address, ":0") {
			r.Add(path, "is the same address as listen.%s; each needs one of its own", other)
		}
		used[f.address] = f.name
	}
	if d.Listen.Advertise != "" {
		r.CheckAddress(keys("listen", "advertise"), d.Listen.Advertise, strictjson.PortNonZero)
	}
	if d.Listen.Admin == "" {
		r.Add(keys("listen", "admin"), "is missing; must be %s", strictjson.AddressFormat)
	}
}

func checkSchedulers(d *Daemon, r *strictjson.Report) {
	path := keys("schedulers")
	if len(d.Schedulers) == 0 {
		r.Add(path, "is missing; must give the wire addresses of each failure domain")
		return
	}
	if _, own := d.Schedulers[d.Domain]; !own && d.Domain != "" {
		r.Add(path, "has no entry for the own failure domain %q", d.Domain)
	}
	domains := make([]string, 0, len(d.Schedulers))
	for domain := range d.Schedulers {
		domains = append(domains, string(domain))
	}
	sort.Strings(domains)
	used := make(map[string]strictjson.Path)
	for _, domain := range domains {
		entry := path.Key(domain)
		r.CheckName(entry, domain)
		addresses := d.Schedulers[structs.DomainID(domain)]
		if len(addresses) == 0 {
			r.Add(entry, "is empty; must hold at least one address")
		}
		for i, address := range addresses {
			at := entry.Index(i)
			r.CheckAddress(at, address, strictjson.PortNonZero)
			if other, twice := used[address]; twice {
				r.Add(at, "repeats %s; each address is allowed once", other)
			}
			used[address] = at
		}
	}
}

func checkPlatform(d *Daemon, r *strictjson.Report) {
	if d.Platform.Driver == "" {
		r.Add(keys("platform", "driver"), `is empty; must name a registered platform driver, such as "http"`)
	}
	r.CheckURL(keys("platform", "url"), d.Platform.URL)
	checkPositive(r, keys("platform", "timeout"), d.Platform.Timeout)
}

func checkTLS(d *Daemon, r *strictjson.Report) {
	var half *wire.IncompleteTLSError
	if errors.As(d.WireTLS.Check(), &half) {
		r.Add(keys("wire_tls", half.Missing), "is missing; cert, key and ca are given together or not at all")
	}
	missing := ""
	switch {
	case d.CallersTLS.Cert != "" && d.CallersTLS.Key == "":
		missing = "key"
	case d.CallersTLS.Cert == "" && d.CallersTLS.Key != "":
		missing = "cert"
	default:
		return
	}
	r.Add(keys("callers_tls", missing), "is missing; cert and key are given together or not at all")
}

func checkLog(d *Daemon, r *strictjson.Report) {
	r.CheckOneOf(keys("log", "level"), d.Log.Level, "debug", "info", "warn", "error")
	r.CheckOneOf(keys("log", "format"), d.Log.Format, "json", "text")
}

func checkLimits(d *Daemon, r *strictjson.Report) {
	l := d.Limits
	ranges := []struct {
		name       string
		value      int64
		least, top int64
	}{
		{"max_body_bytes", l.MaxBody, 1, maxBody},
		{"max_header_bytes", int64(l.MaxHeader), minHeader, maxBody},
		{"max_queued_calls", int64(l.MaxQueued), 1, math.MaxInt32},
		{"max_programs", int64(l.MaxPrograms), 1, math.MaxInt32},
		{"max_tail_bytes", l.MaxTail, 1, math.MaxInt64},
		{"reorder_window", int64(l.ReorderWindow), 1, math.MaxInt32},
	}
	for _, f := range ranges {
		if f.value < f.least || f.value > f.top {
			r.Add(keys("limits", f.name), "must be a whole number from %d to %d, not %d", f.least, f.top, f.value)
		}
	}
	if l.MaxTail >= 1 && l.MaxTail < l.MaxBody {
		r.Add(keys("limits", "max_tail_bytes"), "must be at least max_body_bytes (%d), not %d", l.MaxBody, l.MaxTail)
	}
	checkPositive(r, keys("limits", "header_timeout"), l.HeaderTimeout)
	checkPositive(r, keys("limits", "call_timeout"), l.CallTimeout)
	checkPositive(r, keys("limits", "drain_timeout"), l.DrainTimeout)
}

func checkLease(d *Daemon, r *strictjson.Report) {
	l := d.Lease
	if l.Slots < 1 || l.Slots > maxSlots {
		r.Add(keys("lease", "slots"), "must be a whole number from 1 to %d, not %d", maxSlots, l.Slots)
	}
	checkPositive(r, keys("lease", "duration"), l.Duration)
	checkPositive(r, keys("lease", "renew"), l.Renew)
	if l.Renew > 0 && l.Renew >= l.Duration {
		r.Add(keys("lease", "renew"), "must be shorter than lease.duration (%s), not %s", l.Duration.Std(), l.Renew.Std())
	}
	if !(l.ClockDrift >= 0 && l.ClockDrift < maxClockDrift) {
		r.Add(keys("lease", "clock_drift"), "must be a fraction from 0 to below %g, not %g", maxClockDrift, l.ClockDrift)
	}
}

func checkFollowing(d *Daemon, r *strictjson.Report) {
	if d.Policy.Queue == "" {
		r.Add(keys("policy", "queue"), `is empty; must name a registered queue policy, such as "fifo"`)
	}
	if d.Policy.Route == "" {
		r.Add(keys("policy", "route"), `is empty; must name a registered route policy, such as "leastloaded"`)
	}
	checkPositive(r, keys("config", "poll"), d.Config.Poll)
	least := d.Config.Poll.Std() + confirmationDelay
	if stale := d.Config.MaxStale.Std(); stale != 0 && stale < least {
		r.Add(keys("config", "max_stale"), "must be 0 (no limit) or at least %s (config.poll and %s), not %s", least, confirmationDelay, stale)
	}
	if hash := d.OperatorTokenHash; hash != "" && !strictjson.IsHex(hash, sha256Bytes) {
		r.Add(keys("operator_token_hash"), "must be empty or the SHA-256 of the token as %d hexadecimal digits", 2*sha256Bytes)
	}
}

const sha256Bytes = 32

func checkPositive(r *strictjson.Report, path strictjson.Path, value Duration) {
	if value <= 0 {
		r.Add(path, "must be longer than 0, not %s", fmt.Sprint(value.Std()))
	}
}
