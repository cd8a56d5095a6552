package configwatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

func TestLowestLiveAddressPolls(t *testing.T) {
	peers := []string{"127.0.0.1:2", "127.0.0.1:1", "127.0.0.1:3"}
	s := newSources("127.0.0.1:3")
	assert.Equal(t, s.next(0, peers), "127.0.0.1:1")
	s.suspect(0, "127.0.0.1:1")
	assert.Equal(t, s.next(0, peers), "127.0.0.1:2")
	s.suspect(0, "127.0.0.1:2")
	assert.Equal(t, s.next(0, peers), "")
	assert.Equal(t, s.next(structs.Instant(suspectFor), peers), "127.0.0.1:1")
	assert.Equal(t, newSources("127.0.0.1:1").next(0, peers), "")
}

// Whatever is suspected by whom, following leads from every scheduler to one
// that polls the store.
func TestFollowingHasNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "schedulers")
		var peers []string
		for i := range n {
			peers = append(peers, fmt.Sprintf("127.0.0.1:%d", 9000+i))
		}
		choice := make(map[string]string)
		for _, self := range peers {
			s := newSources(self)
			for _, peer := range peers {
				if rapid.Bool().Draw(t, "suspected") {
					s.suspect(0, peer)
				}
			}
			choice[self] = s.next(1, peers)
		}
		for _, at := range peers {
			for steps := 0; choice[at] != ""; steps++ {
				if steps > n {
					t.Fatalf("cycle: %v", choice)
				}
				at = choice[at]
			}
		}
	})
}

// No scheduler of a large failure domain serves more than fanOut others, and
// each is at most two steps from the one that polls.
func TestFollowersAreSpread(t *testing.T) {
	const schedulers = 57
	var peers []string
	for i := range schedulers {
		peers = append(peers, fmt.Sprintf("127.0.0.1:%d", 9000+i))
	}
	followers, depth := make(map[string]int), make(map[string]int)
	for _, self := range peers {
		parent := newSources(self).next(0, peers)
		if parent == "" {
			assert.Equal(t, self, peers[0])
			continue
		}
		followers[parent]++
		depth[self] = depth[parent] + 1
		assert.Assert(t, followers[parent] <= fanOut)
		assert.Assert(t, depth[self] <= 2)
	}
}

func TestLowestInForce(t *testing.T) {
	var f followers
	f.note(0, "a", 4)
	f.note(0, "b", 0)
	f.note(0, "", 1)
	assert.Equal(t, f.lowest(1, 5), uint64(4))
	assert.Equal(t, f.lowest(1, 3), uint64(3))
	f.note(2, "a", 6)
	assert.Equal(t, f.lowest(2, 5), uint64(5))
	f.note(2, "c", 2)
	assert.Equal(t, f.lowest(2, 5), uint64(2))
	assert.Equal(t, f.lowest(structs.Instant(followerTimeout+3*time.Nanosecond), 5), uint64(5))
}

// The schedulers of a reader's own domain follow it, so that they have nothing
// later while the store cannot be reached.
func TestReaderWithoutStoreAsksOtherDomainsFirst(t *testing.T) {
	s := NewScheduler(SchedulerOptions{
		Self:         "a:1",
		Holder:       &config.Holder{},
		Peers:        func() []string { return []string{"a:1", "a:2"} },
		OtherDomains: func() []string { return []string{"b:1"} },
	})
	assert.DeepEqual(t, s.fallback(), []string{"b:1", "a:2"})
}
