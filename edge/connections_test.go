package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

// startKeepAliveTarget starts a target that states an idle timeout of 5 s.
func startKeepAliveTarget(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nX-Request: 1\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A VM's idle connection must reach the placer's choice, and be reused.
func TestPlacerPrefersConnectedTarget(t *testing.T) {
	placer, isSilent := 0, false
	servers := newServers(20, 8, &placer, &isSilent)
	s := servers[1]
	s.opts.Config = routing.NewConfig(nil)
	connected := placement.Target{ID: "t6", Service: "s", Domain: "d", Region: "r", Slots: slotsPerTarget, Address: startKeepAliveTarget(t)}
	s.targets.Put(connected)
	conn, err := s.pool.Get(t.Context(), connected.Address)
	assert.NilError(t, err)
	s.recordConnection(connected, conn)
	req := &http.Request{Method: "GET", Host: "h", URL: &url.URL{Path: "/"}, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	_, stop, err := conn.RoundTrip(t.Context(), req, nil, hop.Expected{IDHeader: "X-Request", ID: "1"})
	assert.NilError(t, err)
	assert.Assert(t, stop())
	s.keepConnection(connected, conn)

	ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
	g, err := s.acquireGrant(t.Context(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, g.placer, structs.VMID("0"))
	assert.Equal(t, g.target.ID, connected.ID)
	conn, err = s.pool.Get(t.Context(), g.target.Address)
	assert.NilError(t, err)
	assert.Assert(t, conn.IsReused())
	assert.Equal(t, conn.IdleTimeout(), 4300*time.Millisecond)
	conn.Close()
	assert.Assert(t, s.connections.times.ByDomain()["d"] > 0)
}

// The idle connections of all VMs to a target must stay within its limit where groups are
// used, and be as before elsewhere.
func TestIdleConnectionsStayWithinTheLimitOfAllVMs(t *testing.T) {
	placer, isSilent := 0, false
	for vms, want := range map[int]int{9: hop.MaxPooled, 40: 60 / 40, 100: 1} {
		s := newServers(vms, 8, &placer, &isSilent)[1]
		s.opts.Config = routing.NewConfig(func([]byte) (*routing.Table, error) {
			return routing.NewTable(routing.TableContents{Version: 1, Services: []*routing.Service{{ID: "s", MaxConnections: 60}}}), nil
		})
		_, err := s.opts.Config.UpdateIfNewer(nil)
		assert.NilError(t, err)
		s.describeConnections(&placement.Query{Service: "s"})
		assert.Equal(t, s.maxIdleConnections("s"), want)
	}
}
