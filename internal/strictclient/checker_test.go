package strictclient

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes that crash the checker, and a verdict that depends on how they are split
// into reads.
func FuzzChecker(f *testing.F) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", chunks + "5;x\r\nhello\r\n0\r\nX-Own: 1\r\n\r\n", chunks + "5\r\nhello\r\n0\r\nX Own: 1\r\n\r\n",
		chunks + "3fffffffffffffff\r\nx", chunks + "ffffffffffffffff\r\nx", chunks + "-1\r\nx", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 000 x\r\n\r\n", "\r\n", "HTTP/1.1\n\n",
	} {
		f.Add([]byte(raw), uint8(1), false)
		f.Add([]byte(raw), uint8(7), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, size uint8, isHead bool) {
		method := map[bool]string{false: "GET", true: "HEAD"}[isHead]
		var whole, split checker
		whole.expect(method)
		split.expect(method)
		want := whole.check(raw)
		var got error
		for rest := raw; len(rest) > 0 && got == nil; {
			n := min(len(rest), int(size)+1)
			got = split.check(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, got == nil, want == nil, "%q: %v, %v", raw, got, want)
	})
}
