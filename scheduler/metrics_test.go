package scheduler

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func (n *testNode) metricsText() string {
	var out strings.Builder
	n.WriteMetrics(&out)
	return out.String()
}

// Latency, waiting time, token and refusal metrics must be exported without the names
// of accounts or programs in labels, and ended programs must leave no state behind.
func TestMetricsAreExported(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		n.create(t, "north/p")
		for number := uint64(1); number <= 3; number++ {
			_, err := n.sendCall(background, modelCall("north/p", number, "text"))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		_, err := n.endProgram(background, structs.ProgramRef{ID: "north/p", Account: "acme"})
		assert.NilError(t, err)
		_, err = n.sendCall(background, modelCall("north/p", 4, "text"))
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedProgramEnded)
		text := n.metricsText()
		for _, want := range []string{
			"endive_program_latency_seconds_count 1",
			"endive_call_wait_seconds_count 3",
			"endive_prompt_tokens_total 90",
			"endive_output_tokens_total 6",
			`endive_scheduler_refusals_total{kind="program_ended",run="no"} 1`,
			`endive_slot_changes_total{change="gained"} 8`,
			`endive_queue_depth{service="llm"} 0`,
			"endive_slots_owned 8",
		} {
			assert.Assert(t, strings.Contains(text, want+"\n"), "%s is missing in\n%s", want, text)
		}
		assert.Assert(t, !strings.Contains(text, "acme"))
		assert.Assert(t, !strings.Contains(text, "north"))
		var programs, pending int
		assert.NilError(t, n.runOnLoop(background, func(l *loop) {
			programs, pending = len(l.metrics.programs), len(l.metrics.pending)
		}))
		assert.Equal(t, programs, 0)
		assert.Equal(t, pending, 0)
		n.stop(t)
	})
}

func TestSlowdownOfWorstAccount(t *testing.T) {
	shares := newAccountSlowdowns()
	var now structs.Instant
	shares.add(now, "large", 0, time.Second)
	shares.add(now, "middle", time.Second, time.Second)
	shares.add(now, "small", 9*time.Second, time.Second)
	list := shares.slowdowns(now)
	assert.Equal(t, list[0], AccountSlowdown{Account: "small", Slowdown: 10})
	assert.Equal(t, list[1].Account, structs.AccountID("middle"))
	// Recent calls count more than past ones.
	now = now.Add(slowdownHalfLife)
	shares.add(now, "small", 0, time.Second)
	assert.Equal(t, shares.slowdowns(now)[0], AccountSlowdown{Account: "small", Slowdown: 4})
	assert.Equal(t, len(shares.slowdowns(now.Add(2*accountIdleTimeout))), 0)
}
