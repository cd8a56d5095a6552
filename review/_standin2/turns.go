package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// tokensPerEvent is the chunkTokens of the manifest.
const tokensPerEvent = 10

// turnRequest is one client attempt of a turn.
type turnRequest struct {
	path, program, session, previous, body string
	budget, maxTokens                      int
	deadline                               time.Duration
}

// turnAnswer is what the client got.
type turnAnswer struct {
	id         string
	status     int
	events     []string // the data of the events that arrived whole
	isWhole    bool
	retryAfter time.Duration
	refusal    string // the start of an answer with another status than 200
	err        error
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("r%06d", lastID.Add(1)) }

// sendTurn sends a turn on a new channel and reads its stream.
func (s *site) sendTurn(v *vm, t turnRequest) turnAnswer {
	a := turnAnswer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), t.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.frontend+t.path, strings.NewReader(t.body))
	must(err)
	req.Host = host
	req.Close = true
	req.Header.Set(headerRequestID, a.id)
	req.Header.Set(headerDeadline, strconv.FormatInt(t.deadline.Milliseconds(), 10))
	req.Header.Set(headerKey, "key-north")
	req.Header.Set(headerProgram, t.program)
	req.Header.Set(headerSession, t.session)
	req.Header.Set(headerUsage, fmt.Sprintf("600,%d", t.maxTokens))
	req.Header.Set(headerBudget, strconv.Itoa(t.budget))
	if t.previous != "" {
		req.Header.Set(headerPrevious, t.previous)
	}
	transport := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		a.refusal = string(raw)
		return a
	}
	a.events, a.err = readEvents(resp.Body)
	a.isWhole = a.err == nil
	return a
}

// readEvents reads a stream to its end and returns the data of its whole events.
func readEvents(body io.Reader) ([]string, error) {
	var events []string
	var data string
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		switch text, isData := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data:"); {
		case isData:
			data = strings.TrimPrefix(text, " ")
		case line == "\n" || line == "\r\n":
			events = append(events, data)
		}
	}
}
