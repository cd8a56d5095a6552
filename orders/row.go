package orders

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
)

// RowPrefix is the key prefix of the targets' rows.
const RowPrefix = "orders/"

// row records which orderer holds the lease on a target. Attempt identifies the
// transaction that wrote it.
type row struct {
	Orderer    string        `json:"orderer"`
	Fence      uint64        `json:"fence"`
	Attempt    string        `json:"attempt"`
	Term       time.Duration `json:"term"`
	IsReleased bool          `json:"released,omitempty"`
}

// decodeRow decodes a row of the table; a missing row is a released lease.
func decodeRow(stored backing.Row) (row, error) {
	if stored.Version == 0 {
		return row{IsReleased: true}, nil
	}
	var r row
	err := json.Unmarshal(stored.Value, &r)
	return r, errors.Wrap(err, "decode orders row")
}

// maxRemaining returns how long after the row was replaced its orderer may still send
// orders.
func (r row) maxRemaining() time.Duration {
	if r.IsReleased {
		return 0
	}
	return r.Term + time.Duration(2*clockDrift*float64(r.Term)) + deliveryGrace
}

func rowKey(id structs.TargetID) string { return RowPrefix + string(id) }
