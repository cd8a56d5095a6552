package rowstore

import (
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"
)

// hashedPrefix marks a text that stands for a longer one. Its characters need no escaping
// in a path.
const hashedPrefix = "~sha256~"

// FitKey returns the key of the row of something that a client has named: the name itself
// if the store can hold it, and otherwise HashKey. The store takes any UTF-8 of MaxKeyBytes.
func FitKey(name string) string {
	if len(name) <= MaxKeyBytes && utf8.ValidString(name) {
		return name
	}
	return HashKey(name)
}

// HashKey returns a text of 72 characters that different names do not share.
func HashKey(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hashedPrefix + hex.EncodeToString(sum[:])
}
