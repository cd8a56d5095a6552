package keeper

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/lease"
)

// span is when the groups of a killed owner passed one stage of succession.
type span struct {
	stage       string
	first, last time.Duration
	groups      int
}

// trace notes when each group first passes each stage after an instant.
type trace struct {
	d      *domain
	from   time.Time
	stages []span
	passed map[string]bool
	owners map[string]int // groups taken by each VM
}

func (tr *trace) pass(stage string, group lease.Group) {
	key := fmt.Sprint(stage, group)
	if tr.passed[key] {
		return
	}
	tr.passed[key] = true
	at := time.Since(tr.from)
	i := slices.IndexFunc(tr.stages, func(s span) bool { return s.stage == stage })
	if i < 0 {
		tr.stages = append(tr.stages, span{stage: stage, first: at})
		i = len(tr.stages) - 1
	}
	tr.stages[i].last = at
	tr.stages[i].groups++
}

// watch sees what the VMs send and commit; the domain's lock is held.
func (tr *trace) watch(vm string, in, out any) {
	switch in := in.(type) {
	case backing.Txn:
		for _, w := range in.Writes {
			tr.row(vm, w.Value)
		}
	case *Exchange:
		tr.messages(in.Messages)
		tr.messages(out.(*Exchange).Messages)
	case *ReadRequest:
		if out.(*ReadReply).OK {
			tr.pass("tail read by a peer", in.Group)
		}
	}
}

func (tr *trace) row(vm string, value []byte) {
	row, err := lease.DecodeRow(value)
	if err != nil || row.Epoch == 0 {
		return
	}
	if row.Revocation != nil {
		tr.pass("row marked", row.Group)
	} else if row.Owner.VM == "vm-00" || row.PendingWitnesses != nil {
		return
	} else if !tr.passed[fmt.Sprint("taken", row.Group)] && tr.passed[fmt.Sprint("row marked", row.Group)] {
		tr.pass("taken", row.Group)
		tr.owners[vm]++
	}
}

func (tr *trace) messages(messages []Message) {
	for _, m := range messages {
		switch m.Kind {
		case lease.PromiseRequest:
			tr.pass("promise asked", m.Group)
		case lease.PromiseGranted:
			tr.pass("promise given", m.Group)
		case lease.PromiseDeclined:
			tr.pass("promise declined", m.Group)
		}
	}
}

// Logs the stages of the succession after a kill.
func TestTraceOfASuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t)
		d.slots = 256
		for i := range 3 {
			d.start(fmt.Sprintf("vm-%02d", i), 1)
		}
		defer d.stopAll()
		d.waitOwned(time.Minute)
		time.Sleep(3 * time.Minute)
		d.kill("vm-00")
		tr := &trace{d: d, from: time.Now(), passed: make(map[string]bool), owners: make(map[string]int)}
		d.set(func() { d.watch = tr.watch })
		d.waitOwned(time.Minute)
		owned := time.Since(tr.from)
		d.set(func() { d.watch = nil })
		for _, s := range tr.stages {
			t.Logf("%-20s %2d groups, first after %v, last after %v", s.stage, s.groups,
				s.first.Round(time.Millisecond), s.last.Round(time.Millisecond))
		}
		t.Logf("all owned after %v, groups taken: %v", owned.Round(100*time.Millisecond), tr.owners)
		assert.Assert(t, len(tr.owners) > 0)
	})
}
