package targetpath

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

const testStart = structs.Instant(time.Hour)

// check runs one check with the given result.
func check(h *Health, now structs.Instant, isConnected bool) Transition {
	h.BeginCheck(now)
	return h.EndCheck(now, isConnected, maxTriedTargets)
}

func TestFailureCountsAgainstTargetIfOthersAreReached(t *testing.T) {
	var h Health
	now := testStart
	h.Failed(now)
	assert.Equal(t, h.Judge(now), Undecided)
	assert.Assert(t, h.IsSuspect())
	assert.Assert(t, h.IsCheckDue(now))
	assert.Equal(t, check(&h, now.Add(time.Millisecond), true), NoChange)
	assert.Equal(t, h.Judge(now), TargetFailed)
	assert.Assert(t, !h.IsLost())
	assert.Assert(t, !h.IsSuspect())
}

func TestFailureCountsAgainstPathsIfNoTargetIsReached(t *testing.T) {
	var h Health
	failedAt := testStart
	h.Connected(failedAt.Add(-time.Millisecond))
	h.Failed(failedAt)
	later := failedAt.Add(100 * time.Millisecond)
	assert.Equal(t, check(&h, later, false), Lost)
	assert.Equal(t, h.Judge(failedAt), PathLost)
	assert.Equal(t, h.Judge(later.Add(time.Second)), PathLost)
	assert.Assert(t, h.LostSince(failedAt))
	for round := range minRestoreChecks {
		later = later.Add(lostCheckPeriod)
		assert.Assert(t, h.IsCheckDue(later))
		check(&h, later, true)
		assert.Equal(t, h.IsLost(), round < minRestoreChecks-1)
	}
	assert.Equal(t, h.Judge(failedAt), PathLost, "also after the paths are back")
	assert.Equal(t, h.Judge(later.Add(time.Millisecond)), Undecided)
}

// Guards against open connections that go silent while no new one is needed.
func TestSilenceOfAllConnectionsIsChecked(t *testing.T) {
	var h Health
	now := testStart
	assert.Assert(t, !h.IsCheckDue(now), "nothing runs")
	h.RequestBegan(now)
	assert.Assert(t, !h.IsCheckDue(now.Add(silenceLimit-1)))
	h.Heard(now.Add(100 * time.Millisecond))
	assert.Assert(t, !h.IsCheckDue(now.Add(silenceLimit)))
	silent := now.Add(100*time.Millisecond + silenceLimit)
	assert.Assert(t, h.IsCheckDue(silent))
	check(&h, silent, true)
	assert.Assert(t, !h.IsCheckDue(silent.Add(silenceCheckPeriod-1)), "a sound but slow target costs one check a second")
	assert.Assert(t, h.IsCheckDue(silent.Add(silenceCheckPeriod)))
	h.RequestEnded()
	assert.Assert(t, !h.IsCheckDue(silent.Add(silenceCheckPeriod)))
}

func TestPathsThatComeAndGoAreRestoredLater(t *testing.T) {
	var h Health
	now := testStart
	var took []int
	for range 5 {
		h.Failed(now)
		check(&h, now, false)
		checks := 0
		for h.IsLost() {
			now = now.Add(lostCheckPeriod)
			check(&h, now, true)
			checks++
		}
		took = append(took, checks)
		now = now.Add(time.Second)
	}
	assert.DeepEqual(t, took, []int{2, 4, 8, 16, 16})
	now = now.Add(flapSpan)
	h.Failed(now)
	check(&h, now, false)
	check(&h, now, true)
	assert.Equal(t, check(&h, now, true), Restored)
}

func TestFailedCheckStartsRestoringAnew(t *testing.T) {
	var h Health
	h.Failed(testStart)
	check(&h, testStart, false)
	for _, isConnected := range []bool{true, false, true} {
		assert.Equal(t, check(&h, testStart, isConnected), NoChange)
	}
	assert.Equal(t, check(&h, testStart, true), Restored)
}

func TestCheckWithoutTargetsDecidesNothing(t *testing.T) {
	var h Health
	h.Failed(testStart)
	h.BeginCheck(testStart)
	assert.Equal(t, h.EndCheck(testStart, false, 0), NoChange)
	assert.Assert(t, !h.IsLost() && !h.IsSuspect())
}

func TestChecksSpreadOverDomainsAndServices(t *testing.T) {
	var candidates []Candidate
	for n := range 12 {
		candidates = append(candidates, Candidate{
			Target: structs.TargetID(fmt.Sprintf("t%02d", n)), Service: structs.ServiceID(fmt.Sprint(n % 2)),
			Domain: structs.DomainID(fmt.Sprint(n / 4)), IsFailing: n == 5,
		})
	}
	seen := make(map[structs.TargetID]bool)
	for n := range 40 {
		domains := make(map[structs.DomainID]int)
		for _, c := range PickCandidates(n, candidates) {
			assert.Assert(t, !c.IsFailing)
			domains[c.Domain]++
			seen[c.Target] = true
		}
		assert.Equal(t, len(domains), 3)
	}
	assert.Assert(t, len(seen) >= 8, "%d targets tried", len(seen))
	assert.Equal(t, len(PickCandidates(3, candidates[:1])), 1)
	assert.Equal(t, len(PickCandidates(3, nil)), 0)
}
