package hop

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/endivecourse/endivecourse/internal/connend"
)

const (
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that is written before the response
	// is read. A longer one might fill the target's receive window while the
	// target is writing its response.
	maxInlineBodyBytes = 8 << 10
	// maxStrayResponses bounds the responses to other requests that are skipped.
	maxStrayResponses = 3
	// maxStrayBytes bounds the body of such a response.
	maxStrayBytes = 1 << 20
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// MaxResponseBytes bounds a whole response, with its framing.
	MaxResponseBytes = 16 << 20
)

// ResponseTooLargeError reports that a target sent more bytes than a response or its
// head may have. They may be no response at all, and never end.
type ResponseTooLargeError struct {
	Part string // "head" or "response"
	Max  int
}

// Error names the part and the limit.
func (e *ResponseTooLargeError) Error() string {
	return "the target's " + e.Part + " is over " + strconv.Itoa(e.Max) + " bytes"
}

// boundedReader reads from a connection and fails once a response has used up its
// bytes.
type boundedReader struct {
	net  net.Conn
	left int
	part string
	max  int
	// recorded holds the bytes read since record was called.
	recorded    []byte
	isRecording bool
}

// record starts to keep the bytes that are read, after those that were read before.
func (r *boundedReader) record(before []byte) {
	r.recorded, r.isRecording = bytes.Clone(before), true
}

// stopRecording returns the recorded bytes.
func (r *boundedReader) stopRecording() []byte {
	recorded := r.recorded
	r.recorded, r.isRecording = nil, false
	return recorded
}

// allow starts a new bound.
func (r *boundedReader) allow(part string, max int) { r.part, r.left, r.max = part, max, max }

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, &ResponseTooLargeError{Part: r.part, Max: r.max}
	}
	n, err := r.net.Read(p[:min(len(p), r.left)])
	r.left -= n
	if r.isRecording {
		r.recorded = append(r.recorded, p[:n]...)
	}
	return n, err
}

// StrayResponseError reports that responses to other requests arrived, and none to this one
// after them.
type StrayResponseError struct{ ID string }

// Error names the ID of the last response.
func (e *StrayResponseError) Error() string {
	return "answer to another request, " + strconv.Quote(e.ID)
}

// AnonymousResponseError reports a response without a request ID where the response to a
// request was expected: nothing shows that it belongs to that request.
type AnonymousResponseError struct{ Status int }

// Error names the status.
func (e *AnonymousResponseError) Error() string {
	return "response with status " + strconv.Itoa(e.Status) + " has no request ID"
}

// Expected identifies the response to a request.
type Expected struct {
	// IDHeader is the header in which the target repeats the request's ID.
	IDHeader, ID string
	// IsRepeatable reports that the request may be sent to another target if this one answers
	// with bytes that belong to no request.
	IsRepeatable bool
}

// Conn is one connection to a target; it carries one request at a time.
type Conn struct {
	net                 net.Conn
	stream              *connend.Conn // reads and writes net
	address             string
	bounded             *boundedReader
	reader              *bufio.Reader // reads from bounded
	expires             time.Time     // when the pooled connection must no longer be used
	closesAfterResponse bool          // the target closes the connection after this response
	hasStrayBytes       bool          // data that belongs to no request has arrived
	isUnanswered        bool          // no response was read to its end since the request was sent
	isReused            bool          // it has carried another request before
	connectTime         time.Duration // from the attempt to connect until the target accepted
	idleTimeout         time.Duration // stated by the target, less idleMargin
	writeDone           chan error
}

func newConn(nc net.Conn, address string) *Conn {
	stream := connend.New(nc)
	bounded := &boundedReader{net: stream}
	return &Conn{net: nc, stream: stream, address: address, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes)}
}

// Close closes the connection, which makes the target abandon its request.
func (c *Conn) Close() { c.net.Close() }

// IsReused reports whether the connection has carried another request before.
func (c *Conn) IsReused() bool { return c.isReused }

// ConnectTime returns how long it took to connect.
func (c *Conn) ConnectTime() time.Duration { return c.connectTime }

// IdleTimeout returns how long the connection may stay idle in the pool after the last
// response, 0 before the first.
func (c *Conn) IdleTimeout() time.Duration { return c.idleTimeout }

