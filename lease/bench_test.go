package lease

import (
	"fmt"
	"math"
	"testing"

	"github.com/endivecourse/endivecourse/structs"
)

// BenchmarkTick is one renewal interval of one of n schedulers with all groups
// owned evenly.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{3, 57} {
		b.Run(fmt.Sprintf("schedulers=%d", n), func(b *testing.B) {
			cfg := simConfig
			cfg.Groups = MaxGroups
			cfg.SuspectTimeout = math.MaxInt64 / 8
			var members []Member
			for i := range n {
				members = append(members, Member{Incarnation: structs.Incarnation(fmt.Sprint("i", i)), VM: structs.VMID(fmt.Sprint("v", i))})
			}
			node := NewNode(cfg, members[0])
			step := func(now structs.Instant, ev Event) []Action {
				actions, err := node.Step(now, ev)
				if err != nil {
					b.Fatal(err)
				}
				return actions
			}
			step(0, Peers{Members: members})
			for g := range MaxGroups {
				owner := g % n
				row := Row{Group: Group(g), Epoch: 1, Owner: members[owner], Witnesses: []Member{members[owner], members[(owner+1)%n], members[(owner+2)%n]}}
				step(0, RowRead{Group: Group(g), Row: row, Version: 1})
			}
			now := structs.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(cfg.RenewInterval)
				step(now, Tick{})
			}
		})
	}
}
