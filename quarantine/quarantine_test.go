package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/structs"
)

func TestCrashesOfTwoTargetsQuarantine(t *testing.T) {
	list := New(Options{Period: time.Minute})
	assert.Assert(t, !list.RecordCrash(1, 7, "a", 0))
	assert.Assert(t, !list.RecordCrash(2, 7, "a", 0), "another crash of the same target")
	assert.Equal(t, list.Remaining(3, 7), time.Duration(0))
	assert.Assert(t, list.RecordCrash(4, 7, "b", 0))
	assert.Assert(t, !list.RecordCrash(5, 7, "b", 0), "the request is already quarantined")
	assert.Assert(t, list.Remaining(6, 7) > 0)
	assert.Equal(t, list.Remaining(6, 8), time.Duration(0))
	assert.Equal(t, list.Remaining(structs.Instant(2*time.Minute), 7), time.Duration(0))
}

func TestOldCrashIsForgotten(t *testing.T) {
	list := New(Options{SuspectPeriod: time.Second})
	list.RecordCrash(1, 7, "a", 0)
	assert.Assert(t, !list.RecordCrash(structs.Instant(2*time.Second), 7, "b", 0))
}

func TestImportedCrashCounts(t *testing.T) {
	first, second := New(Options{}), New(Options{})
	first.RecordCrash(1, 7, "a", 0)
	second.Import(100, first.Export(2))
	assert.Assert(t, second.RecordCrash(101, 7, "b", 0))
	first.Import(3, second.Export(102))
	assert.Assert(t, first.Remaining(4, 7) > 0)
}

func TestImportDoesNotExtendQuarantine(t *testing.T) {
	first, second := New(Options{Period: time.Minute}), New(Options{Period: time.Minute})
	first.RecordCrash(0, 7, "a", 0)
	first.RecordCrash(0, 7, "b", 0)
	now := structs.Instant(0)
	for range 100 {
		second.Import(now, first.Export(now))
		first.Import(now, second.Export(now))
		now = now.Add(time.Second)
	}
	assert.Equal(t, first.Remaining(now, 7), time.Duration(0))
	assert.Equal(t, second.Remaining(now, 7), time.Duration(0))
}

func TestListIsBoundedAndQuarantineNeedsTwoTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const maxEntries = 8
		list := New(Options{MaxEntries: maxEntries})
		crashed := make(map[uint64]map[structs.TargetID]bool)
		now := structs.Instant(0)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "delay")) * time.Second)
			fingerprint := rapid.Uint64Range(1, 20).Draw(rt, "fingerprint")
			target := structs.TargetID(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "target")))
			if crashed[fingerprint] == nil {
				crashed[fingerprint] = make(map[structs.TargetID]bool)
			}
			crashed[fingerprint][target] = true
			list.RecordCrash(now, fingerprint, target, 0)
			if list.Remaining(now, fingerprint) > 0 && len(crashed[fingerprint]) < 2 {
				rt.Fatalf("request %d is quarantined after crashes of only one target", fingerprint)
			}
			if list.Len() > maxEntries {
				rt.Fatalf("the list has %d entries, more than MaxEntries", list.Len())
			}
		}
	})
}
