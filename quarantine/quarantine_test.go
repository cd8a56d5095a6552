package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/structs"
)

func TestTwoTargetsQuarantine(t *testing.T) {
	list := New(Options{Period: time.Minute})
	assert.Assert(t, !list.RecordCrash(1, 7, "a"))
	assert.Assert(t, !list.RecordCrash(2, 7, "a"), "the same target again")
	assert.Equal(t, list.Remaining(3, 7), time.Duration(0))
	assert.Assert(t, list.RecordCrash(4, 7, "b"))
	assert.Assert(t, !list.RecordCrash(5, 7, "b"), "known already")
	assert.Assert(t, list.Remaining(6, 7) > 0)
	assert.Equal(t, list.Remaining(6, 8), time.Duration(0))
	assert.Equal(t, list.Remaining(structs.Instant(2*time.Minute), 7), time.Duration(0))
}

func TestOldCrashIsForgotten(t *testing.T) {
	list := New(Options{SuspectPeriod: time.Second})
	list.RecordCrash(1, 7, "a")
	assert.Assert(t, !list.RecordCrash(structs.Instant(2*time.Second), 7, "b"))
}

func TestImportedCrashCounts(t *testing.T) {
	here, there := New(Options{}), New(Options{})
	here.RecordCrash(1, 7, "a")
	there.Import(100, here.Export(2))
	assert.Assert(t, there.RecordCrash(101, 7, "b"))
	here.Import(3, there.Export(102))
	assert.Assert(t, here.Remaining(4, 7) > 0)
}

func TestImportDoesNotProlong(t *testing.T) {
	here, there := New(Options{Period: time.Minute}), New(Options{Period: time.Minute})
	here.RecordCrash(0, 7, "a")
	here.RecordCrash(0, 7, "b")
	now := structs.Instant(0)
	for range 100 {
		there.Import(now, here.Export(now))
		here.Import(now, there.Export(now))
		now = now.Add(time.Second)
	}
	assert.Equal(t, here.Remaining(now, 7), time.Duration(0))
	assert.Equal(t, there.Remaining(now, 7), time.Duration(0))
}

func TestBoundedAndNeverWithoutTwoTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const bound = 8
		list := New(Options{MaxEntries: bound})
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
			list.RecordCrash(now, fingerprint, target)
			if list.Remaining(now, fingerprint) > 0 && len(crashed[fingerprint]) < 2 {
				rt.Fatalf("%d is quarantined after a crash of one target", fingerprint)
			}
			if list.Len() > bound {
				rt.Fatalf("%d entries", list.Len())
			}
		}
	})
}
