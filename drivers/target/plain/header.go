package plain

import (
	"net/http"
	"net/textproto"
)

// forwarded lists the request headers that may reach a target. Headers that
// carry keys (Authorization, Cookie, X-Api-Key) must never be added.
var forwarded = map[string]bool{
	"Accept":            true,
	"Accept-Language":   true,
	"Content-Encoding":  true,
	"Content-Language":  true,
	"Content-Type":      true,
	"Idempotency-Key":   true,
	"If-Match":          true,
	"If-Modified-Since": true,
	"If-None-Match":     true,
	"Range":             true,
	"Traceparent":       true,
	"Tracestate":        true,
}

// hopByHop lists the answer headers that belong to one connection.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// requestHeader keeps the headers that may reach a target.
func requestHeader(all map[string][]string) http.Header {
	kept := make(http.Header)
	for name, values := range all {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if forwarded[name] {
			kept[name] = append(kept[name], values...)
		}
	}
	return kept
}

// answerHeader keeps the headers that may go back to a caller.
func answerHeader(all http.Header) map[string][]string {
	kept := make(map[string][]string, len(all))
	for name, values := range all {
		if !hopByHop[name] {
			kept[name] = values
		}
	}
	return kept
}
