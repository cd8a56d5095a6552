package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one request of a client.
type call struct {
	id, method, path, key, program, line, previous string
	body                                           []byte
	budget, maxTokens                              int
	deadline                                       time.Duration
}

// answer is what the client got.
type answer struct {
	status  int
	events  int
	body    []byte
	isWhole bool
	err     error
}

func (c *call) request(address string) (*http.Request, error) {
	req, err := http.NewRequest(c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	req.Host = host
	h := req.Header
	h.Set("X-Endivecourse-Request-Id", c.id)
	h.Set("X-Endivecourse-Key", c.key)
	h.Set("X-Endivecourse-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set("X-Endivecourse-Program-Id", c.program)
	set("X-Endivecourse-Session-Id", c.line)
	set("X-Endivecourse-Previous-Turn", c.previous)
	if c.budget > 0 {
		set("X-Endivecourse-Token-Budget", strconv.Itoa(c.budget))
	}
	if c.maxTokens > 0 {
		set("X-Endivecourse-Token-Usage", fmt.Sprintf("100,%d", c.maxTokens))
	}
	return req, nil
}

// channel is a client's kept channel.
type channel struct{ client *http.Client }

func newChannel() *channel {
	return &channel{client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

func (c *channel) close() { c.client.CloseIdleConnections() }

// send sends a request and reads its answer to the end.
func (c *channel) send(v *vm, k call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	req, err := k.request(v.caller)
	if err != nil {
		return answer{err: err}
	}
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode}
	a.body, a.err = io.ReadAll(resp.Body)
	a.isWhole = a.err == nil
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.events = bytes.Count(a.body, []byte("\n\n"))
	}
	return a
}

// windowBytes is the size of the windows and reads of a peer that reads slowly. It keeps the
// kernel from holding a body in place of the daemon.
const windowBytes = 16 << 10
