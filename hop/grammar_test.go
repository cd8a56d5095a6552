package hop

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fieldsOutsideGrammar are lines of a head or trailer that are no fields.
var fieldsOutsideGrammar = map[string]string{
	"blank in the name":        "X Own: 1",
	"blank after the name":     "X-Own : 1",
	"blank after a framing":    "Content-Length : 5",
	"blank in a framing":       "Content Length: 5",
	"blank before the name":    " X-Own: 1",
	"tab before the name":      "\tContent-Length: 3",
	"tab after the name":       "X-Own\t: 1",
	"only a blank":             " ",
	"blank as the name":        " : 1",
	"no name":                  ": 1",
	"no colon":                 "X-Own",
	"null byte in the name":    "X-\x00Own: 1",
	"control byte in the name": "X-\x01Own: 1",
	"delete in the name":       "X-Own\x7f: 1",
	"vertical tab":             "\vX-Own: 1",
	"carriage return":          "X-\rOwn: 1",
	"carriage return before":   "\rX-Own: 1",
	"separator in the name":    "X(Own): 1",
	"quote in the name":        "\"X-Own\": 1",
	"byte above ASCII":         "X-\xc3\x96wn: 1",
	"null byte in the value":   "X-Own: a\x00b",
	"carriage return in value": "X-Own: a\rb",
}

// Guards against MIXED: an answer whose head has a field that the grammar does not allow, on its
// first, a middle or its last line, must not reach a caller, also one that net/http lets pass.
func TestFieldsOutsideGrammarAreRejected(t *testing.T) {
	const id, length = idHeader + ": a\r\n", "Content-Length: 5\r\n"
	for name, field := range fieldsOutsideGrammar {
		field += "\r\n"
		for line, fields := range map[string]string{"first": field + id + length, "middle": id + field + length, "last": id + length + field} {
			for _, isKept := range []bool{false, true} {
				for _, status := range []string{"200 OK", "503 x", "103 Early Hints"} {
					got := fetch(t, "GET", "HTTP/1.1 "+status+"\r\n"+fields+"\r\nhello", closes, isKept)
					assert.Check(t, got.err != nil && !got.isReusable && IsWrongResponse(got.err), "%s, %s line, %s, kept %v: %+v", name, line, status, isKept, got)
				}
			}
		}
	}
}

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
