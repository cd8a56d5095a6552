package hop

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against MIXED: a chunked answer whose trailer has a line that the grammar does not allow
// must not pass for whole.
func TestTrailersOutsideGrammarAreRejected(t *testing.T) {
	const chunks = answerHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
	lines := map[string]string{
		"no end":       "X-Own: 1\r\n",
		"bare feed":    "\n",
		"over a limit": strings.Repeat("X-Own: 1\r\n", maxTrailerBytes/10+1) + "\r\n",
		"long line":    "X-Own: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n\r\n",
	}
	for name, field := range fieldsOutsideGrammar {
		lines[name] = field + "\r\n\r\n"
		lines[name+", first line"] = field + "\r\nX-More: 1\r\n\r\n"
		lines[name+", last line"] = "X-More: 1\r\n" + field + "\r\n\r\n"
	}
	for name, trailer := range lines {
		for _, isKept := range []bool{false, true} {
			got := fetch(t, "GET", chunks+trailer, closes, isKept)
			assert.Check(t, got.err != nil && !got.isReusable, "%s, kept %v: %+v", name, isKept, got)
		}
	}
	got := fetch(t, "GET", chunks+"X-Own: 1\r\nX-More:\r\n\r\n", keepsOpen, false)
	assert.Check(t, got.err == nil && got.body == "hello" && got.isReusable, "%+v", got)
}
