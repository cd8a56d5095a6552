package strictclient

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/endivecourse/endivecourse/internal/httpgrammar"
)

const (
	// maxPartBytes bounds a head and a trailer.
	maxPartBytes = 1 << 20
	// sizeBits bounds the size of a chunk, so that more can be added to it.
	sizeBits = 62
)

// state is the part of a response to which the next byte belongs.
type state uint8

const (
	unchecked state = iota // a body that is not chunked, or nothing that was requested
	inHead
	inChunkSize
	inChunk
	inTrailer
)

// checker follows the bytes of a connection as far as is needed to find the heads and trailers,
// and checks these. It leaves the framing to net/http: where the framing is invalid it checks no
// further, since net/http returns no whole response then. It is a state machine without I/O.
type checker struct {
	state  state
	method string
	part   []byte // of a head, trailer or chunk size that has not arrived whole
	line   int    // where the last line of part begins
	skip   int64  // bytes that are left of a chunk
}

// expect begins a response to a request with the given method.
func (c *checker) expect(method string) { *c = checker{state: inHead, method: method} }

// check takes the next bytes. Its error is an *httpgrammar.Error.
func (c *checker) check(p []byte) error {
	for len(p) > 0 && c.state != unchecked {
		if c.state == inChunk {
			n := min(int64(len(p)), c.skip)
			p, c.skip = p[n:], c.skip-n
			if c.skip == 0 {
				c.state = inChunkSize
			}
			continue
		}
		n := bytes.IndexByte(p, '\n') + 1
		isWholeLine := n > 0
		if !isWholeLine {
			n = len(p)
		}
		c.part, p = append(c.part, p[:n]...), p[n:]
		if len(c.part) > maxPartBytes {
			return &httpgrammar.Error{Part: httpgrammar.PartHead, Reason: "over " + strconv.Itoa(maxPartBytes) + " bytes"}
		}
		if !isWholeLine {
			return nil
		}
		if err := c.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// endLine handles a line that has arrived whole.
func (c *checker) endLine() error {
	line := strings.TrimSuffix(strings.TrimSuffix(string(c.part[c.line:]), "\n"), "\r")
	if c.state == inChunkSize {
		c.beginChunk(line)
		return nil
	}
	if line != "" {
		c.line = len(c.part)
		return nil
	}
	part := string(c.part)
	if c.state == inTrailer {
		c.begin(unchecked)
		return httpgrammar.CheckFields(httpgrammar.PartTrailer, part)
	}
	if err := httpgrammar.CheckHead([]byte(part)); err != nil {
		return err
	}
	c.endHead(part)
	return nil
}

// begin begins the next part.
func (c *checker) begin(next state) { c.state, c.part, c.line = next, c.part[:0], 0 }

// endHead begins what follows a head: another head after an informational one, chunks, or a body
// that needs no checks.
func (c *checker) endHead(head string) {
	const statusAt, digits = len("HTTP/1.1 "), len("200")
	status, err := strconv.Atoi(head[statusAt : statusAt+digits])
	isFinal := err != nil || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	hasBody := c.method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
	switch {
	case !isFinal:
		c.begin(inHead)
	case hasBody && isChunked(head):
		c.begin(inChunkSize)
	default:
		c.begin(unchecked)
	}
}

func isChunked(head string) bool {
	for line := range strings.Lines(head) {
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "Transfer-Encoding") && strings.EqualFold(strings.TrimSpace(value), "chunked") {
			return true
		}
	}
	return false
}

// beginChunk begins the chunk after the line of its size.
func (c *checker) beginChunk(line string) {
	text, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseInt(strings.TrimRight(text, " \t"), 16, sizeBits)
	switch {
	case err != nil || size < 0:
		c.begin(unchecked)
	case size == 0:
		c.begin(inTrailer)
	default:
		c.begin(inChunk)
		c.skip = size + int64(len("\r\n"))
	}
}
