package integration

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// sendLeakedKeys sends requests that carry the caller's key outside the
// Authorization header. The daemons must refuse them or remove the key:
// checkSecrets looks for it at the targets.
func (a *agent) sendLeakedKeys(ctx context.Context, r *programState) error {
	calls := a.url + "/v1/programs/" + url.PathEscape(string(r.id)) + "/calls"
	message := fmt.Sprintf(`{"service":%q,"messages":[{"role":"user","content":%q}]}`, modelName, "my key is "+a.key)
	header := fmt.Sprintf(`{"service":%q,"request":{"method":"POST","path":"/x","headers":{"Traceparent":%q}}}`, plainName, a.key)
	body := fmt.Sprintf(`{"service":%q,"request":{"method":"POST","path":"/x","body":%q}}`, plainName, a.key)
	query := fmt.Sprintf(`{"service":%q,"request":{"method":"GET","path":%q}}`, plainName, "/x?token="+a.key)
	open := a.url + "/services/notices/board"
	for _, request := range []struct{ method, url, body, header, cookie string }{
		{"POST", calls, message, a.key, ""},
		{"POST", calls, header, a.key, ""},
		{"POST", calls, body, a.key, ""},
		{"POST", calls, query, a.key, ""},
		{"GET", open + "?token=" + a.key, "", "", ""},
		{"GET", open + "/" + a.key, "", "", ""},
		{"POST", open, "key=" + a.key, "", ""},
		{"POST", open, "key=" + url.QueryEscape(strings.ReplaceAll(a.key, "_", "%5F")), "", ""},
		{"GET", open, "", "", a.key},
		{"GET", open, "", a.key, a.key},
	} {
		a.sendRequest(ctx, request.method, request.url, request.body, request.header, request.cookie)
	}
	return nil
}

// sendRequest sends one request and discards the response: checkSecrets looks at
// what the targets received.
func (a *agent) sendRequest(ctx context.Context, method, to, body, key, cookie string) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, to, strings.NewReader(body))
	if err != nil {
		return
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if cookie != "" {
		request.AddCookie(&http.Cookie{Name: "session", Value: cookie})
		request.Header.Set("Traceparent", cookie)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // a fault may have left the response incomplete
}

// checkSecrets checks that no target received a caller's key and that no daemon
// shows keys or bodies in its state dump, metrics or log.
func checkSecrets(t *testing.T, f *fleet, agents []*agent) {
	t.Helper()
	keys := secretsOf(f.keys)
	received := f.receivedRequests()
	assert.Assert(t, len(received) > 0)
	for id, texts := range received {
		checkNoSecrets(t, "target "+id, strings.Join(texts, "\n"), keys)
	}
	shown := append([]string(nil), keys...)
	for _, a := range agents {
		shown = append(shown, a.name)
	}
	for _, d := range append(f.schedulers, f.gateways...) {
		for _, path := range []string{"/dump", "/metrics"} {
			checkNoSecrets(t, d.binary+" "+path, f.read(d, path), shown)
		}
		log, err := os.ReadFile(d.file + ".log")
		assert.NilError(t, err)
		checkNoSecrets(t, d.binary+" log", string(log), shown)
	}
}

// secretsOf returns the secret part of each key, which follows the last underscore.
func secretsOf(keys map[structs.AccountID]string) []string {
	var secrets []string
	for _, key := range keys {
		secrets = append(secrets, key[strings.LastIndex(key, "_")+1:])
	}
	return secrets
}

func checkNoSecrets(t *testing.T, source, text string, secrets []string) {
	t.Helper()
	for _, secret := range secrets {
		if at := strings.Index(text, secret); at >= 0 {
			t.Errorf("%s shows a secret: ...%s...", source, text[max(0, at-60):min(len(text), at+60)])
			return
		}
	}
}

// receivedRequests returns all requests that the targets received as text, by
// target ID.
func (f *fleet) receivedRequests() map[string][]string {
	texts := make(map[string][]string)
	add := func(id structs.TargetID, url string, header http.Header, body string) {
		var text bytes.Buffer
		text.WriteString(url + "\n")
		_ = header.Write(&text) // writes to a buffer never fail
		text.WriteString(body)
		texts[string(id)] = append(texts[string(id)], text.String())
	}
	for id, server := range f.site.Engines {
		for _, request := range server.Requests() {
			add(id, request.URL, request.Header, string(request.Body))
		}
	}
	for id, server := range f.site.PlainServices {
		for _, request := range server.Requests() {
			add(id, request.Path, request.Header, request.Body)
		}
	}
	return texts
}

// read returns the response of a daemon's admin server to a GET request.
func (f *fleet) read(d *daemonProcess, path string) string {
	f.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s%s", d.settings.Listen.Admin, path))
	assert.NilError(f.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return string(text)
}
