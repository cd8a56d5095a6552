package processes

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

const (
	eventTokens   = 10  // output tokens of one event of the site's engine
	maxTurnTokens = 30  // largest number of output tokens that a turn declares
	budget        = 150 // tokens per program
)

// response is what a caller received. isComplete is false if the connection
// failed before the end of the body.
type response struct {
	status     int
	body       string
	isComplete bool
}

// callLog collects what all callers sent and received.
type callLog struct {
	t  *testing.T
	mu sync.Mutex
	// responses and prompts (what the target must have received) are keyed by
	// request ID, tokens by program, statusCounts by status.
	responses    map[string]response
	tokens       map[string]int
	prompts      map[string]string
	statusCounts map[int]int
}

func (l *callLog) fail(format string, args ...any) { l.t.Errorf(format, args...) }

// caller runs programs until the test ends. It reuses its connections until
// the process at the other end has exited.
type caller struct {
	fleet      *fleet
	calls      *callLog
	client     *http.Client
	rng        *rand.Rand
	name       string
	lastSerial int
}

func newCaller(f *fleet, calls *callLog, seed uint64, n int) *caller {
	return &caller{
		fleet: f, calls: calls, name: fmt.Sprintf("c%d", n), rng: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}, Timeout: 5 * time.Second},
	}
}

func (c *caller) runPrograms(end time.Time) {
	defer c.client.CloseIdleConnections()
	for time.Now().Before(end) {
		c.runProgram(end)
	}
}

// runProgram runs one conversation with a tool call after each turn.
func (c *caller) runProgram(end time.Time) {
	c.lastSerial++
	program := fmt.Sprintf("%s-p%d", c.name, c.lastSerial)
	previous, history := "", ""
	for turn := 0; turn < 6 && time.Now().Before(end); turn++ {
		input := fmt.Sprintf("input %d of %s ", turn, program)
		id, got := c.sendTurn(program, previous, history+input, input)
		if got.status == http.StatusNotFound {
			c.calls.fail("%s: not found after the complete response to turn %s", id, previous)
			return
		}
		if got.isComplete && got.status == http.StatusOK {
			previous, history = id, history+input+events(id)
		}
		c.callTool()
	}
}

func events(id string) string {
	text := ""
	for n := 1; n <= 3; n++ {
		text += platformtest.EventData(id, n) + "\n"
	}
	return text
}

func (c *caller) sendTurn(program, previous, prompt, input string) (string, response) {
	header := map[string]string{
		platformtest.HeaderProgram: program,
		platformtest.HeaderBudget:  fmt.Sprint(budget),
		platformtest.HeaderUsage:   fmt.Sprintf("100,%d", maxTurnTokens),
	}
	if previous != "" {
		header[platformtest.HeaderPrevious] = previous
	}
	id, got := c.send(http.MethodPost, "/chat/x", input, header)
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	c.calls.prompts[id] = prompt
	c.calls.tokens[program] += eventTokens * strings.Count(got.body, "\n\n")
	if used := c.calls.tokens[program]; used > budget+maxTurnTokens {
		c.calls.fail("%s: program %s received %d tokens with a budget of %d", id, program, used, budget)
	}
	if got.isComplete && got.status == http.StatusOK && strings.Count(got.body, "\n\n") != 3 {
		c.calls.fail("%s: an incomplete stream ended like a complete one: %q", id, got.body)
	}
	return id, got
}

func (c *caller) callTool() {
	path, method := "/order/x", http.MethodPost
	if c.rng.IntN(2) == 0 {
		path, method = "/read/x", http.MethodGet
	}
	id, got := c.send(method, path, "", nil)
	if got.isComplete && got.status == http.StatusOK && got.body != "answer to "+id {
		c.calls.fail("%s: received an incomplete response or that of another request: %q", id, got.body)
	}
}

func (c *caller) send(method, path, body string, header map[string]string) (string, response) {
	c.lastSerial++
	id := fmt.Sprintf("%s-%d", c.name, c.lastSerial)
	vm := c.fleet.vms[c.rng.IntN(len(c.fleet.vms))].vm
	req, err := http.NewRequest(method, "http://"+vm.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		c.calls.fail("%s: %v", id, err)
		return id, response{}
	}
	req.Host = platformtest.Host
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderKey, "key-one")
	req.Header.Set(platformtest.HeaderDeadline, "3000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	got := c.roundTrip(req)
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	c.calls.responses[id] = got
	c.calls.statusCounts[got.status]++
	return id, got
}

func (c *caller) roundTrip(req *http.Request) response {
	resp, err := c.client.Do(req)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // pause before the next request, the VM may be down
		return response{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(body), isComplete: err == nil}
}

// notRunStatuses are the statuses which guarantee that a request was not run.
var notRunStatuses = map[int]bool{402: true, 404: true, 408: true, 421: true, 429: true, 503: true}

// checkRuns checks what the targets ran against the callers' responses: only
// repeatable requests ran twice, none ran that was refused as not run, no target
// received a key or a wrong account, and each turn had the right prompt.
func (l *callLog) checkRuns(targets []*platformtest.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runCounts := make(map[string]int)
	for _, target := range targets {
		for _, run := range target.Runs() {
			runCounts[run.ID]++
			if !strings.HasPrefix(run.URI, "/read/") && runCounts[run.ID] > 1 {
				l.fail("%s ran %d times", run.ID, runCounts[run.ID])
			}
			if got := l.responses[run.ID]; notRunStatuses[got.status] {
				l.fail("%s got status %d (not run) but ran at %s", run.ID, got.status, run.Target)
			}
			if run.Header.Get(platformtest.HeaderKey) != "" || run.Header.Get(platformtest.HeaderAccount) != "one" {
				l.fail("%s: target %s received the key or a wrong account", run.ID, run.Target)
			}
			if prompt, isTurn := l.prompts[run.ID]; isTurn && prompt != run.Body {
				l.fail("%s: prompt %q, want %q", run.ID, run.Body, prompt)
			}
		}
	}
}
