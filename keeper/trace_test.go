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

// stageSpan is the time span in which the groups of a killed owner passed one stage of
// succession.
type stageSpan struct {
	stage       string
	first, last time.Duration
	groups      int
}

// trace records when each group first passes each stage, as a time since start.
type trace struct {
	d        *domain
	start    time.Time
	stages   []stageSpan
	recorded map[string]bool
	owners   map[string]int // groups taken by each VM
}

func (tr *trace) recordStage(stage string, group lease.Group) {
	key := fmt.Sprint(stage, group)
	if tr.recorded[key] {
		return
	}
	tr.recorded[key] = true
	at := time.Since(tr.start)
	i := slices.IndexFunc(tr.stages, func(s stageSpan) bool { return s.stage == stage })
	if i < 0 {
		tr.stages = append(tr.stages, stageSpan{stage: stage, first: at})
		i = len(tr.stages) - 1
	}
	tr.stages[i].last = at
	tr.stages[i].groups++
}

// observe is the domain's observe function; the domain's lock is held.
func (tr *trace) observe(vm string, in, out any) {
	switch in := in.(type) {
	case backing.Txn:
		for _, w := range in.Writes {
			tr.recordRow(vm, w.Value)
		}
	case *Exchange:
		tr.recordMessages(in.Messages)
		tr.recordMessages(out.(*Exchange).Messages)
	case *ReadRequest:
		if out.(*ReadReply).OK {
			tr.recordStage("tail read by a peer", in.Group)
		}
	}
}

func (tr *trace) recordRow(vm string, value []byte) {
	row, err := lease.DecodeRow(value)
	if err != nil || row.Epoch == 0 {
		return
	}
	if row.Revocation != nil {
		tr.recordStage("row under revocation", row.Group)
	} else if row.Owner.VM == "vm-00" || row.PendingWitnesses != nil {
		return
	} else if !tr.recorded[fmt.Sprint("taken", row.Group)] && tr.recorded[fmt.Sprint("row under revocation", row.Group)] {
		tr.recordStage("taken", row.Group)
		tr.owners[vm]++
	}
}

func (tr *trace) recordMessages(messages []Message) {
	for _, m := range messages {
		switch m.Kind {
		case lease.PromiseRequest:
			tr.recordStage("promise requested", m.Group)
		case lease.PromiseGranted:
			tr.recordStage("promise given", m.Group)
		case lease.PromiseDeclined:
			tr.recordStage("promise declined", m.Group)
		}
	}
}

// Logs the times of the stages of succession after a scheduler is killed. It fails only
// if no scheduler takes a group.
func TestTraceSuccessionStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t)
		d.slots = 256
		for i := range 3 {
			d.startScheduler(fmt.Sprintf("vm-%02d", i), 1)
		}
		defer d.stopAll()
		d.waitOwned(time.Minute)
		time.Sleep(3 * time.Minute)
		d.kill("vm-00")
		tr := &trace{d: d, start: time.Now(), recorded: make(map[string]bool), owners: make(map[string]int)}
		d.update(func() { d.observe = tr.observe })
		d.waitOwned(time.Minute)
		owned := time.Since(tr.start)
		d.update(func() { d.observe = nil })
		for _, s := range tr.stages {
			t.Logf("%-20s %2d groups, first after %v, last after %v", s.stage, s.groups,
				s.first.Round(time.Millisecond), s.last.Round(time.Millisecond))
		}
		t.Logf("all owned after %v, groups taken: %v", owned.Round(100*time.Millisecond), tr.owners)
		assert.Assert(t, len(tr.owners) > 0)
	})
}
