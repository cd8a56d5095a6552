package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	keyPrefix      = "ek_"
	keyIDBytes     = 8
	keySecretBytes = 32
	maxKeyIDBytes  = 64
	// maxPresentedBytes bounds the work of checking a presented key.
	maxPresentedBytes = 256
)

// NewKey generates a key with random bytes from r. The operator sees the
// presented form once; only the salted hash is stored.
func NewKey(r io.Reader) (presented string, keyID string, key Key, err error) {
	var random [keyIDBytes + keySecretBytes + keySaltBytes]byte
	if _, err := io.ReadFull(r, random[:]); err != nil {
		return "", "", Key{}, errors.Wrap(err, "generate key")
	}
	keyID = hex.EncodeToString(random[:keyIDBytes])
	secret := hex.EncodeToString(random[keyIDBytes : keyIDBytes+keySecretBytes])
	salt := random[keyIDBytes+keySecretBytes:]
	hash := hashSecret(salt, secret)
	key = Key{Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(hash[:])}
	return keyPrefix + keyID + "_" + secret, keyID, key, nil
}

func hashSecret(salt []byte, secret string) [sha256.Size]byte {
	input := make([]byte, 0, len(salt)+len(secret))
	input = append(input, salt...)
	input = append(input, secret...)
	return sha256.Sum256(input)
}

// splitKey splits a presented key into key ID and secret.
func splitKey(presented string) (keyID, secret string, ok bool) {
	rest, found := strings.CutPrefix(presented, keyPrefix)
	if !found || len(presented) > maxPresentedBytes {
		return "", "", false
	}
	keyID, secret, found = strings.Cut(rest, "_")
	return keyID, secret, found && keyID != "" && secret != ""
}

func isValidKeyID(id string) bool {
	for _, r := range id {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return id != "" && len(id) <= maxKeyIDBytes
}

// storedKey is a decoded Key.
type storedKey struct {
	salt []byte
	hash []byte
}

func decodeKey(k Key) (storedKey, bool) {
	salt, saltErr := hex.DecodeString(k.Salt)
	hash, hashErr := hex.DecodeString(k.Hash)
	return storedKey{salt: salt, hash: hash}, saltErr == nil && hashErr == nil && len(hash) == sha256.Size
}

// matches reports whether the secret belongs to the key. It compares in constant
// time.
func (k storedKey) matches(secret string) bool {
	hash := hashSecret(k.salt, secret)
	return subtle.ConstantTimeCompare(hash[:], k.hash) == 1
}
