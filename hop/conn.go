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
)

const (
	bufferBytes = 4 << 10
	// inlineBody is the largest body that is written before the answer is
	// read. A longer one might fill the target's window while it answers.
	inlineBody = 8 << 10
	// maxStrays bounds the answers to other requests that are passed over.
	maxStrays = 3
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

// StrayResponseError says that only answers to other requests arrived.
type StrayResponseError struct{ ID string }

// Error gives the ID of the last one.
func (e *StrayResponseError) Error() string {
	return "answer to another request, " + strconv.Quote(e.ID)
}

// Conn is one connection to a target; it carries one request at a time.
type Conn struct {
	net     net.Conn
	address string
	reader  *bufio.Reader
	expires time.Time // when the pooled connection is given up
	close   bool      // the target closes after this answer
	stray   bool      // bytes that belong to no request were seen
	writing chan error
}

func newConn(nc net.Conn, address string) *Conn {
	return &Conn{net: nc, address: address, reader: bufio.NewReaderSize(nc, bufferBytes)}
}

// Close closes the connection, which makes the target drop its request.
func (c *Conn) Close() { c.net.Close() }

// usable reports whether an idle connection can still be written to: it is
// neither closed nor holds bytes that nobody asked for.
func (c *Conn) usable(now time.Time) bool {
	return now.Before(c.expires) && !hasInput(c.net)
}

// hasInput reports whether a read would not block: bytes, end of file or reset.
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

// RoundTrip sends a request and returns the answer that carries its ID, with
// the body unread. The connection is closed when ctx ends, until stop is
// called.
func (c *Conn) RoundTrip(ctx context.Context, req *http.Request, body []byte, id, idHeader string) (resp *http.Response, stop func() bool, err error) {
	stop = context.AfterFunc(ctx, c.Close)
	if err := c.write(req, body); err != nil {
		// The target may have answered before it read the whole request.
		resp, readErr := c.read(req, id, idHeader)
		if readErr == nil {
			c.close = true
			return resp, stop, nil
		}
		stop()
		return nil, nil, errors.Wrap(err, "send request")
	}
	resp, err = c.read(req, id, idHeader)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return resp, stop, nil
}

func (c *Conn) write(req *http.Request, body []byte) error {
	c.writing = nil
	var out bytes.Buffer
	out.Grow(1024 + min(len(body), inlineBody))
	req.ContentLength = int64(len(body))
	req.Body = http.NoBody
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	if len(body) <= inlineBody {
		if err := req.Write(&out); err != nil {
			return err
		}
		_, err := c.net.Write(out.Bytes())
		return err
	}
	c.writing = make(chan error, 1)
	go func() {
		buffered := bufio.NewWriterSize(c.net, inlineBody)
		err := req.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		c.writing <- err
	}()
	return nil
}

// read returns the answer with the wanted ID. An answer without any ID is taken
// for it too.
func (c *Conn) read(req *http.Request, id, idHeader string) (*http.Response, error) {
	other := ""
	for range maxStrays + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		other = resp.Header.Get(idHeader)
		if other == id || other == "" && !c.stray {
			c.noteEnd(resp)
			return resp, nil
		}
		c.stray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, errors.Wrap(err, "skip the answer to another request")
		}
	}
	return nil, &StrayResponseError{ID: other}
}

func (c *Conn) noteEnd(resp *http.Response) {
	c.close = c.close || resp.Close
	c.expires = time.Now().Add(idleTime(resp.Header))
}

// idleTime returns how long the target keeps an idle connection.
func idleTime(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// reusable reports whether another request may follow the answer that was read
// to its end.
func (c *Conn) reusable() bool {
	if c.close || c.stray || c.reader.Buffered() > 0 {
		return false
	}
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		return err == nil
	default:
		return false // the request's body is still under way
	}
}
