// Package broken is a stand-in server whose answers HTTP does not allow or that break off.
package broken

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Serve answers each request with raw bytes and closes the connection. It returns its host:port.
func Serve(t testing.TB, raw string) (address string) {
	return serve(t, func(nc net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(nc, raw)
	})
}

// resetPause is the time between an answer and the reset after it.
const resetPause = 2 * time.Millisecond

// ServeAndReset answers each request before it has read the request's body, and resets the
// connection a moment later: a client that uploads more than the socket buffers hold is still
// writing then. It returns its host:port.
func ServeAndReset(t testing.TB, raw string) (address string) {
	return serve(t, func(nc net.Conn, _ *http.Request) {
		_, _ = io.WriteString(nc, raw)
		time.Sleep(resetPause)
		_ = nc.(*net.TCPConn).SetLinger(0)
	})
}

func serve(t testing.TB, answer func(nc net.Conn, req *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if req, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
					answer(nc, req)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Answers returns answers that must not be believed, by what is wrong with them: with statuses
// that HTTP does not know, and with the given status and fields that are none in their heads and
// trailers, or without their end. Each line of header ends with CRLF.
func Answers(status, header, body string) map[string]string {
	const chunked = "Transfer-Encoding: chunked\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	answers := make(map[string]string)
	for _, unknown := range []string{"000 x", "099 x", "600 x", "999 x", "20 x", "+20 x", "2000 x"} {
		answers["status "+unknown] = "HTTP/1.1 " + unknown + "\r\n" + header + length + "\r\n" + body
	}
	head := "HTTP/1.1 " + status + "\r\n" + header
	for _, field := range []string{"X Own: 1", "X-Own : 1", ": 1", "X-\x01Own: 1", "X-\x00Own: 1"} {
		answers["first line "+field] = "HTTP/1.1 " + status + "\r\n" + field + "\r\n" + header + length + "\r\n" + body
		answers["last line "+field] = head + length + field + "\r\n\r\n" + body
		if body != "" {
			answers["trailer "+field] = fmt.Sprintf("%s%s\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", head, chunked, len(body), body, field)
		}
	}
	answers["joined line"] = head + "X-Own: 1\r\n\tX-More: 1\r\n" + length + "\r\n" + body
	answers["cut length"] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body)
	answers["no last chunk"] = fmt.Sprintf("%s%s\r\n1\r\n{\r\n", head, chunked)
	return answers
}
