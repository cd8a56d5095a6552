package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"
)

// TokenHeader carries the operators' token as "Bearer <token>".
const TokenHeader = "Authorization"

const bearer = "Bearer "

// HashToken returns the form of a token that settings hold.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// guard lets operators through. An empty hash allows loopback peers only.
func guard(tokenHash string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tokenHash == "" && fromLoopback(r) {
			next.ServeHTTP(w, r)
			return
		}
		if tokenHash != "" && hasToken(r, tokenHash) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "operators only", http.StatusUnauthorized)
	})
}

func fromLoopback(r *http.Request) bool {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && peer.Addr().Unmap().IsLoopback()
}

func hasToken(r *http.Request, tokenHash string) bool {
	token, found := strings.CutPrefix(r.Header.Get(TokenHeader), bearer)
	have := HashToken(token)
	want := strings.ToLower(tokenHash)
	return found && subtle.ConstantTimeCompare([]byte(have), []byte(want)) == 1
}
