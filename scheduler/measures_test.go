package scheduler

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func (n *node) metrics() string {
	var out strings.Builder
	n.WriteMetrics(&out)
	return out.String()
}

// The four measures are exported, without accounts or programs in any label.
func TestMeasures(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newSite()
		n := site.start("one")
		owned(n)
		n.create(t, "north/p")
		for number := uint64(1); number <= 3; number++ {
			_, err := n.do(background, ask("north/p", number, "text"))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		_, err := n.endProgram(background, structs.ProgramRef{ID: "north/p", Account: "acme"})
		assert.NilError(t, err)
		_, err = n.do(background, ask("north/p", 4, "text"))
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedProgramEnded)
		text := n.metrics()
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
		var programs, waiting int
		assert.NilError(t, n.ask(background, func(l *loop) {
			programs, waiting = len(l.measures.programs), len(l.measures.waiting)
		}))
		assert.Equal(t, programs, 0)
		assert.Equal(t, waiting, 0)
		n.stop(t)
	})
}

func TestSlowdownOfWorstAccount(t *testing.T) {
	shares := newAccountShares()
	var now structs.Instant
	shares.add(now, "large", 0, time.Second)
	shares.add(now, "middle", time.Second, time.Second)
	shares.add(now, "small", 9*time.Second, time.Second)
	list := shares.slowdowns(now)
	assert.Equal(t, list[0], AccountSlowdown{Account: "small", Slowdown: 10})
	assert.Equal(t, list[1].Account, structs.AccountID("middle"))
	// Recent calls count more than past ones.
	now = now.Add(shareHalfLife)
	shares.add(now, "small", 0, time.Second)
	assert.Equal(t, shares.slowdowns(now)[0], AccountSlowdown{Account: "small", Slowdown: 4})
	assert.Equal(t, len(shares.slowdowns(now.Add(2*shareForget))), 0)
}
