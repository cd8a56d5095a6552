package hop

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/internal/httpgrammar"
)

// HeadError reports that no complete head of a response arrived.
type HeadError struct{ Cause error }

// Error names the cause.
func (e *HeadError) Error() string { return "read answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Cause }

// isMalformed reports whether bytes arrived that are no head of a response.
func (e *HeadError) isMalformed() bool {
	var network net.Error
	hasEnded := errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF)
	return !hasEnded && !errors.As(e.Cause, &network)
}

// InvalidHeadError reports a complete head from which the request, the meaning or the end
// of the response can't be told for certain.
type InvalidHeadError struct{ Reason string }

// Error includes the reason.
func (e *InvalidHeadError) Error() string { return "invalid head of the answer: " + e.Reason }

// readHead reads a status line and headers. net/http resolves some contradictions about the
// framing by dropping a header, so the head is checked as it was sent.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	c.bounded.allow("head", maxHeadBytes)
	unread, _ := c.reader.Peek(c.reader.Buffered())
	c.bounded.record(unread)
	resp, err := http.ReadResponse(c.reader, req)
	head := c.bounded.stopRecording()
	c.bounded.allow("response", MaxResponseBytes)
	if err != nil {
		return nil, &HeadError{Cause: err}
	}
	if reason := invalidHead(resp, head[:len(head)-c.reader.Buffered()]); reason != "" {
		return nil, &InvalidHeadError{Reason: reason}
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = newChunkedBody(c.reader)
	}
	return resp, nil
}

// invalidHead returns why a head must not be believed, empty if it may be.
func invalidHead(resp *http.Response, head []byte) string {
	if err := httpgrammar.CheckHead(head); err != nil {
		return err.Error()
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return "unexpected status " + resp.Status
	}
	hasLength, hasEncoding := false, false
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasLength = hasLength || strings.EqualFold(string(name), "Content-Length")
		hasEncoding = hasEncoding || strings.EqualFold(string(name), "Transfer-Encoding")
	}
	switch {
	case hasEncoding && hasLength:
		return "both Content-Length and Transfer-Encoding"
	case hasEncoding && resp.ProtoMinor == 0:
		return "Transfer-Encoding in HTTP/1.0"
	}
	return ""
}

// IsWrongResponse reports whether an error of RoundTrip means that the target has sent bytes
// which are not the response to the request. The connection worked until then.
func IsWrongResponse(err error) bool {
	var anonymous *AnonymousResponseError
	var stray *StrayResponseError
	var invalid *InvalidHeadError
	var tooLarge *ResponseTooLargeError
	var head *HeadError
	return errors.As(err, &anonymous) || errors.As(err, &stray) || errors.As(err, &invalid) ||
		errors.As(err, &tooLarge) || errors.As(err, &head) && head.isMalformed()
}
