package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// bodyBrokenOff plays clients of unsafe routes that send their body in chunks. One in five
// leaves: it closes its channel before its body is complete. Each run of a runner must have
// the body that the client sent in full.
func bodyBrokenOff(s *site, withTrouble bool) int {
	s.putConfig(config())
	_, apps := s.addRunners(2, streamOf(7, 20*time.Millisecond), answerAfter(100*time.Millisecond))
	s.addVMs(3)
	s.startAll()
	type sent struct {
		id, body   string
		isComplete bool
	}
	var all []sent
	var clients sync.WaitGroup
	for i := range 40 {
		size := 600
		if i%2 == 1 {
			size = 128 << 10
		}
		id := fmt.Sprintf("req-%03d", i)
		request := sent{id: id, body: strings.Repeat(fmt.Sprintf("%s;", id), size/8), isComplete: true}
		leavesAfter := len(request.body)
		if withTrouble && i%5 == 0 {
			leavesAfter, request.isComplete = 0, false
			if i%2 == 1 {
				leavesAfter = 64 << 10
			}
		}
		all = append(all, request)
		front := s.vms[i%len(s.vms)].frontend
		clients.Go(func() {
			answer := sendChunked(front, request.id, request.body, leavesAfter)
			s.record.printf("%s: body of %d bytes, sent %d, complete %v: %s", request.id, len(request.body), leavesAfter, request.isComplete, answer)
		})
		time.Sleep(25 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(3500 * time.Millisecond)
	ran := make(map[string][]run)
	for _, app := range apps {
		for _, one := range app.allRuns() {
			ran[one.id] = append(ran[one.id], one)
		}
	}
	result, served := held, 0
	for _, request := range all {
		for _, one := range ran[request.id] {
			s.record.printf("%s: run by %s with a body of %d bytes", request.id, one.runner, len(one.body))
			if one.body != request.body {
				s.record.printf("%s: UNASKED, the client's body has %d bytes, complete %v", request.id, len(request.body), request.isComplete)
				result = broken
			} else {
				served++
			}
		}
	}
	s.record.printf("%d requests sent, %d run with the whole body", len(all), served)
	if served == 0 {
		return couldntRun
	}
	return result
}

// sendChunked sends a POST whose body comes in one or two chunks, closes the channel after a part of
// it if leavesAfter is less than its length, and returns what was answered.
func sendChunked(address, id, body string, leavesAfter int) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /dispatch/crew HTTP/1.1\r\nHost: %s\r\nX-Endivecourse-Request-Id: %s\r\nX-Endivecourse-Deadline-Ms: 3000\r\nX-Endivecourse-Key: key-north\r\nTransfer-Encoding: chunked\r\n\r\n", host, id)
	for at := 0; at < leavesAfter; {
		n := min(64<<10, leavesAfter-at)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", n, body[at:at+n])
		at += n
	}
	if leavesAfter < len(body) {
		time.Sleep(50 * time.Millisecond)
		return "the client has left"
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	return fmt.Sprintf("%s, stamp %q", resp.Status, resp.Header.Get(headerStamp))
}
