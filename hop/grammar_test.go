package hop

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against MIXED: an answer whose first line the grammar does not allow must not reach a
// caller.
func TestStatusLinesOutsideGrammarAreRejected(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 x", "HTTP/1.1 000", "HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 0x1 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
		"HTTP/1.1 200\tOK", "HTTP/1.1 \x00200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", "http/1.1 200 OK",
		"HTTP/1.1", "HTTP/1.1 ", " HTTP/1.1 200 OK", "HTTP/01.1 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK",
	} {
		for _, isKept := range []bool{false, true} {
			got := fetch(t, "GET", line+"\r\n"+idHeader+": a\r\nContent-Length: 5\r\n\r\nhello", closes, isKept)
			assert.Check(t, got.err != nil && !got.isReusable && IsWrongResponse(got.err), "%q, kept %v: %+v", line, isKept, got)
		}
	}
}

// Heads that the grammar, or a rule of leniency in RFC 9112, allows.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	const rest = idHeader + ": a\r\nContent-Length: 5\r\n\r\nhello"
	for _, head := range []string{
		"HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 299 \xc3\x96K\tfine\r\n", "HTTP/1.1 599 x\r\n", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n",
		"HTTP/1.1 200 OK\r\nX-Own:\r\n", "HTTP/1.1 200 OK\r\nX-Own:a\t b\xff \r\n", "HTTP/1.1 200 OK\nX-Own: 1\n",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n",
	} {
		got := fetch(t, "GET", head+rest, keepsOpen, false)
		assert.Check(t, got.err == nil && got.body == "hello", "%.60q: %v", head, got.err)
	}
}
