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

const bearerPrefix = "Bearer "

// HashToken returns the hex SHA-256 of a token, the form that settings hold.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// requireOperator passes requests with the operators' token on to next and answers others
// with 401. With an empty hash it passes requests from loopback addresses only.
func requireOperator(tokenHash string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tokenHash == "" && isFromLoopback(r) {
			next.ServeHTTP(w, r)
			return
		}
		if tokenHash != "" && hasValidToken(r, tokenHash) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "operators only", http.StatusUnauthorized)
	})
}

func isFromLoopback(r *http.Request) bool {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && peer.Addr().Unmap().IsLoopback()
}

func hasValidToken(r *http.Request, tokenHash string) bool {
	token, found := strings.CutPrefix(r.Header.Get(TokenHeader), bearerPrefix)
	have := HashToken(token)
	want := strings.ToLower(tokenHash)
	return found && subtle.ConstantTimeCompare([]byte(have), []byte(want)) == 1
}
