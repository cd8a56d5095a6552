package soak

import (
	"sort"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	steadyRate  = 20.0
	steadyBurst = 10
	greedyRate  = 10.0
	greedyBurst = 10
)

// checkResponse checks that a response is complete and belongs to the call, and
// that the call ran, exactly once if it is not repeatable.
func (f *fleet) checkResponse(name string, call *structs.Call, data string) {
	f.mu.Lock()
	ran := f.runs[name]
	f.mu.Unlock()
	if data != responseTo(name) {
		f.fail("%s received the response %q", name, data)
	}
	if ran == 0 || call.Plain != nil && ran != 1 {
		f.fail("%s received a response and ran %d times", name, ran)
	}
}

// checkNotRun checks that a call did not run if every attempt at it was refused
// as not run.
func (f *fleet) checkNotRun(name string, isNotRun bool) {
	f.mu.Lock()
	ran := f.runs[name]
	f.mu.Unlock()
	if isNotRun && ran > 0 {
		f.fail("%s ran but was refused as not run", name)
	}
}

// checkFailureExpected checks that a refused call began during a fault or shortly
// after one. A planned stop is not a fault: it must not fail calls. A spent rate
// or budget needs no fault.
func (f *fleet) checkFailureExpected(name string, began time.Time, refusal *structs.Refusal) {
	if refusal.Kind == structs.RefusedOverRate || refusal.Kind == structs.RefusedOverBudget {
		return
	}
	if f.isFaultFreeSince(began) {
		f.fail("%s failed without a fault: %v", name, refusal)
	}
}

// reportLost fails the run because a created program was not found. It makes no
// allowance for a program that ended, with its history removed, because nobody
// used it for its idle limit.
func (f *fleet) reportLost(id structs.ProgramID, refusal *structs.Refusal) {
	f.fail("program %s was created and is not found: %v", id, refusal)
}

func (f *fleet) checkBudget(info structs.ProgramInfo) {
	if info.Spent+info.Reserved > info.Budget || info.Spent < 0 || info.Reserved < 0 {
		f.fail("program %s has spent %d and reserved %d tokens of a budget of %d", info.ID, info.Spent, info.Reserved, info.Budget)
	}
}

// checkHistory checks that the history holds all acknowledged turns and nothing
// of another program, and that its hash chain is intact.
func (f *fleet) checkHistory(ref structs.ProgramRef, history structs.History, acked map[uint64]bool) {
	prev := uint64(0)
	for i, turn := range history.Turns {
		name := string(ref.ID) + "#"
		if turn.Number != uint64(i+1) || turn.PrevHash != prev || turn.Program != ref.ID || turn.Hash != program.TurnHash(turn) {
			f.fail("turn %d of %s: wrong number, program or hash in the chain: number %d of program %s", i+1, ref.ID, turn.Number, turn.Program)
		}
		prev = turn.Hash
		for _, m := range turn.Messages {
			if !strings.Contains(m.Content, name) {
				f.fail("turn %d of %s holds %q", i+1, ref.ID, m.Content)
			}
		}
		if turn.Plain != nil && !strings.HasPrefix(turn.Plain.Path, name) {
			f.fail("turn %d of %s holds %q", i+1, ref.ID, turn.Plain.Path)
		}
		if acked[turn.Number] && turn.Outcome != structs.RunYes {
			f.fail("turn %d of %s was acknowledged but has the outcome %q", i+1, ref.ID, turn.Outcome)
		}
	}
	for number := range acked {
		if number > uint64(len(history.Turns)) {
			f.fail("turn %d of %s was acknowledged but is missing: the history has %d turns", number, ref.ID, len(history.Turns))
		}
	}
}

// checkOwners checks that no slot has two owners at this instant and that no
// process goes back to an older configuration version.
func (f *fleet) checkOwners() {
	type domainSlot struct {
		domain structs.DomainID
		slot   structs.Slot
	}
	owners := make(map[domainSlot]*node)
	for _, n := range f.liveSchedulers() {
		for slot := range structs.Slot(testSlots) {
			if _, held := n.keeper.HeldEpoch(slot); !held {
				continue
			}
			key := domainSlot{n.domain, slot}
			if other := owners[key]; other != nil {
				f.fail("slot %d of %s is owned by %s and %s", slot, n.domain, other.incarnation, n.incarnation)
			}
			owners[key] = n
		}
	}
	for _, n := range append(f.liveSchedulers(), f.gateways...) {
		version := quotaSnapshot{n.config}.Version()
		if version < n.maxVersion {
			f.fail("%s went back from configuration version %d to %d", n.incarnation, n.maxVersion, version)
		}
		n.maxVersion = version
	}
}

// checkInvariants fails the run if a process has counted violations of its
// configuration invariants.
func (f *fleet) checkInvariants(n *node) {
	if count, first := n.config.Violations(); count > 0 {
		f.fail("%s: %v", n.incarnation, first)
	}
}

// checkRate checks that no window of the run has more admitted calls of the
// account than its rate and burst allow: a token bucket that starts full and is
// refilled at the rate must never fall below zero.
func (f *fleet) checkRate(id structs.AccountID, rate, burst float64) {
	times := f.admitted[id]
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	level := burst
	for i, at := range times {
		if i > 0 {
			level = min(burst, level+rate*at.Sub(times[i-1]).Seconds())
		}
		if level -= 1; level < -1e-6 {
			f.fail("account %s: call %d of %d exceeds the rate and burst of the account", id, i+1, len(times))
			return
		}
	}
}

// inForceTimeout is the time within which a stored configuration must be in force
// in every process once all faults are over.
const inForceTimeout = 5 * time.Second

// checkConfig publishes a version without the keys of an account and checks that
// it is in force in every process in time.
func (f *fleet) checkConfig() {
	f.version = f.storedVersion()
	account := f.document.Accounts["other"]
	account.Keys = nil
	f.document.Accounts["other"] = account
	f.publish()
	time.Sleep(inForceTimeout)
	for _, n := range append(f.liveSchedulers(), f.gateways...) {
		if version := (quotaSnapshot{n.config}).Version(); version != f.version {
			f.fail("%s (%s) has configuration version %d in force, %s after version %d was stored", n.incarnation, n.domain, version, inForceTimeout, f.version)
			continue
		}
		if n.config.Current().IsKeyValid("other", "k") {
			f.fail("%s accepts a key %s after it was revoked", n.incarnation, inForceTimeout)
		}
	}
}

// checkServed checks that calls ran and programs ended at all: without them the
// other checks would pass with nothing to check.
func (f *fleet) checkServed() {
	if f.stats["calls run"] == 0 || f.stats["programs ended"] == 0 {
		f.fail("%d calls ran, %d programs ended", f.stats["calls run"], f.stats["programs ended"])
	}
}

// checkMemory checks that no target holds engine memory once all programs have
// ended.
func (f *fleet) checkMemory() {
	for id, e := range f.targets {
		if held := e.heldCount(); held > 0 {
			e.mu.Lock()
			for p := range e.heldPrograms {
				f.fail("target %s holds engine memory of %d programs, among them %s", id, held, p)
			}
			e.mu.Unlock()
		}
	}
}
