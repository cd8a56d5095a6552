package daemon

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
	"github.com/endivecourse/endivecourse/rowstore"
)

// oddAddresses are addresses to which no connection can be made.
var oddAddresses = []string{"127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "app.invalid:80", "127.0.0.1:80/path"}

// Guards against entries of another writer that cost the VM requests, its paths to the
// targets or the reading of later entries.
func TestOddTargetEntriesLeaveVMServingAndFollowing(t *testing.T) {
	b := newTestSite(t, "near-a")
	b.addTarget("app-1", "app", "near-a")
	odd := []string{
		"", "null", strings.Repeat("[", 65536), strings.Repeat("[", 32768) + strings.Repeat("]", 32768), `{"slots":1e400}`,
		fmt.Sprintf(`{"service":"app","address":"127.0.0.1:1","zone":"near-a","slots":%s,"state":"ready"}`, strings.Repeat("9", 60000)),
	}
	for n, address := range oddAddresses {
		odd = append(odd, fmt.Sprintf(`{"service":"app-%d","address":%q,"zone":"far-a","slots":4,"state":"ready"}`, n, address),
			fmt.Sprintf(`{"service":"app","address":%q,"zone":"near-a","slots":4,"state":"ready"}`, address))
	}
	for n, entry := range odd {
		b.site.PutTargetEntry(fmt.Sprintf("a-odd-%d", n), entry)
	}
	b.site.PutTargetEntry("", odd[0])
	b.addTarget("app-2", "app", "near-a")
	for range 20 {
		assert.Equal(t, b.send(request{path: "/order/1"}).status, 200)
	}
	assert.Equal(t, len(b.logs.lines(`"target listed"`)), 2)
	assert.Equal(t, len(b.logs.lines("target is unreachable")), 0)
	assert.Equal(t, len(b.logs.lines("lost the paths")), 0)

	b.waitUntil("target with an odd entry dropped", func() bool {
		b.site.PutTargetEntry("app-2", odd[len(odd)-1])
		return len(b.logs.lines(`"target dropped"`, `"app-2"`)) > 0
	})
	// The next heartbeat of the target writes a good entry again.
	b.waitUntil("target listed again", func() bool { return len(b.logs.lines(`"target listed"`, `"app-2"`)) >= 2 })
	assert.Equal(t, b.send(request{path: "/order/2"}).status, 200)
	assert.Equal(t, len(b.logs.lines("stopped: ")), 0)
	for _, line := range b.logs.lines("not valid") {
		assert.Assert(t, len(line) < 1000, "log line of %d bytes", len(line))
	}
}

// Guards against a row of another partition that changes a target or the configuration:
// both have their rows in the empty partition.
func TestRowsOfOtherPartitionsChangeNothing(t *testing.T) {
	b := newTestSite(t, "near-a")
	b.addTarget("app-1", "app", "near-a")
	inForce := len(b.logs.lines("configuration in force"))
	entry := `{"service":"app","address":"127.0.0.1:1","zone":"near-a","slots":4,"state":"ready"}`
	for key, value := range map[string]string{"servers app-1": entry, "servers other": entry, "op config": `{"version":1000}`} {
		table, name, _ := strings.Cut(key, " ")
		b.site.Store.Put(rowstore.Key{Table: table, Partition: "p", Key: name}, []byte(value))
	}
	b.addTarget("app-2", "app", "near-a")
	b.site.Store.Delete(rowstore.Key{Table: "servers", Partition: "p", Key: "app-1"})
	b.addTarget("app-3", "app", "near-a")
	b.site.PutConfig(platformtest.BasicConfig())
	b.waitUntil("later configuration in force", func() bool { return len(b.logs.lines("configuration in force")) > inForce })
	assert.DeepEqual(t, b.logs.lines("configuration in force", `"version":1000`), []string(nil))
	assert.DeepEqual(t, append(b.logs.lines("target restarted"), b.logs.lines("target dropped")...), []string(nil))
	assert.Equal(t, len(b.logs.lines("target listed")), 3)
}

// Guards against a check of the VM's paths that connects only to entries of unknown services.
func TestPathChecksPassOverUnknownServices(t *testing.T) {
	b := newTestSite(t, "near-a")
	b.addTarget("app-1", "app", "near-a")
	for n := range 8 {
		b.site.PutTargetEntry(fmt.Sprintf("a-odd-%d", n), fmt.Sprintf(
			`{"service":"odd-%d","address":"127.0.0.1:1","zone":"near-a","slots":4,"state":"ready"}`, n))
	}
	failing := b.addTarget("app-0", "app", "near-a")
	failing.Close()
	b.waitUntil("unreachable", func() bool {
		b.send(request{path: "/read/1", method: "GET"})
		return len(b.logs.lines("target is unreachable")) >= 1
	})
	for range 20 {
		b.send(request{path: "/read/1", method: "GET"})
	}
	assert.DeepEqual(t, b.logs.lines("lost the paths"), []string(nil))
}
