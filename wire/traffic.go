package wire

import (
	"strings"
	"sync/atomic"
)

// TrafficClass tells the requests of callers from what daemons need to agree.
type TrafficClass uint8

// Classes of traffic.
const (
	Control TrafficClass = iota // leases, quota, configuration, pings
	Data                        // programs, their calls and records
	numTrafficClasses
)

// dataMethodPrefixes begin the methods that carry callers' requests and their records.
var dataMethodPrefixes = []string{"program.", "keeper.append", "keeper.read"}

func classOf(method string) TrafficClass {
	for _, prefix := range dataMethodPrefixes {
		if strings.HasPrefix(method, prefix) {
			return Data
		}
	}
	return Control
}

// Traffic counts the bytes of frames, by class. The headers of TCP, IP and TLS
// are not among them.
type Traffic struct {
	sent, received [numTrafficClasses]atomic.Uint64
}

// Sent returns the bytes of the class that were written.
func (t *Traffic) Sent(class TrafficClass) uint64 { return t.sent[class].Load() }

// Received returns the bytes of the class that were read.
func (t *Traffic) Received(class TrafficClass) uint64 { return t.received[class].Load() }

func (t *Traffic) countSent(f frame) {
	t.sent[f.class()].Add(uint64(headerSize + len(f.body)))
}

func (t *Traffic) countReceived(f frame) {
	t.received[f.class()].Add(uint64(headerSize + len(f.body)))
}

// streamID makes the number of a client's stream. Its lowest bit is the class,
// so that both ends know it of every frame; pings have stream 0.
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
