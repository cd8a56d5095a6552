package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

const slots = 256

// testCore is a program core whose writes become durable and whose targets respond
// immediately.
type testCore struct {
	*program.Core
	now         structs.Instant
	response    []byte
	lastRefusal *structs.Refusal // from the last refused request
}

func newTestCore(programs int) *testCore {
	c := &testCore{Core: program.New(program.Options{Domain: "d", Slots: slots, MaxPrograms: programs + 1})}
	for slot := range slots {
		c.apply(program.SlotGained{Slot: structs.Slot(slot), Epoch: 1})
	}
	return c
}

// apply passes events to the core, and then the results of the actions that it returns,
// until no action is left.
func (c *testCore) apply(events ...program.Event) {
	for len(events) > 0 {
		event := events[0]
		events = events[1:]
		c.now++
		for _, action := range c.Step(c.now, event) {
			switch a := action.(type) {
			case program.Write:
				events = append(events, program.WriteFinished{ID: a.ID, Result: program.WriteDurable})
			case program.Enqueue:
				events = append(events, program.TargetAssigned{Call: a.Call, Target: "t"})
			case program.Send:
				events = append(events, program.ResponsePart{Call: a.Call, Attempt: a.Attempt, Data: c.response},
					program.DispatchFinished{Call: a.Call, Attempt: a.Attempt, Result: program.ResultDone, Usage: structs.Usage{PromptTokens: 1, OutputTokens: 1}})
			case program.Refuse:
				c.lastRefusal = a.Refusal
			}
		}
	}
}

func programID(i int) structs.ProgramID { return structs.NewProgramID("d", fmt.Sprintf("%032x", i)) }

func (c *testCore) create(i int) {
	c.apply(program.CreateRequested{Token: program.Token(i + 1), Request: structs.CreateProgram{ID: programID(i), Account: "account", Kind: "kind"}, Budget: 1 << 40, IdleLimit: time.Hour})
}

func (c *testCore) call(i int, number uint64, text string) {
	c.apply(program.CallArrived{
		Token:        program.Token(1<<40 + i),
		Call:         structs.Call{Program: programID(i), Account: "account", Number: number, Request: "r", Model: &structs.ModelCall{Service: "s", MaxTokens: 100, Messages: []structs.Message{{Role: "user", Content: strings.Clone(text)}}}},
		IsRepeatable: true, Timeout: time.Hour,
	})
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkTick measures one tick, in which the core checks the time limits of idle
// programs. It also reports the memory of a program without turns.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			before := heapBytes()
			c := newTestCore(n)
			for i := range n {
				c.create(i)
			}
			assert.Assert(b, c.lastRefusal == nil)
			assert.Equal(b, c.Counts().Programs, n)
			used := heapBytes() - before
			for b.Loop() {
				c.apply(program.Tick{})
			}
			b.ReportMetric(used/float64(n), "B/program")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkHistory measures one call of a program with a history of n turns. It also
// reports the memory of a turn in excess of its message texts.
func BenchmarkHistory(b *testing.B) {
	const textBytes = 1000
	for _, n := range []int{10, 50, 250} {
		b.Run(fmt.Sprintf("turns=%d", n), func(b *testing.B) {
			const programs = 20
			text := strings.Repeat("x", textBytes)
			before := heapBytes()
			c := newTestCore(programs)
			c.response = []byte(text)
			for i := range programs {
				c.create(i)
				for number := range n {
					c.call(i, uint64(number+1), text)
				}
			}
			assert.Assert(b, c.lastRefusal == nil, "%v", c.lastRefusal)
			used := (heapBytes() - before) / programs / float64(n)
			number := uint64(n)
			for b.Loop() {
				number++
				c.call(0, number, text)
				if number >= uint64(n)+20 { // start again with n turns, so that the history stays near that length
					b.StopTimer()
					c = newTestCore(1)
					c.response = []byte(text)
					c.create(0)
					for i := range n {
						c.call(0, uint64(i+1), text)
					}
					number = uint64(n)
					b.StartTimer()
				}
			}
			b.ReportMetric(used-2*textBytes, "B-beyond-text/turn")
			runtime.KeepAlive(c)
		})
	}
}
