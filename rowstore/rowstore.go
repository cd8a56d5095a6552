// Package rowstore is the interface to the platform's transactional store of versioned
// rows. The store holds the only persistent state of the system.
package rowstore

import (
	"context"
	"time"
)

// Key identifies a row. Each of its three strings has at most MaxKeyBytes.
type Key struct {
	Table string `msgpack:"t"`
	// Partition groups the rows that one transaction may change together.
	Partition string `msgpack:"p"`
	Key       string `msgpack:"k"`
}

// MaxKeyBytes bounds each string of a Key; the store refuses longer ones.
const MaxKeyBytes = 200

// Row is a row at one version.
type Row struct {
	Key
	Value []byte `msgpack:"v"`
	// Version is the version of the transaction that wrote the row, 0 when the row does
	// not exist.
	Version uint64 `msgpack:"n"`
	// IsDeleted is true for a row that a Watch reports as deleted.
	IsDeleted bool `msgpack:"d,omitempty"`
}

// Expectation is a precondition of a transaction: the row has this version, or does not
// exist when Version is 0.
type Expectation struct {
	Key
	Version uint64 `msgpack:"n"`
}

// Put writes a row.
type Put struct {
	Key
	Value []byte `msgpack:"v"`
}

// Tx is an atomic change of rows in one partition. Each row in Put must have an
// expectation as well, so that a transaction that arrives late or twice changes nothing.
type Tx struct {
	Expect []Expectation `msgpack:"e"`
	Put    []Put         `msgpack:"p,omitempty"`
	Delete []Key         `msgpack:"d,omitempty"`
}

// Range selects the rows of one partition with keys in [From, To); an empty To means no
// upper bound.
type Range struct {
	Table     string `msgpack:"t"`
	Partition string `msgpack:"p"`
	From      string `msgpack:"f"`
	To        string `msgpack:"o"`
}

// Page holds rows as of one version of the store.
type Page struct {
	Rows    []Row  `msgpack:"r"`
	Version uint64 `msgpack:"n"`
	// HasMore is true when rows beyond the last one exist.
	HasMore bool `msgpack:"m,omitempty"`
	// Clock is the store's monotonic clock, in milliseconds.
	Clock int64 `msgpack:"c"`
	// Age is the time since the rows were known to be the newest, 0 for a page of the store
	// itself.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Store is the platform's row store or a path to it. The errors of its methods are
// *ConflictError, *UnavailableError, *BusyError, *OutcomeUnknownError,
// *HistoryGoneError, *RejectedError or the error of ctx.
type Store interface {
	// Commit applies a transaction and returns its version.
	Commit(ctx context.Context, tx Tx) (uint64, error)
	// Scan returns the first page of a range.
	Scan(ctx context.Context, r Range) (Page, error)
	// Watch returns the rows of a table that changed after a version. It waits at most
	// wait for a change.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}
