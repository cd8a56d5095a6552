package processes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// vmMemoryMB is the memory of a VM in a site's settings.
const vmMemoryMB = 154

// peakMemoryMB returns the most memory that the process has used, and false if it has ended.
func (p *process) peakMemoryMB() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes >> 10, err == nil
		}
	}
	return 0, false
}

// callSteadily lets callers send requests one after the other, and returns the responses
// by status, 0 for a connection that ended without a whole one.
func (f *fleet) callSteadily(count int, path string, d time.Duration) map[int]int {
	calls := &callLog{
		t: f.t, responses: make(map[string]response), tokens: make(map[string]int),
		prompts: make(map[string]string), statusCounts: make(map[int]int),
	}
	end := time.Now().Add(d)
	var running sync.WaitGroup
	for n := range count {
		running.Go(func() {
			c := newCaller(f, calls, 1, n)
			defer c.client.CloseIdleConnections()
			for time.Now().Before(end) {
				c.send("POST", path, "x", map[string]string{platformtest.HeaderProgram: fmt.Sprint("program-", n)})
			}
		})
	}
	running.Wait()
	return calls.statusCounts
}

// Guards against targets that send bytes without end: all that a VM keeps of their answers
// must fit its memory, and the other targets' answers still arrive.
func TestEndlessAnswersOfManyTargetsFitTheMemory(t *testing.T) {
	for part, path := range map[platformtest.Part]string{
		platformtest.PartHead: "/order/1", platformtest.PartBody: "/order/1", platformtest.PartLength: "/order/1",
		platformtest.PartChunked: "/order/1", platformtest.PartEvent: "/draft/1", platformtest.PartEvents: "/chat/1",
	} {
		t.Run(string(part), func(t *testing.T) {
			f := newFleetOf(t, []string{"near-a"}, platformtest.BasicConfig())
			for n, target := range f.targets {
				if n < 6 {
					target.Set(platformtest.Behaviour{Endless: part, Events: 3})
				}
			}
			statuses := f.callSteadily(40, path, 4*time.Second)
			peak, isRunning := f.vms[0].peakMemoryMB()
			t.Logf("%s: %d MB at most, responses by status %v", part, peak, statuses)
			if !isRunning || peak > vmMemoryMB {
				t.Errorf("%d MB of %d, running %v", peak, vmMemoryMB, isRunning)
			}
			if statuses[200] < 20 {
				t.Errorf("%d requests served by the other targets", statuses[200])
			}
		})
	}
}
