package backing

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Row is one row of the table. Version is 0 for a row that does not exist and
// grows with every write.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition requires that a row has exactly the given version at commit; 0
// requires that it does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes it.
type Write struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	IsDelete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: all writes take effect if all conditions hold, else
// none does.
type Txn struct {
	Require []Condition `json:"require"`
	Writes  []Write     `json:"writes"`
}

// Table is the transactional table service. Its errors are *ConflictError,
// *UnavailableError and *UnknownOutcomeError.
type Table interface {
	// Get returns the row, with Version 0 when it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies the transaction and returns the written rows' versions.
	Commit(ctx context.Context, txn Txn) ([]Row, error)
}

// Objects is the object store. Get returns *NotFoundError for a missing key.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, key string) error
}

// VMState is what the platform says of a VM.
type VMState string

// States of a VM. A VM that is gone is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list.
type VM struct {
	ID        structs.VMID     `json:"id"`
	Domain    structs.DomainID `json:"domain"`
	State     VMState          `json:"state"`
	Scheduler string           `json:"scheduler,omitempty"` // wire address, host:port
	Gateway   string           `json:"gateway,omitempty"`   // callers' address, host:port
	Target    structs.TargetID `json:"target,omitempty"`    // set for a VM that runs a target
}

// VMList is the platform's list of VMs. It lags behind the truth.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch asks that the weights be made available to a target and returns
	// the time to wait before asking again when the rate limit refuses.
	Fetch(ctx context.Context, model, version string) (retryAfter time.Duration, err error)
}

// Services is all that one platform driver offers.
type Services struct {
	Table   Table
	Objects Objects
	VMs     VMList
	Weights Weights
}
