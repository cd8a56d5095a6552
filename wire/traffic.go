package wire

import (
	"strings"
	"sync/atomic"
)

// TrafficClass separates the traffic of callers' requests from the traffic by
// which daemons coordinate.
type TrafficClass uint8

// Classes of traffic.
const (
	Control TrafficClass = iota // leases, quota, configuration, pings
	Data                        // programs, their calls and records
	numTrafficClasses
)

// dataMethodPrefixes are the prefixes of the methods that carry callers'
// requests and their records.
var dataMethodPrefixes = []string{"program.", "keeper.append", "keeper.read"}

func classOf(method string) TrafficClass {
	for _, prefix := range dataMethodPrefixes {
		if strings.HasPrefix(method, prefix) {
			return Data
		}
	}
	return Control
}

// Traffic counts the bytes of frames by class, without the headers of TCP, IP
// and TLS.
type Traffic struct {
	sent, received [numTrafficClasses]atomic.Uint64
}

// Sent returns the number of bytes of the class that were sent.
func (t *Traffic) Sent(class TrafficClass) uint64 { return t.sent[class].Load() }

// Received returns the number of bytes of the class that were received.
func (t *Traffic) Received(class TrafficClass) uint64 { return t.received[class].Load() }

func (t *Traffic) countSent(f frame) {
	t.sent[f.class()].Add(uint64(headerSize + len(f.body)))
}

func (t *Traffic) countReceived(f frame) {
	t.received[f.class()].Add(uint64(headerSize + len(f.body)))
}

// streamID returns the ID of a client's stream. The lowest bit is the traffic
// class, so that both ends know the class of every frame. Pings have stream 0.
func streamID(number uint64, class TrafficClass) uint64 {
	return number*uint64(numTrafficClasses) + uint64(class)
}

func (f frame) class() TrafficClass {
	return TrafficClass(f.stream % uint64(numTrafficClasses))
}

// Traffic returns the client's counters.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// Traffic returns the server's counters.
func (s *Server) Traffic() *Traffic { return &s.traffic }
