// Package examples_test loads every example file with the loader of its daemon.
package examples_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// The settings files of a site must load, name their own VM, agree with the
// configuration document on regions, failure domains and three VMs per domain, and
// use no address twice.
func TestDaemonSettings(t *testing.T) {
	for _, site := range []string{"accra", "tayside"} {
		doc, err := config.Load(filepath.Join(site, "base.jsonc"), filepath.Join(site, "overlay.jsonc"))
		assert.NilError(t, err)
		usedAddrs := make(map[string]string)
		vms := make(map[structs.VMID]structs.DomainID)
		for role, load := range map[string]func(string) (settings.Daemon, error){
			"gatewayd": settings.LoadGateway, "schedulerd": settings.LoadScheduler,
		} {
			files, err := filepath.Glob(filepath.Join(site, "*-"+role+".jsonc"))
			assert.NilError(t, err)
			assert.Equal(t, len(files), 9)
			for _, file := range files {
				d, err := load(file)
				assert.NilError(t, err)
				assert.Equal(t, filepath.Base(file), string(d.VM)+"-"+role+".jsonc")
				assert.Equal(t, doc.Domains[d.Domain].Region, d.Region)
				vms[d.VM] = d.Domain
				for _, address := range []string{d.Listen.Admin, d.Listen.Callers, d.Listen.Wire} {
					assert.Equal(t, usedAddrs[address], "", "address %s of %s is also used by another file", address, file)
					if address != "" {
						usedAddrs[address] = file
					}
				}
				assert.Assert(t, d.Listen.Wire == "" || strings.Contains(strings.Join(d.Schedulers[d.Domain], " "), d.Listen.Wire))
			}
		}
		perDomain := make(map[structs.DomainID]int)
		for _, domain := range vms {
			perDomain[domain]++
		}
		for domain := range doc.Domains {
			assert.Equal(t, perDomain[domain], 3)
		}
		for _, service := range doc.Services {
			for _, target := range service.Targets {
				address := strings.TrimPrefix(target.URL, "http://")
				assert.Equal(t, usedAddrs[address], "", "target address %s is also used by a daemon", address)
			}
		}
	}
}

// Each example key authenticates its account and no other.
func TestExampleKeys(t *testing.T) {
	for _, site := range []string{"accra", "tayside"} {
		doc, err := config.Load(filepath.Join(site, "base.jsonc"), filepath.Join(site, "overlay.jsonc"))
		assert.NilError(t, err)
		snapshot := config.NewSnapshot(1, "example", doc)
		page, err := os.ReadFile(filepath.Join(site, "EXAMPLE-KEYS.md"))
		assert.NilError(t, err)
		rows := regexp.MustCompile("\\| (\\S+) \\| `(\\S+)` \\|").FindAllStringSubmatch(string(page), -1)
		assert.Equal(t, len(rows), len(doc.Accounts))
		for _, row := range rows {
			account, keyID, ok := snapshot.Authenticate(row[2])
			assert.Assert(t, ok)
			assert.Equal(t, string(account), row[1])
			assert.Assert(t, snapshot.IsKeyValid(account, keyID))
		}
	}
}

// Each site must keep its number of client accounts, services and targets.
func TestExampleCounts(t *testing.T) {
	targetCounts := map[string]map[structs.ServiceID]int{
		"accra":   {"rake-llm": 8, "courts-app": 8},
		"tayside": {"agent-models": 11, "permit-app": 8},
	}
	for site, services := range targetCounts {
		doc, err := config.Load(filepath.Join(site, "base.jsonc"), filepath.Join(site, "overlay.jsonc"))
		assert.NilError(t, err)
		assert.Equal(t, len(doc.Accounts), 8)
		assert.Equal(t, len(doc.Services), len(services))
		for id, targets := range services {
			assert.Equal(t, len(doc.Services[id].Targets), targets)
		}
	}
}
