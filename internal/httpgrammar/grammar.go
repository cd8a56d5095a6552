// Package httpgrammar checks the heads and trailers of HTTP/1 responses against the grammar of
// RFC 9110 and RFC 9112. net/http accepts some that the grammar does not allow: statuses such as
// 000, blanks in the names of fields, fields without a name, and lines that continue the one
// before.
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
	PartHead       = "head"
	PartTrailer    = "trailer"
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

// CheckHeader checks the names of parsed fields of a head or trailer. Its error is an *Error.
// Fields that net/http drops or joins with others can only be found by CheckHead and CheckFields.
func CheckHeader(part string, header http.Header) error {
	for name := range header {
		if err := checkName(part, name); err != nil {
			return err
		}
	}
	return nil
}

// CheckHead checks a whole head as it was sent, from the status line on. Its error is an *Error.
func CheckHead(head []byte) error {
	line, fields, _ := strings.Cut(string(head), "\n")
	if err := checkStatusLine(strings.TrimSuffix(line, "\r")); err != nil {
		return err
	}
	return CheckFields(PartHead, fields)
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

// CheckFields checks the lines of a part's fields up to the empty line that ends them. Its error
// is an *Error.
func CheckFields(part, lines string) error {
	for line := range strings.Lines(lines) {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if line == "" {
			return nil
		}
		name, value, hasColon := strings.Cut(line, ":")
		if !hasColon {
			return &Error{Part: part, Reason: "line " + quote(line) + " is no field"}
		}
		if err := checkName(part, name); err != nil {
			return err
		}
		if !httpguts.ValidHeaderFieldValue(value) {
			return &Error{Part: part, Reason: "control byte in the value of field " + quote(name)}
		}
	}
	return nil
}

// quote quotes the start of a text.
func quote(text string) string { return strconv.Quote(text[:min(len(text), maxQuotedBytes)]) }

// checkName checks that a name is a token. A line that continues the one before, by a blank in
// front, has a blank in its name too.
func checkName(part, name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &Error{Part: part, Reason: "name of field " + quote(name) + " is not a token"}
	}
	return nil
}
