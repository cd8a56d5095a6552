package rowstore_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// Guards against a reader that keeps a deleted row, or misses a change, since it reads a
// replica in parts, at any version, and the replica read its own source in the same way.
func TestReadersOfAReplicaHaveTheRowsOfItsTable(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, version := make(map[string]rowstore.Row), uint64(1)
		parent, child := rowstore.NewReplica(), rowstore.NewReplica()
		var pending []rowstore.Row
		for step := range 60 {
			key := rowstore.Key{Table: "t", Key: fmt.Sprint(random.IntN(6))}
			version++
			row := rowstore.Row{Key: key, Value: []byte(fmt.Sprint(version)), Version: version, IsDeleted: random.IntN(3) == 0}
			delete(table, key.Key)
			if !row.IsDeleted {
				table[key.Key] = row
			}
			pending = append(pending, row)
			now := structs.Instant(time.Duration(step+1) * time.Second)
			switch random.IntN(4) {
			case 0: // the history is gone, all rows are read
				update := rowstore.TableUpdate{IsFull: true, Version: version}
				for _, row := range table {
					update.Rows = append(update.Rows, row)
				}
				parent.Apply(now, update)
				pending = nil
			case 1:
				if parent.IsKnown() {
					parent.Apply(now, rowstore.TableUpdate{Rows: pending, Version: version})
					pending = nil
				}
			}
			if parent.IsKnown() && random.IntN(2) == 0 {
				child.Apply(now, parent.ChangesAfter(now, child.Version()))
				assert.DeepEqual(t, child.ChangesAfter(now, 0), parent.ChangesAfter(now, 0))
			}
			if parent.Version() == version && child.Version() == version {
				assert.Equal(t, len(child.ChangesAfter(now, 0).Rows), len(table), "seed %d", seed)
			}
		}
	}
}

// Guards against a state that looks younger with each VM that passes it on.
func TestAgeOfAReplicaIncludesThatOfItsSource(t *testing.T) {
	r := rowstore.NewReplica()
	r.Apply(structs.Instant(10*time.Second), rowstore.TableUpdate{IsFull: true, Version: 3, Age: 2 * time.Second})
	assert.Equal(t, r.Age(structs.Instant(11*time.Second)), 3*time.Second)
	r.Apply(structs.Instant(12*time.Second), rowstore.TableUpdate{Version: 2})
	assert.Equal(t, r.Age(structs.Instant(12*time.Second)), 4*time.Second, "an older state than the known one")
}
