package connlimit

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

var testLimits = Limits{MaxHeadBytes: 1000, MaxHeadFields: 20, HeadTimeout: time.Second, IdleTimeout: 3 * time.Second}

// Guards against a limit that depends on how a head is cut into reads, and against body bytes
// that count as part of the head.
func TestHeadIsCountedUpToItsEnd(t *testing.T) {
	line, body := "GET / HTTP/1.1\r\n", strings.Repeat("\n", 5000)
	cases := map[string]struct {
		head string
		part string
	}{
		"at its limit":    {line + "A: " + strings.Repeat("a", 1000-7) + "\r\n\r\n", ""},
		"over its limit":  {line + "A: " + strings.Repeat("a", 1000-4) + "\r\n\r\n", "fields"},
		"many fields":     {line + strings.Repeat("a:\r\n", 19) + "\r\n", ""},
		"too many fields": {line + strings.Repeat("a:\n", 21) + "\n", "number of fields"},
		"long line":       {"GET /" + strings.Repeat("a", 1000) + " HTTP/1.1\r\n\r\n", "request line"},
		"empty lines":     {strings.Repeat("\r\n", 600) + line + "\r\n", "request line"},
	}
	for name, c := range cases {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 1))
			var scan headScan
			var err error
			for rest := c.head + body; rest != "" && err == nil; {
				n := 1 + random.IntN(min(len(rest), 300))
				err = scan.feed([]byte(rest[:n]), testLimits)
				rest = rest[n:]
			}
			var tooLarge *HeadTooLargeError
			if c.part == "" {
				assert.NilError(t, err, name)
				assert.Assert(t, scan.isWhole, name)
				continue
			}
			assert.Assert(t, errors.As(err, &tooLarge) && tooLarge.Part == c.part, "%s: %v", name, err)
		}
	}
}

// Guards against a crowd that keeps others out, and against the end of a request that was
// accepted in favour of a new connection.
func TestOldestConnectionWithoutARequestMakesRoom(t *testing.T) {
	at := func(ms int) structs.Instant { return structs.Instant(time.Duration(ms) * time.Millisecond) }
	r := newRegistry(Bounds{Conns: 4, HeadMemory: 1, Bodies: 1})
	conns := make([]*Conn, 12)
	for i := range conns {
		conns[i] = &Conn{}
	}
	open := func(i int) (*Conn, bool) { return r.open(at(i), conns[i]) }
	for i := range 4 {
		victim, isKept := open(i)
		assert.Assert(t, victim == nil && isKept)
	}
	r.set(at(10), conns[0], stateActive, testLimits)
	r.set(at(11), conns[1], stateIdle, testLimits)
	r.set(at(12), conns[3], stateHead, testLimits)
	victims := []*Conn{conns[3], conns[2], conns[4], conns[5]}
	for i, want := range victims {
		victim, isKept := open(4 + i)
		assert.Assert(t, isKept && victim == want, "connection %d", 4+i)
	}
	for _, i := range []int{6, 7} {
		r.set(at(20), conns[i], stateActive, testLimits)
	}
	victim, isKept := open(8)
	assert.Assert(t, isKept && victim == conns[1], "an idle connection goes last")
	r.set(at(21), conns[8], stateActive, testLimits)
	victim, isKept = open(9)
	assert.Assert(t, !isKept && victim == nil, "all have a request in progress")
	r.bounds.EvictsActive = true
	victim, isKept = open(10)
	assert.Assert(t, isKept && victim == conns[0])

	assert.Assert(t, r.set(at(30), conns[6], stateBody, testLimits) == nil)
	assert.Assert(t, r.set(at(31), conns[7], stateBody, testLimits) == conns[6], "too many bodies")
	r = newRegistry(Bounds{HeadMemory: 1})
	for i := range minHeads {
		open(i)
		assert.Assert(t, r.set(at(40+i), conns[i], stateHead, testLimits) == nil)
	}
	open(9)
	assert.Assert(t, r.set(at(50), conns[9], stateHead, testLimits) == conns[0], "too many heads")
}

// Guards against connections that stay for ever, and against closing one whose bytes could not
// be read since the process was frozen.
func TestOverdueConnectionIsClosedAtTheSecondCheck(t *testing.T) {
	at := func(ms int) structs.Instant { return structs.Instant(time.Duration(ms) * time.Millisecond) }
	r := newRegistry(Bounds{})
	inHead, idle, active := &Conn{}, &Conn{}, &Conn{}
	for _, c := range []*Conn{inHead, idle, active} {
		r.open(at(0), c)
	}
	r.set(at(100), inHead, stateHead, testLimits)
	r.set(at(100), idle, stateIdle, testLimits)
	r.set(at(100), active, stateActive, testLimits)
	assert.Equal(t, len(r.overdue(at(1100), testLimits)), 0)
	assert.Equal(t, len(r.overdue(at(1101), testLimits)), 0)
	assert.DeepEqual(t, len(r.overdue(at(1300), testLimits)), 1)
	assert.Equal(t, r.counts(), [numStates]int{stateIdle: 1, stateActive: 1})
	assert.Equal(t, len(r.overdue(at(9000), testLimits)), 0)
	r.set(at(9001), idle, stateActive, testLimits)
	r.set(at(9002), idle, stateIdle, testLimits)
	assert.Equal(t, len(r.overdue(at(9500), testLimits)), 0, "it was used in between")
	assert.Equal(t, len(r.overdue(at(99_000), testLimits)), 0)
	assert.Equal(t, len(r.overdue(at(99_001), testLimits)), 1)
	assert.Equal(t, r.counts(), [numStates]int{stateActive: 1})
}

// Guards against a request that is passed on although its connection was closed as an idle one
// before the request was read, so that its answer is lost.
func TestConnectionThatIsClosedForAnotherSaysSo(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	guard := New("test", Bounds{Conns: 1}, func() Limits { return testLimits }, slog.New(slog.DiscardHandler))
	guarded := guard.Listen(listener)
	t.Cleanup(func() { guarded.Close() })
	accept := func() *Conn {
		client, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { client.Close() })
		accepted, err := guarded.Accept()
		assert.NilError(t, err)
		return accepted.(*Conn)
	}
	idle := accept()
	guard.RecordState(idle, http.StateActive)
	guard.RecordState(idle, http.StateIdle)
	assert.Assert(t, !idle.IsEvicted())
	newer := accept()
	guard.RecordState(idle, http.StateActive) // the server has just read a request
	assert.Assert(t, idle.IsEvicted() && !newer.IsEvicted())
}

// Guards against a refusal that the client can't read, a second answer after it, and limits
// that count over several requests of a connection or over a body.
func TestServerBehindAGuard(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := testLimits
	limits.HeadTimeout, limits.IdleTimeout = 300*time.Millisecond, 700*time.Millisecond
	guard := New("test", Bounds{Conns: 10}, func() Limits { return limits }, slog.New(slog.DiscardHandler))
	server := &http.Server{ConnState: guard.RecordState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	go func() { _ = server.Serve(guard.Listen(listener)) }()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = guard.Run(ctx) }()
	t.Cleanup(func() { server.Close() })
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	conn, reader := dial()
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\nX: " + strings.Repeat("a", 900) + "\r\n\r\n"
	for range 5 {
		_, err := io.WriteString(conn, head+strings.Repeat("\n", 5000))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("a", 4000)+"\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF)

	for _, sent := range []string{"GET / HTTP/1.1\r\nHost:", ""} {
		conn, reader = dial()
		_, err = io.WriteString(conn, sent)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = reader.ReadByte()
		assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err), "%q: %v", sent, err)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
