package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearerPrefix        = "Bearer "
	keyPrefix           = "ek_"
)

// staleRetryAfter is the Retry-After of a request refused for a stale configuration.
const staleRetryAfter = 5 * time.Second

// refusedKeyParams are the query parameters that are refused because they commonly
// carry keys.
var refusedKeyParams = []string{"key", "api_key"}

// authenticate removes the presented key from the request's headers, looks up its
// account, and refuses a request that contains a key anywhere else. Afterwards only the
// exchange's detector holds the key. A missing or unknown key is not refused here: open
// routes need none.
func (x *exchange) authenticate() error {
	presented, err := extractKey(x.r.Header)
	if err != nil {
		return err
	}
	query := x.r.URL.Query()
	for name := range query {
		for _, refused := range refusedKeyParams {
			if strings.EqualFold(name, refused) {
				return badRequest("query."+name, "a key may not be part of the URL")
			}
		}
	}
	if presented != "" {
		account, keyID, ok := x.snapshot.Authenticate(presented)
		if ok {
			x.account, x.keyID = account, keyID
		}
		x.detector = newKeyDetector(presented, keyID)
	}
	return x.checkRequest()
}

// extractKey removes the key from the headers and returns it, or "" when there is none.
func extractKey(header http.Header) (string, error) {
	bearers, keys := header.Values(headerAuthorization), header.Values(headerAPIKey)
	header.Del(headerAuthorization)
	header.Del(headerAPIKey)
	header.Del("Proxy-Authorization")
	var found []string
	for _, value := range bearers {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			found = append(found, strings.TrimSpace(value[len(bearerPrefix):]))
		} else {
			found = append(found, value)
		}
	}
	for _, value := range keys {
		found = append(found, strings.TrimSpace(value))
	}
	if len(found) == 0 {
		return "", nil
	}
	for _, other := range found[1:] {
		if other != found[0] {
			return "", badRequest("headers", "more than one key is presented")
		}
	}
	return found[0], nil
}

// checkRequest refuses a key in the path, the query, a header or a cookie.
func (x *exchange) checkRequest() error {
	if x.detector.hasKey(x.r.URL.Path) || x.detector.hasKey(x.r.URL.RawPath) {
		return badRequest("path", "a key may not be part of the URL")
	}
	if x.detector.hasKey(x.r.URL.RawQuery) {
		return badRequest("query", "a key may not be part of the URL")
	}
	for name, values := range x.r.Header {
		for _, value := range values {
			if x.detector.hasKey(name) || x.detector.hasKey(value) {
				return badRequest("headers", "a key may be presented in Authorization or X-Api-Key only")
			}
		}
	}
	return nil
}

// requireKey refuses a request without a valid key, registers it to be cancelled when
// the key is revoked, and admits it under the account's rate limit.
func (x *exchange) requireKey(ctx context.Context) error {
	if x.g.isConfigStale() {
		return staleConfigRefusal()
	}
	if x.keyID == "" {
		return refuse(structs.RefusedUnauthorized, "a valid key is required")
	}
	if !x.g.watchKey(x) {
		return refuse(structs.RefusedUnauthorized, "the key has been withdrawn")
	}
	if refusal := x.g.opts.Admitter.Admit(ctx, x.account); refusal != nil {
		return refusal
	}
	if ctx.Err() != nil {
		return refuse(structs.RefusedTimeout, "the request ended while it waited for admission")
	}
	return nil
}

// isConfigStale reports whether the configuration in force has not been confirmed for
// longer than the settings allow: keys may have been revoked in the meantime.
func (g *Gateway) isConfigStale() bool {
	return g.opts.MaxStale > 0 && g.opts.ConfigAge() > g.opts.MaxStale
}

func staleConfigRefusal() *structs.Refusal {
	refusal := refuse(structs.RefusedStaleConfig, "the configuration could not be confirmed lately")
	refusal.RetryAfter = staleRetryAfter
	return refusal
}

// watchKey registers the request to be cancelled when its key is revoked, and reports
// whether the key is still valid. The key is checked after the registration, so that a
// revocation in between is noticed either here or by cancelRevoked.
func (g *Gateway) watchKey(x *exchange) bool {
	g.mu.Lock()
	g.keyedRequests[x] = struct{}{}
	g.mu.Unlock()
	snapshot := g.opts.Configs.Current()
	return snapshot != nil && snapshot.IsKeyValid(x.account, x.keyID)
}

func (g *Gateway) unwatchKey(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.keyedRequests, x)
}

// watchKeys cancels requests whose key is revoked, on each change of the configuration.
func (g *Gateway) watchKeys(ctx context.Context) error {
	for {
		changed := g.opts.Configs.Changed()
		g.cancelRevoked()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// cancelRevoked cancels the registered requests whose key is no longer valid.
func (g *Gateway) cancelRevoked() {
	snapshot := g.opts.Configs.Current()
	if snapshot == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for x := range g.keyedRequests {
		if !snapshot.IsKeyValid(x.account, x.keyID) {
			x.cancel(refuse(structs.RefusedUnauthorized, "the key was withdrawn"))
		}
	}
}
