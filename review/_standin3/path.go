package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// pathWithTwoSlashes sends requests whose path begins with two slashes.
func pathWithTwoSlashes(r *record, hasTrouble bool) (bool, error) {
	s, err := newSite(r, storeLimits{delay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer s.close()
	config := manifest(
		[]map[string]any{{"name": "read", "host": host, "pathPrefix": "/", "type": "safe", "timeoutMs": 2000, "targetLatencyMs": 250, "priority": 0, "service": "app", "maxAttempts": 2}},
		[]map[string]any{{"name": "app", "healthPath": "/healthz", "maxConnections": 100}},
	)
	if err := s.putConfig(config); err != nil {
		return false, err
	}
	one := &runner{id: "i-1", service: "app", zone: "near-a", slots: 6, queue: 12}
	if err := s.addRunner(one); err != nil {
		return false, err
	}
	one.server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer listener.Close()
	one.listener = listener
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go one.serveRaw(nc)
		}
	}()
	if err := s.addVMs(154, "near-a"); err != nil {
		return false, err
	}
	time.Sleep(heartbeat)
	if err := s.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	path := "/orders/7?x=1"
	if hasTrouble {
		path = "/" + path
	}
	id := newID()
	nc, err := net.Dial("tcp", s.vms[0].callers)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Endivecourse-Request-Id: %s\r\nX-Endivecourse-Key: key-one\r\nX-Endivecourse-Deadline-Ms: 2000\r\n\r\n", path, host, id)
	r.line("client: %s GET %s", id, path)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return false, err
	}
	text, _ := io.ReadAll(resp.Body)
	r.line("client: %s is answered %d %q", id, resp.StatusCode, text)
	one.mu.Lock()
	defer one.mu.Unlock()
	for _, each := range one.runs {
		if each.id == id && each.target != "GET "+path+" HTTP/1.1\r\n" {
			r.line("judge: the runner ran %q, the client sent %q", each.target, path)
			return true, nil
		}
	}
	return false, nil
}
