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
	eventTokens = 10 // of the site's engine
	mostTokens  = 30
	budget      = 150
)

// answer is what a caller got.
type answer struct {
	status int
	body   string
	whole  bool
}

// ledgerOfCalls is what all callers saw.
type ledgerOfCalls struct {
	t  *testing.T
	mu sync.Mutex
	// answers by request ID, tokens by program, and the prompts that targets
	// must have been given, by request ID.
	answers map[string]answer
	tokens  map[string]int
	prompts map[string]string
	counts  map[int]int
}

func (l *ledgerOfCalls) fail(format string, args ...any) { l.t.Errorf(format, args...) }

// caller plays programs until the soak ends. Its connections stay in use until
// the process at their other end is gone.
type caller struct {
	fleet  *fleet
	seen   *ledgerOfCalls
	client *http.Client
	rng    *rand.Rand
	name   string
	next   int
}

func newCaller(f *fleet, seen *ledgerOfCalls, seed uint64, n int) *caller {
	return &caller{
		fleet: f, seen: seen, name: fmt.Sprintf("c%d", n), rng: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}, Timeout: 5 * time.Second},
	}
}

func (c *caller) play(end time.Time) {
	defer c.client.CloseIdleConnections()
	for time.Now().Before(end) {
		c.program(end)
	}
}

// program plays a conversation with tools between its turns.
func (c *caller) program(end time.Time) {
	c.next++
	program := fmt.Sprintf("%s-p%d", c.name, c.next)
	previous, history := "", ""
	for turn := 0; turn < 6 && time.Now().Before(end); turn++ {
		input := fmt.Sprintf("input %d of %s ", turn, program)
		id, got := c.turn(program, previous, history+input, input)
		if got.status == http.StatusNotFound {
			c.seen.fail("%s: turn %s was answered whole and is not found", id, previous)
			return
		}
		if got.whole && got.status == http.StatusOK {
			previous, history = id, history+input+events(id)
		}
		c.tool()
	}
}

func events(id string) string {
	text := ""
	for n := 1; n <= 3; n++ {
		text += platformtest.EventData(id, n) + "\n"
	}
	return text
}

func (c *caller) turn(program, previous, prompt, input string) (string, answer) {
	header := map[string]string{
		platformtest.HeaderProgram: program,
		platformtest.HeaderBudget:  fmt.Sprint(budget),
		platformtest.HeaderUsage:   fmt.Sprintf("100,%d", mostTokens),
	}
	if previous != "" {
		header[platformtest.HeaderPrevious] = previous
	}
	id, got := c.do(http.MethodPost, "/chat/x", input, header)
	c.seen.mu.Lock()
	defer c.seen.mu.Unlock()
	c.seen.prompts[id] = prompt
	c.seen.tokens[program] += eventTokens * strings.Count(got.body, "\n\n")
	if used := c.seen.tokens[program]; used > budget+mostTokens {
		c.seen.fail("%s: program %s got %d tokens of a budget of %d", id, program, used, budget)
	}
	if got.whole && got.status == http.StatusOK && strings.Count(got.body, "\n\n") != 3 {
		c.seen.fail("%s: a cut stream looks whole: %q", id, got.body)
	}
	return id, got
}

func (c *caller) tool() {
	path, method := "/order/x", http.MethodPost
	if c.rng.IntN(2) == 0 {
		path, method = "/read/x", http.MethodGet
	}
	id, got := c.do(method, path, "", nil)
	if got.whole && got.status == http.StatusOK && got.body != "answer to "+id {
		c.seen.fail("%s: got another's answer or a part: %q", id, got.body)
	}
}

func (c *caller) do(method, path, body string, header map[string]string) (string, answer) {
	c.next++
	id := fmt.Sprintf("%s-%d", c.name, c.next)
	vm := c.fleet.vms[c.rng.IntN(len(c.fleet.vms))].vm
	req, err := http.NewRequest(method, "http://"+vm.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		c.seen.fail("%s: %v", id, err)
		return id, answer{}
	}
	req.Host = platformtest.Host
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderKey, "key-one")
	req.Header.Set(platformtest.HeaderDeadline, "3000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	got := c.send(req)
	c.seen.mu.Lock()
	defer c.seen.mu.Unlock()
	c.seen.answers[id] = got
	c.seen.counts[got.status]++
	return id, got
}

func (c *caller) send(req *http.Request) answer {
	resp, err := c.client.Do(req)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // as a caller does whose server is gone
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), whole: err == nil}
}

// promises are the statuses that say that a request was not run.
var promises = map[int]bool{402: true, 404: true, 408: true, 421: true, 429: true, 503: true}

// checkRuns compares what targets ran with what callers were told.
func (l *ledgerOfCalls) checkRuns(targets []*platformtest.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := make(map[string]int)
	for _, target := range targets {
		for _, run := range target.Runs() {
			times[run.ID]++
			if !strings.HasPrefix(run.URI, "/read/") && times[run.ID] > 1 {
				l.fail("%s ran %d times", run.ID, times[run.ID])
			}
			if got := l.answers[run.ID]; promises[got.status] {
				l.fail("%s was answered %d and ran at %s", run.ID, got.status, run.Target)
			}
			if run.Header.Get(platformtest.HeaderKey) != "" || run.Header.Get(platformtest.HeaderAccount) != "one" {
				l.fail("%s: target %s saw the key or a wrong account", run.ID, run.Target)
			}
			if prompt, isTurn := l.prompts[run.ID]; isTurn && prompt != run.Body {
				l.fail("%s: prompt %q, want %q", run.ID, run.Body, prompt)
			}
		}
	}
}
