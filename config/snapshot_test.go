package config

import (
	"crypto/rand"
	"errors"
	"math"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/structs"
)

func TestSnapshotAnswers(t *testing.T) {
	doc := mustParse(t)
	presented, keyID, key, err := NewKey(rand.Reader)
	assert.NilError(t, err)
	doc.Accounts["council"].Keys[keyID] = key
	s := NewSnapshot(3, "op", doc)

	account, id, ok := s.Authenticate(presented)
	assert.Assert(t, ok)
	assert.Equal(t, account, structs.AccountID("council"))
	assert.Equal(t, id, keyID)
	assert.Assert(t, s.IsKeyValid("council", keyID))
	assert.Assert(t, !s.IsKeyValid("other", keyID))
	last := presented[len(presented)-1:]
	other := map[bool]string{true: "1", false: "0"}[last == "0"]
	for _, bad := range []string{"", "ek_", "ek__", "ek_k1_", "ek_k1_x", "ek_nobody_x", keyID, presented[:len(presented)-1] + other, presented + "0", presented[3:]} {
		_, _, ok := s.Authenticate(bad)
		assert.Assert(t, !ok, "%q", bad)
	}

	assert.Assert(t, s.MayRun("council", "renew"))
	assert.Assert(t, !s.MayRun("council", "sell"))
	assert.Assert(t, !s.MayRun("", "renew"))
	assert.Assert(t, s.MayCall("renew", "permits"))
	assert.Assert(t, !s.MayCall("renew", "bins"))
	assert.Assert(t, s.MayUseRoute("", "days"))
	assert.Assert(t, !s.MayUseRoute("", "desk"))
	assert.Assert(t, s.MayUseRoute("council", "desk"))
	assert.Assert(t, !s.MayUseRoute("council", "absent"))
}

func TestMatchRoute(t *testing.T) {
	doc := mustParse(t)
	doc.Routes["desk-east"] = Route{Prefix: "/desk/east/", Service: "permits"}
	s := NewSnapshot(1, "op", doc)
	for path, want := range map[string]string{
		"/days": "days", "/days/": "days", "/days/2026": "days", "/dayshift": "",
		"/desk/x": "desk", "/desk/east": "desk-east", "/desk/east/7": "desk-east", "/desk/eastern": "desk",
		"/": "", "": "", "/days/../desk": "", "/days/./x": "",
	} {
		name, _, ok := s.MatchRoute(path)
		assert.Equal(t, name, want, path)
		assert.Equal(t, ok, want != "", path)
	}
}

func TestNewKeyNeedsRandomness(t *testing.T) {
	_, _, _, err := NewKey(iotest.ErrReader(errors.New("empty")))
	assert.ErrorContains(t, err, "draw key")
}

// A holder never goes back, whatever versions arrive in whatever order, and
// refuses a second document under the version in force.
func TestHolderNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		var highest, contradictions uint64
		author := ""
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := rapid.Uint64Range(1, 8).Draw(t, "version")
			by := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "author")
			changed := h.Changed()
			applied := h.Apply(NewSnapshot(version, by, Document{}))
			if applied != (version > highest) {
				t.Fatalf("version %d after %d: applied %t", version, highest, applied)
			}
			select {
			case <-changed:
				assert.Assert(t, applied)
			default:
				assert.Assert(t, !applied)
			}
			if version == highest && by != author {
				contradictions++
			}
			if applied {
				highest, author = version, by
			}
			if h.Current().Version() != highest || h.Current().Author() != author {
				t.Fatalf("version %d by %s in force, want %d by %s", h.Current().Version(), h.Current().Author(), highest, author)
			}
			if seen, _ := h.Violations(); seen != contradictions {
				t.Fatalf("%d violations counted, want %d", seen, contradictions)
			}
		}
	})
}

func TestHolderAge(t *testing.T) {
	var h Holder
	assert.Assert(t, h.Current() == nil)
	assert.Equal(t, h.Age(5), time.Duration(math.MaxInt64))
	h.Confirm(10)
	h.Confirm(7)
	assert.Equal(t, h.Age(15), time.Duration(5))
}

// Schedulers sweep the engines of every service that is listed here.
func TestServiceIDsAreAllAndSorted(t *testing.T) {
	s := NewSnapshot(1, "a", Document{Services: map[structs.ServiceID]Service{"b": {}, "a": {}, "c": {}}})
	assert.DeepEqual(t, s.ServiceIDs(), []structs.ServiceID{"a", "b", "c"})
}
