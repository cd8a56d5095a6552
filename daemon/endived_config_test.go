package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// configApplyBound is the time in which a change is in force everywhere on the platform's
// strictest sites.
const configApplyBound = 2500 * time.Millisecond

// newTwoRegionSite returns a site of a number of VMs in each of two regions, which know each
// other.
func newTwoRegionSite(t *testing.T, perRegion int) *testSite {
	var domains []string
	for range perRegion {
		domains = append(domains, "near-a", "far-a")
	}
	b := newTestSite(t, domains...)
	b.waitUntil("members known", func() bool {
		return len(b.logs.lines(`"peer `, `"incarnation"`)) >= len(domains)*(len(domains)-1)
	})
	time.Sleep(watchTime) // watches that began before all members were known
	return b
}

// watchTime is longer than a watch of the store takes.
const watchTime = 1500 * time.Millisecond

// putIdleRoutes stores a configuration with more routes and waits until it is in force at all
// VMs. It returns the bytes that each region's VMs have read of the configuration meanwhile,
// and the time that it took.
func (b *testSite) putIdleRoutes(count int) (read map[string]int, took time.Duration) {
	b.t.Helper()
	config := platformtest.BasicConfig()
	for i := range count {
		name := fmt.Sprintf("idle-%d", i)
		config.Routes = append(config.Routes, platformtest.ConfigRoute{
			Name: name, Host: platformtest.Host, PathPrefix: "/" + name + "/", Type: "safe", TimeoutMs: 2000, Service: "app", Attempts: 2, Public: true,
		})
	}
	read = make(map[string]int)
	for _, vm := range b.vms {
		read[vm.Domain] -= vm.StoreServer.Sent("op")
	}
	start := time.Now()
	version := b.site.PutConfig(config)
	b.waitUntil("in force", func() bool {
		return len(b.logs.lines(`"configuration in force"`, fmt.Sprintf(`"version":%d,`, version))) == len(b.vms)
	})
	took = time.Since(start)
	for _, vm := range b.vms {
		read[vm.Domain] += vm.StoreServer.Sent("op")
	}
	return read, took
}

// Guards against a link between regions that is full of copies of one large configuration,
// since each VM reads it from the store.
func TestLargeConfigurationIsReadByFewVMsOfARegion(t *testing.T) {
	const perRegion, routes, maxCopies = 10, 1400, 3
	b := newTwoRegionSite(t, perRegion)
	read, took := b.putIdleRoutes(routes)
	document := b.site.DocumentBytes()
	t.Logf("document of %d bytes in force after %s, bytes read: %v", document, took, read)
	for domain, bytes := range read {
		copies := float64(bytes) / float64(document)
		assert.Assert(t, copies <= maxCopies*4.0/3+0.1, "VMs of %s read %.1f copies of the document as base64", domain, copies*3/4)
	}
	assert.Assert(t, took < configApplyBound)
}
