package orders

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
)

// RowPrefix begins the keys of the targets' rows.
const RowPrefix = "orders/"

// row says who may give orders to a target. Attempt names the transaction that
// wrote it.
type row struct {
	Orderer  string        `json:"orderer"`
	Fence    uint64        `json:"fence"`
	Attempt  string        `json:"attempt"`
	Term     time.Duration `json:"term"`
	Released bool          `json:"released,omitempty"`
}

// read decodes a row of the table; a missing one is free.
func read(stored backing.Row) (row, error) {
	if stored.Version == 0 {
		return row{Released: true}, nil
	}
	var r row
	err := json.Unmarshal(stored.Value, &r)
	return r, errors.Wrap(err, "decode row of orders")
}

// wait returns the time after which the row's orderer certainly sends nothing,
// counted from when another one has replaced the row.
func (r row) wait() time.Duration {
	if r.Released {
		return 0
	}
	return r.Term + time.Duration(2*drift*float64(r.Term)) + grace
}

func rowKey(id structs.TargetID) string { return RowPrefix + string(id) }
