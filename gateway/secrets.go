package gateway

import (
	"bytes"
	"regexp"
	"strings"

	"github.com/endivecourse/endivecourse/structs"
)

// minSecretLen is the shortest secret part of a key that is searched for without the
// rest of the key, in bytes.
const minSecretLen = 8

// keyDetector finds the presented key, and anything that has the form of a key, in
// text. Its zero value looks only for the form.
type keyDetector struct{ keyText string }

// newKeyDetector returns a detector for the secret part of a key, which also finds the
// whole key. It searches for the whole text when the key is malformed, unknown or has a
// short secret.
func newKeyDetector(presented, keyID string) keyDetector {
	secret, ok := strings.CutPrefix(presented, keyPrefix+keyID+"_")
	if ok && keyID != "" && len(secret) >= minSecretLen {
		return keyDetector{keyText: secret}
	}
	return keyDetector{keyText: presented}
}

// hasKey reports whether the text contains a key, plain or escaped.
func (s keyDetector) hasKey(text string) bool {
	if s.hasUnescapedKey(text) {
		return true
	}
	return strings.ContainsAny(text, `%\`) && s.hasUnescapedKey(unescape(text))
}

func (s keyDetector) hasUnescapedKey(text string) bool {
	return s.keyText != "" && strings.Contains(text, s.keyText) || keyPattern.MatchString(text)
}

// hasKeyInBody is hasKey for a request body.
func (s keyDetector) hasKeyInBody(body []byte) bool {
	if s.keyText != "" && bytes.Contains(body, []byte(s.keyText)) || keyPattern.Match(body) {
		return true
	}
	return bytes.ContainsAny(body, `%\`) && s.hasKey(string(body))
}

// keyPattern matches the form of every key that operators issue.
var keyPattern = regexp.MustCompile(`ek_[a-z0-9-]{1,64}_[A-Za-z0-9]{8}`)

// maxUnescapePasses is how many levels of nested escaping are decoded.
const maxUnescapePasses = 3

// unescape repeatedly decodes percent-encoding and the JSON escapes of single bytes.
// Invalid escapes stay as they are.
func unescape(text string) string {
	for range maxUnescapePasses {
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

// jsonEscapePrefix starts the JSON escape of a character below 256.
const jsonEscapePrefix = `\u00`

// unescapeAt decodes the first byte of the text and returns the length of its encoding.
func unescapeAt(text string) (byte, int) {
	if text[0] == '%' && len(text) >= 3 && isHex(text[1]) && isHex(text[2]) {
		return fromHex(text[1])<<4 | fromHex(text[2]), 3
	}
	if strings.HasPrefix(text, jsonEscapePrefix) && len(text) >= 6 && isHex(text[4]) && isHex(text[5]) {
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

// checkCall is the last check before a call is forwarded: it refuses a call with a key
// in any field that could reach a target or be stored in a history.
func (s keyDetector) checkCall(call *structs.Call) error {
	if s.hasKey(call.IdempotencyKey) || s.hasKey(string(call.Program)) || s.hasKey(call.Kind) {
		return badRequest("headers", "a key may not be part of an identifier")
	}
	if call.Model != nil {
		for _, m := range call.Model.Messages {
			if s.hasKey(m.Role) || s.hasKey(m.Content) {
				return badRequest("messages", "a key may not be part of a message")
			}
		}
	}
	if call.Plain != nil {
		return s.checkPlain(call.Plain)
	}
	return nil
}

func (s keyDetector) checkPlain(plain *structs.PlainCall) error {
	if s.hasKey(plain.Path) || s.hasKey(plain.Method) {
		return badRequest("path", "a key may not be part of the path")
	}
	for name, values := range plain.Header {
		for _, value := range values {
			if s.hasKey(name) || s.hasKey(value) {
				return badRequest("headers", "a key may not be part of a header")
			}
		}
	}
	if s.hasKeyInBody(plain.Body) {
		return badRequest("body", "a key may not be part of the body")
	}
	return nil
}
