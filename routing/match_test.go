package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that goes by another route than that of the longest prefix, or by
// another one of two routes with the same prefix than the first.
func TestRouteOfTheLongestPrefixIsUsed(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		path := func() string {
			text := "/"
			for range random.IntN(5) {
				text += fmt.Sprintf("%c/", 'a'+rune(random.IntN(3)))
			}
			return text
		}
		var contents TableContents
		for i := range 20 {
			contents.Routes = append(contents.Routes, &Route{Name: fmt.Sprint(i), Host: fmt.Sprintf("Host%d", random.IntN(2)), Prefix: path()})
		}
		table := NewTable(contents)
		for range 50 {
			host, requested := fmt.Sprintf("hOST%d", random.IntN(3)), path()+strings.Repeat("x", random.IntN(2))
			var want *Route
			for _, route := range contents.Routes {
				if strings.EqualFold(route.Host, host) && strings.HasPrefix(requested, route.Prefix) && (want == nil || len(route.Prefix) > len(want.Prefix)) {
					want = route
				}
			}
			assert.Assert(t, table.Match(host, requested) == want, "seed %d, %s%s", seed, host, requested)
		}
	}
}
