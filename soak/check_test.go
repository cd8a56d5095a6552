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

// checkAnswer checks that an answer is whole and the call's own, and that the
// call ran, once if it may not be repeated.
func (f *fleet) checkAnswer(name string, call *structs.Call, data string) {
	f.mu.Lock()
	ran := f.runs[name]
	f.mu.Unlock()
	if data != answerTo(name) {
		f.fail("%s was answered with %q", name, data)
	}
	if ran == 0 || call.Plain != nil && ran != 1 {
		f.fail("%s was answered and ran %d times", name, ran)
	}
}

// checkNotRun checks that a call of which every attempt was said not to have
// run has not run.
func (f *fleet) checkNotRun(name string, not bool) {
	f.mu.Lock()
	ran := f.runs[name]
	f.mu.Unlock()
	if not && ran > 0 {
		f.fail("%s ran and was refused as not run", name)
	}
}

// checkCalm checks that a call fails from a fault only: a planned stop is none.
func (f *fleet) checkCalm(name string, began time.Time, refusal *structs.Refusal) {
	if refusal.Kind == structs.RefusedOverRate || refusal.Kind == structs.RefusedOverBudget {
		return
	}
	if f.calmSince(began) {
		f.fail("%s failed without a fault: %v", name, refusal)
	}
}

// checkFound checks that a program is not lost. One that nobody used for its
// idle limit may have ended, and its history may be gone.
func (f *fleet) checkFound(id structs.ProgramID, refusal *structs.Refusal) {
	f.fail("program %s was created and is lost: %v", id, refusal)
}

func (f *fleet) checkBudget(info structs.ProgramInfo) {
	if info.Spent+info.Reserved > info.Budget || info.Spent < 0 || info.Reserved < 0 {
		f.fail("program %s has spent %d and reserved %d of %d", info.ID, info.Spent, info.Reserved, info.Budget)
	}
}

// checkHistory checks that all acknowledged turns are in the history, that
// nothing of another program is, and that the chain is right.
func (f *fleet) checkHistory(ref structs.ProgramRef, history structs.History, acked map[uint64]bool) {
	prev := uint64(0)
	for i, turn := range history.Turns {
		name := string(ref.ID) + "#"
		if turn.Number != uint64(i+1) || turn.PrevHash != prev || turn.Program != ref.ID || turn.Hash != program.TurnHash(turn) {
			f.fail("turn %d of %s: number %d of %s, the chain is wrong", i+1, ref.ID, turn.Number, turn.Program)
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
			f.fail("turn %d of %s was acknowledged and is %q", i+1, ref.ID, turn.Outcome)
		}
	}
	for number := range acked {
		if number > uint64(len(history.Turns)) {
			f.fail("turn %d of %s was acknowledged and is lost: %d turns", number, ref.ID, len(history.Turns))
		}
	}
}

// checkOwners checks that no slot has two owners at this instant and that the
// configuration in force in a process does not revert.
func (f *fleet) checkOwners() {
	type place struct {
		domain structs.DomainID
		slot   structs.Slot
	}
	owners := make(map[place]*node)
	for _, n := range f.live() {
		for slot := range structs.Slot(testSlots) {
			if _, held := n.keeper.HeldEpoch(slot); !held {
				continue
			}
			at := place{n.domain, slot}
			if other := owners[at]; other != nil {
				f.fail("slot %d of %s is owned by %s and %s", slot, n.domain, other.inc, n.inc)
			}
			owners[at] = n
		}
	}
	for _, n := range append(f.live(), f.gateways...) {
		version := limits{n.config}.Version()
		if version < n.highest {
			f.fail("%s went from configuration %d back to %d", n.inc, n.highest, version)
		}
		n.highest = version
	}
}

// checkInvariants checks a process's own count of violated invariants.
func (f *fleet) checkInvariants(n *node) {
	if count, first := n.config.Violations(); count > 0 {
		f.fail("%s: %v", n.inc, first)
	}
}

// checkRate checks that no window of the run has more admitted calls of the
// account than its rate and burst allow: a full bucket that is filled at the
// rate never runs empty.
func (f *fleet) checkRate(id structs.AccountID, rate, burst float64) {
	times := f.admitted[id]
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	level := burst
	for i, at := range times {
		if i > 0 {
			level = min(burst, level+rate*at.Sub(times[i-1]).Seconds())
		}
		if level -= 1; level < -1e-6 {
			f.fail("account %s: call %d of %d is above its rate and burst", id, i+1, len(times))
			return
		}
	}
}

// forceBound is the time in which a configuration is in force everywhere once
// all faults are over.
const forceBound = 5 * time.Second

// checkConfig publishes a version and checks that it is in force in time.
func (f *fleet) checkConfig() {
	f.version = f.storedVersion()
	account := f.document.Accounts["other"]
	account.Keys = nil
	f.document.Accounts["other"] = account
	f.publish()
	time.Sleep(forceBound)
	for _, n := range append(f.live(), f.gateways...) {
		if version := (limits{n.config}).Version(); version != f.version {
			f.fail("%s (%s) has configuration %d in force %s after %d was stored", n.inc, n.domain, version, forceBound, f.version)
			continue
		}
		if n.config.Current().IsKeyValid("other", "k") {
			f.fail("%s takes a key %s after it was withdrawn", n.inc, forceBound)
		}
	}
}

// checkServed checks that the run has checked anything.
func (f *fleet) checkServed() {
	if f.stats["calls run"] == 0 || f.stats["programs ended"] == 0 {
		f.fail("%d calls ran, %d programs ended", f.stats["calls run"], f.stats["programs ended"])
	}
}

// checkMemory checks that no target holds memory once all programs have ended.
func (f *fleet) checkMemory() {
	for id, e := range f.targets {
		if held := e.holds(); held > 0 {
			e.mu.Lock()
			for p := range e.held {
				f.fail("target %s holds memory of %d programs, %s among them", id, held, p)
			}
			e.mu.Unlock()
		}
	}
}