// isUsable reports whether another request can be sent on an idle connection: it
// has not expired, is not closed and holds no unread data.
func (c *Conn) isUsable(now time.Time) bool {
	return now.Before(c.expires) && !hasInput(c.net)
}

// hasInput reports whether a read would not block: because of data, end of file or
// a reset.
func hasInput(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	input := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		input = !errors.Is(err, unix.EAGAIN)
		return true
	})
	return input || err != nil
}

// RoundTrip sends a request and returns the response that carries its ID, with the
// body unread. The connection is closed when ctx ends, unless stop has been called
// before.
func (c *Conn) RoundTrip(ctx context.Context, req *http.Request, body []byte, expected Expected) (resp *http.Response, stop func() bool, err error) {
	stop = context.AfterFunc(ctx, c.Close)
	c.isUnanswered = true
	if err := c.writeRequest(req, body); err != nil {
		// The target may have answered before it has read the whole request.
		resp, readErr := c.readResponse(req, expected)
		if readErr == nil {
			c.closesAfterResponse = true
			return resp, stop, nil
		}
		stop()
		return nil, nil, errors.Wrap(err, "send request")
	}
	resp, err = c.readResponse(req, expected)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return resp, stop, nil
}

func (c *Conn) writeRequest(req *http.Request, body []byte) error {
	c.writeDone = nil
	var buf bytes.Buffer
	buf.Grow(1024 + min(len(body), maxInlineBodyBytes))
	req.ContentLength = int64(len(body))
	req.Body = http.NoBody
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	if len(body) <= maxInlineBodyBytes {
		if err := req.Write(&buf); err != nil {
			return err
		}
		_, err := c.stream.Write(buf.Bytes())
		return err
	}
	c.writeDone = make(chan error, 1)
	go func() {
		buffered := bufio.NewWriterSize(c.stream, maxInlineBodyBytes)
		err := req.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		c.writeDone <- err
	}()
	return nil
}

// readResponse returns the response with the expected ID. Responses to other requests are
// skipped. One without any ID ends the wait, unless it may be a late copy of an earlier
// response: then a request that can't be repeated still waits for its own.
func (c *Conn) readResponse(req *http.Request, expected Expected) (*http.Response, error) {
	responseID := ""
	for range maxStrayResponses + 1 {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		responseID = resp.Header.Get(expected.IDHeader)
		for _, other := range resp.Header.Values(expected.IDHeader) {
			if other != responseID {
				return nil, &InvalidHeadError{Reason: "two request IDs"}
			}
		}
		if responseID == expected.ID && responseID != "" {
			c.recordExpiry(resp)
			c.isUnanswered = resp.Body != http.NoBody
			resp.Body = &responseBody{ReadCloser: resp.Body, conn: c}
			return resp, nil
		}
		mayBeLateCopy := c.isReused || c.hasStrayBytes
		c.hasStrayBytes = true
		if responseID == "" && (expected.IsRepeatable || !mayBeLateCopy) {
			return nil, &AnonymousResponseError{Status: resp.StatusCode}
		}
		if !skipBody(resp) {
			break
		}
	}
	return nil, &StrayResponseError{ID: responseID}
}

// skipBody reads the body of a stray response. It reports false if the next response can't
// be found, since the body is incomplete, too long or ends with its connection.
func skipBody(resp *http.Response) bool {
	if resp.Body == http.NoBody {
		return true
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
	return err == nil && n <= maxStrayBytes
}

func (c *Conn) recordExpiry(resp *http.Response) {
	c.closesAfterResponse = c.closesAfterResponse || resp.Close
	c.idleTimeout = idleTimeout(resp.Header)
	c.expires = time.Now().Add(c.idleTimeout)
}

// idleTimeout returns how long a connection may stay idle in the pool.
func idleTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			seconds = min(max(seconds, 0), int(maxIdleTimeout/time.Second))
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return DefaultIdleTimeout
}

// isReusable reports whether another request may be sent after the response was
// read completely.
func (c *Conn) isReusable() bool {
	if c.closesAfterResponse || c.hasStrayBytes || c.isUnanswered || c.reader.Buffered() > 0 {
		return false
	}
	if c.writeDone == nil {
		return true
	}
	select {
	case err := <-c.writeDone:
		return err == nil
	default:
		return false // the request's body is still being written
	}
}
