package gateway

import (
	"bytes"
	"regexp"
	"strings"

	"github.com/endivecourse/endivecourse/structs"
)

// minSecret is the shortest secret part of a key that is searched for by
// itself, in bytes.
const minSecret = 8

// secrets searches text for the presented key, and for anything that has the
// form of a key. Its zero value searches for the form alone.
type secrets struct{ text string }

// newSecrets searches for the secret part of a key, and so for any text that
// holds the whole key.
func newSecrets(presented, keyID string) secrets {
	secret, ok := strings.CutPrefix(presented, keyPrefix+keyID+"_")
	if ok && keyID != "" && len(secret) >= minSecret {
		return secrets{text: secret}
	}
	return secrets{text: presented}
}

// in reports whether the text holds a key as it is or escaped.
func (s secrets) in(text string) bool {
	if s.inPlain(text) {
		return true
	}
	return strings.ContainsAny(text, `%\`) && s.inPlain(unescape(text))
}

func (s secrets) inPlain(text string) bool {
	return s.text != "" && strings.Contains(text, s.text) || keyForm.MatchString(text)
}

// inBytes is in for a body.
func (s secrets) inBytes(body []byte) bool {
	if s.text != "" && bytes.Contains(body, []byte(s.text)) || keyForm.Match(body) {
		return true
	}
	return bytes.ContainsAny(body, `%\`) && s.in(string(body))
}

// keyForm is the form of every key that operators issue.
var keyForm = regexp.MustCompile(`ek_[a-z0-9-]{1,64}_[A-Za-z0-9]{8}`)

// maxEscapes is how many nested encodings are undone.
const maxEscapes = 3

// unescape decodes percent-encoding and JSON's escapes of single bytes,
// repeatedly, and leaves what is not valid.
func unescape(text string) string {
	for range maxEscapes {
		if !strings.ContainsAny(text, `%\`) {
			return text
		}
		text = unescapeOnce(text)
	}
	return text
}

func unescapeOnce(text string) string {
	var out strings.Builder
	for i := 0; i < len(text); {
		c, width := unescapeAt(text[i:])
		out.WriteByte(c)
		i += width
	}
	return out.String()
}

// jsonEscape begins the JSON escape of a character below 256.
const jsonEscape = `\u00`

// unescapeAt decodes the first character and returns its encoded length.
func unescapeAt(text string) (byte, int) {
	if text[0] == '%' && len(text) >= 3 && isHex(text[1]) && isHex(text[2]) {
		return fromHex(text[1])<<4 | fromHex(text[2]), 3
	}
	if strings.HasPrefix(text, jsonEscape) && len(text) >= 6 && isHex(text[4]) && isHex(text[5]) {
		return fromHex(text[4])<<4 | fromHex(text[5]), 6
	}
	return text[0], 1
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

func fromHex(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c >= 'a':
		return c - 'a' + 10
	}
	return c - 'A' + 10
}

// checkCall is the last step before a call goes to the wire: it refuses one
// that holds a key in any field that could reach a target or a history.
func (s secrets) checkCall(call *structs.Call) error {
	if s.in(call.IdempotencyKey) || s.in(string(call.Program)) || s.in(call.Kind) {
		return badRequest("headers", "a key may not be part of an identifier")
	}
	if call.Model != nil {
		for _, m := range call.Model.Messages {
			if s.in(m.Role) || s.in(m.Content) {
				return badRequest("messages", "a key may not be part of a message")
			}
		}
	}
	if call.Plain != nil {
		return s.checkPlain(call.Plain)
	}
	return nil
}

func (s secrets) checkPlain(plain *structs.PlainCall) error {
	if s.in(plain.Path) || s.in(plain.Method) {
		return badRequest("path", "a key may not be part of the path")
	}
	for name, values := range plain.Header {
		for _, value := range values {
			if s.in(name) || s.in(value) {
				return badRequest("headers", "a key may not be part of a header")
			}
		}
	}
	if s.inBytes(plain.Body) {
		return badRequest("body", "a key may not be part of the body")
	}
	return nil
}
