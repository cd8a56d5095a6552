package config

import (
	"crypto/rand"
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// largeDocument has the given number of accounts with two keys each and of
// targets in nine failure domains. It returns one presented key.
func largeDocument(tb testing.TB, accounts, targets int) (Document, string) {
	doc := Document{
		Domains:  make(map[structs.DomainID]Domain),
		Accounts: make(map[structs.AccountID]Account),
		Programs: map[string]Program{"agent": {Budget: 1000, IdleLimit: settings.Duration(1e9), Services: []structs.ServiceID{"models"}}},
		Services: make(map[structs.ServiceID]Service),
	}
	for i := range 9 {
		doc.Domains[structs.DomainID(fmt.Sprintf("domain-%d", i))] = Domain{Region: "region"}
	}
	service := Service{Kind: ServiceModel, IsRepeatable: true, Targets: make(map[structs.TargetID]Target)}
	for i := range targets {
		service.Targets[structs.TargetID(fmt.Sprintf("target-%d", i))] = Target{
			Domain:   structs.DomainID(fmt.Sprintf("domain-%d", i%9)),
			URL:      fmt.Sprintf("http://10.0.%d.%d:8000", i/256, i%256),
			Protocol: "engine",
		}
	}
	doc.Services["models"] = service
	var presented string
	for i := range accounts {
		account := Account{Rate: 10, Burst: 20, Programs: []string{"agent"}, Keys: make(map[string]Key)}
		for range 2 {
			shown, keyID, key, err := NewKey(rand.Reader)
			assert.NilError(tb, err)
			account.Keys[keyID] = key
			presented = shown
		}
		doc.Accounts[structs.AccountID(fmt.Sprintf("account-%d", i))] = account
	}
	assert.NilError(tb, doc.Check())
	return doc, presented
}

var documentSizes = []struct{ accounts, targets int }{{8, 20}, {220, 600}, {2200, 6000}}

func BenchmarkNewSnapshot(b *testing.B) {
	for _, size := range documentSizes {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", size.accounts, size.targets), func(b *testing.B) {
			doc, _ := largeDocument(b, size.accounts, size.targets)
			data, err := doc.Encode()
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				decoded, err := DecodeDocument(data)
				assert.NilError(b, err)
				NewSnapshot(1, "op", decoded)
			}
			b.ReportMetric(float64(len(data)), "document-bytes")
		})
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, size := range documentSizes {
		b.Run(fmt.Sprintf("accounts=%d", size.accounts), func(b *testing.B) {
			doc, presented := largeDocument(b, size.accounts, size.targets)
			snapshot := NewSnapshot(1, "op", doc)
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := snapshot.Authenticate(presented); !ok {
					b.Fatal("key refused")
				}
			}
		})
	}
}

// BenchmarkApplyPatch is BenchmarkNewSnapshot's counterpart for a change of
// one account's rate that arrives as a patch.
func BenchmarkApplyPatch(b *testing.B) {
	for _, size := range documentSizes {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", size.accounts, size.targets), func(b *testing.B) {
			doc, _ := largeDocument(b, size.accounts, size.targets)
			before := NewSnapshot(1, "op", doc)
			changed := doc
			changed.Accounts = maps.Clone(doc.Accounts)
			account := changed.Accounts["account-0"]
			account.Rate++
			changed.Accounts["account-0"] = account
			data, err := encodedPatch(before, NewSnapshot(2, "op", changed))
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := ApplyEncoded(data, before)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "patch-bytes")
		})
	}
}

// BenchmarkDiff is the work of a scheduler that answers with a patch, once for
// all daemons that ask.
func BenchmarkDiff(b *testing.B) {
	for _, size := range documentSizes {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", size.accounts, size.targets), func(b *testing.B) {
			doc, _ := largeDocument(b, size.accounts, size.targets)
			changed := doc
			changed.Accounts = maps.Clone(doc.Accounts)
			account := changed.Accounts["account-0"]
			account.Rate++
			changed.Accounts["account-0"] = account
			from, to := NewSnapshot(1, "op", doc), NewSnapshot(2, "op", changed)
			for b.Loop() {
				_, err := Diff(from, to)
				assert.NilError(b, err)
			}
		})
	}
}
