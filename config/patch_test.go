package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// drawDocument draws a document of few names, so that two of them share many.
// It need not pass the checks, but keys have one account.
func drawDocument(t *rapid.T) Document {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	small := rapid.IntRange(0, 2)
	doc := Document{
		Domains:  rapid.MapOf(rapid.Map(name, func(n string) structs.DomainID { return structs.DomainID(n) }), rapid.Custom(func(t *rapid.T) Domain { return Domain{Region: name.Draw(t, "region")} })).Draw(t, "domains"),
		Accounts: make(map[structs.AccountID]Account),
		Programs: make(map[string]Program),
		Services: make(map[structs.ServiceID]Service),
		Routes:   make(map[string]Route),
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 4, rapid.ID).Draw(t, "accounts") {
		doc.Accounts[structs.AccountID(n)] = Account{Rate: float64(small.Draw(t, "rate")), Programs: rapid.SliceOfN(name, 0, 2).Draw(t, "programs"), Keys: make(map[string]Key)}
	}
	accounts := sorted(doc.Accounts)
	for i := range 4 {
		if len(accounts) > 0 && rapid.Bool().Draw(t, "key") {
			owner := rapid.SampledFrom(accounts).Draw(t, "owner")
			doc.Accounts[owner].Keys[fmt.Sprint("k", i)] = Key{Salt: fmt.Sprintf("%032x", i), Hash: fmt.Sprintf("%064x", small.Draw(t, "hash"))}
		}
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, "kinds") {
		doc.Programs[n] = Program{Budget: int64(small.Draw(t, "budget")), IdleLimit: settings.Duration(small.Draw(t, "idle")), Services: []structs.ServiceID{structs.ServiceID(name.Draw(t, "service"))}}
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, "services") {
		s := Service{Kind: ServicePlain, IsRepeatable: rapid.Bool().Draw(t, "repeatable"), Targets: make(map[structs.TargetID]Target)}
		for _, target := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, "targets") {
			s.Targets[structs.TargetID(n+target)] = Target{URL: name.Draw(t, "url"), IsDraining: rapid.Bool().Draw(t, "drain")}
		}
		doc.Services[structs.ServiceID(n)] = s
	}
	for _, n := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, "routes") {
		doc.Routes[n] = Route{Prefix: "/" + name.Draw(t, "prefix"), IsOpen: rapid.Bool().Draw(t, "open")}
	}
	return doc
}

// A patch, sent as JSON, leads to the very snapshot that the whole document
// gives, leaves the one before as it was, and never to another one.
func TestPatchLeadsToTheWholeDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawDocument(t), drawDocument(t)
		from, to := NewSnapshot(1, "op", first), NewSnapshot(2, "rival", second)
		p, err := Diff(from, to)
		assert.NilError(t, err)
		data, err := json.Marshal(p)
		assert.NilError(t, err)
		var sent Patch
		assert.NilError(t, json.Unmarshal(data, &sent))
		got, err := sent.Apply(from)
		assert.NilError(t, err)
		sameSnapshot(t, got, to)
		sameSnapshot(t, from, NewSnapshot(1, "op", first))
		if from.digest != to.digest {
			var wrong *PatchError
			other, err := sent.Apply(NewSnapshot(1, "op", drawDocument(t)))
			assert.Assert(t, errors.As(err, &wrong) || other.digest == to.digest, "%v", err)
			_, err = sent.Apply(to)
			assert.Assert(t, errors.As(err, &wrong), "%v", err)
		}
	})
}

func sameSnapshot(t *rapid.T, got, want *Snapshot) {
	assert.Equal(t, got.version, want.version)
	assert.Equal(t, got.author, want.author)
	assert.Equal(t, got.digest, want.digest)
	a, err := got.doc.Encode()
	assert.NilError(t, err)
	b, err := want.doc.Encode()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))
	assert.Equal(t, fmt.Sprint(got.accounts, got.programs, got.routes), fmt.Sprint(want.accounts, want.programs, want.routes))
	sameKey := func(x, y keyIndex) bool { return fmt.Sprint(x) == fmt.Sprint(y) }
	assert.Assert(t, maps.EqualFunc(got.keys, want.keys, sameKey))
}

func TestPatchErrors(t *testing.T) {
	from := NewSnapshot(1, "op", Document{})
	for name, p := range map[string]Patch{
		"other version":   {From: 2, To: 3, Digest: from.digest[:]},
		"no ascent":       {From: 1, To: 1, Digest: from.digest[:]},
		"other digest":    {From: 1, To: 2, Digest: make([]byte, 3)},
		"unknown section": {From: 1, To: 2, Digest: from.digest[:], Changes: []MemberChange{{Section: "x", Name: "y", Value: []byte("1")}}},
	} {
		var wrong *PatchError
		_, err := p.Apply(from)
		assert.Assert(t, errors.As(err, &wrong), "%s: %v", name, err)
	}
}
