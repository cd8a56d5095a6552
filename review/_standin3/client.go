package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests to the callers' addresses of machines.
type client struct {
	site *site
	http *http.Client
}

func newClient(s *site) *client {
	return &client{site: s, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 400, DisableCompression: true,
	}}}
}

var lastID atomic.Int64

// newID returns an ID for one client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// turn is a request on a streaming route.
type turn struct {
	path, program, line, previous string
	body                          []byte
	budget, maxTokens             int
	deadline                      time.Duration
}

// answer is what a client got.
type answer struct {
	id      string
	status  int // 0 for none
	events  int
	body    []byte
	isWhole bool
	retryIn time.Duration
	err     error
	took    time.Duration
	isKept  bool // the channel had carried a request before
}

func (a answer) String() string {
	text := fmt.Sprintf("%d, %d events, whole: %t, %d ms", a.status, a.events, a.isWhole, a.took.Milliseconds())
	if a.err != nil {
		text += ", " + a.err.Error()
	}
	return text
}

// send sends a turn to a machine as a new client attempt.
func (c *client) send(v *vm, t turn) answer {
	a := answer{id: newID()}
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+t.path, bytes.NewReader(t.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set("X-Endivecourse-Request-Id", a.id)
	set("X-Endivecourse-Key", "key-one")
	set("X-Endivecourse-Deadline-Ms", strconv.FormatInt(t.deadline.Milliseconds(), 10))
	set("X-Endivecourse-Program-Id", t.program)
	set("X-Endivecourse-Session-Id", t.line)
	set("X-Endivecourse-Previous-Turn", t.previous)
	if t.budget > 0 {
		set("X-Endivecourse-Token-Budget", strconv.Itoa(t.budget))
		set("X-Endivecourse-Token-Usage", fmt.Sprintf("%d,%d", len(t.body)/4, t.maxTokens))
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.isKept = info.Reused }}))
	req.GetBody = nil // a request is sent once
	httpClient := *c.http
	httpClient.Timeout = t.deadline
	resp, err := httpClient.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(start)
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.body, err = io.ReadAll(resp.Body)
	a.isWhole, a.err, a.took = err == nil, err, time.Since(start)
	if a.status == http.StatusOK {
		a.events = strings.Count(string(a.body), "\n\n")
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryIn = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// serve sends a turn until it is answered whole, at most tries times, at the machines in turn.
func (c *client) serve(vms []*vm, t turn, tries int) answer {
	var a answer
	for i := range tries {
		a = c.send(vms[i%len(vms)], t)
		if a.status == http.StatusOK && a.isWhole || a.status == http.StatusPaymentRequired {
			return a
		}
		time.Sleep(max(a.retryIn, 100*time.Millisecond))
	}
	return a
}
