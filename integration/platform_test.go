package integration

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
)

// platformServer serves the platform stand-in over HTTP, without daemons or
// targets.
type platformServer struct {
	*standin.Server
	url string
}

func startPlatform(t *testing.T) *platformServer {
	t.Helper()
	server := standin.New(standin.Options{})
	listening := httptest.NewServer(server.Handler())
	t.Cleanup(listening.Close)
	return &platformServer{Server: server, url: listening.URL}
}

// configVersion reads the configuration version from a state dump.
func configVersion(t testing.TB, dump string) uint64 {
	t.Helper()
	var state struct {
		Components struct {
			Config struct {
				Version uint64 `json:"version"`
			} `json:"config"`
		} `json:"components"`
	}
	assert.NilError(t, json.Unmarshal([]byte(dump), &state))
	return state.Components.Config.Version
}

func tokenCount(text string) int { return len(strings.Fields(text)) }
