// Package httpgrammar checks the heads of HTTP/1 responses against the grammar of RFC 9110 and
// RFC 9112. net/http accepts some that the grammar does not allow, for example statuses such as
// 000 and 999.
package httpgrammar

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Parts of a response, as an Error names them.
const (
	PartStatusLine = "status line"
)

// Statuses that the grammar gives a meaning.
const (
	minStatus = 100
	maxStatus = 599
)

const (
	// statusDigits is the length of a status.
	statusDigits = 3
	// maxQuotedBytes bounds what an Error quotes of a response.
	maxQuotedBytes = 80
)

// Error reports a part of a response that the grammar does not allow.
type Error struct{ Part, Reason string }

// Error names the part and what is wrong with it.
func (e *Error) Error() string { return e.Part + " of the response: " + e.Reason }

// CheckStatus checks a status that has been parsed. Its error is an *Error.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &Error{Part: PartStatusLine, Reason: "status " + strconv.Itoa(status) + " is not in 100 to 599"}
	}
	return nil
}

// CheckHead checks the status line of a head as it was sent. Its error is an *Error.
func CheckHead(head []byte) error {
	line, _, _ := strings.Cut(string(head), "\n")
	return checkStatusLine(strings.TrimSuffix(line, "\r"))
}

// checkStatusLine checks "HTTP/1.x status reason". The blank after the status may be missing if
// there is no reason: RFC 9112 lets recipients accept this.
func checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	major, _, isVersion := http.ParseHTTPVersion(version)
	switch {
	case !isVersion || major != 1:
		return &Error{Part: PartStatusLine, Reason: "version " + quote(version) + " is not HTTP/1"}
	case len(status) != statusDigits || strings.Trim(status, "0123456789") != "":
		return &Error{Part: PartStatusLine, Reason: "status " + quote(status) + " is not three digits"}
	case !httpguts.ValidHeaderFieldValue(reason):
		return &Error{Part: PartStatusLine, Reason: "control byte in the reason " + quote(reason)}
	}
	number, err := strconv.Atoi(status)
	if err != nil {
		return &Error{Part: PartStatusLine, Reason: err.Error()}
	}
	return CheckStatus(number)
}

// quote quotes the start of a text.
func quote(text string) string { return strconv.Quote(text[:min(len(text), maxQuotedBytes)]) }
