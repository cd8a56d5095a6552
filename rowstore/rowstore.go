// Package rowstore is the interface to the platform's transactional store of
// versioned rows. What the store holds is the only lasting state of the system.
package rowstore

import (
	"context"
	"time"
)

// Key names a row. Its three parts are texts of at most MaxKeyBytes.
type Key struct {
	Table string `msgpack:"t"`
	// Partition groups the rows that one transaction may change together.
	Partition string `msgpack:"p"`
	Key       string `msgpack:"k"`
}

// MaxKeyBytes bounds each text of a Key; the store refuses longer ones.
const MaxKeyBytes = 200

// Row is a row at one version.
type Row struct {
	Key
	Value []byte `msgpack:"v"`
	// Version is the transaction that wrote the row, 0 for no such row.
	Version uint64 `msgpack:"n"`
	// IsDeleted marks a row that a Watch reports as gone.
	IsDeleted bool `msgpack:"d,omitempty"`
}

// Expectation is a condition of a transaction: the row has this version, or
// does not exist when Version is 0.
type Expectation struct {
	Key
	Version uint64 `msgpack:"n"`
}

// Put writes a row.
type Put struct {
	Key
	Value []byte `msgpack:"v"`
}

// Tx is an atomic change of rows of one partition. Each put row must be
// expected too, so that a transaction that is applied late or twice changes
// nothing.
type Tx struct {
	Expect []Expectation `msgpack:"e"`
	Put    []Put         `msgpack:"p,omitempty"`
	Delete []Key         `msgpack:"d,omitempty"`
}

// Range selects rows of one partition with keys in [From, To); an empty To has
// no end.
type Range struct {
	Table     string `msgpack:"t"`
	Partition string `msgpack:"p"`
	From      string `msgpack:"f"`
	To        string `msgpack:"o"`
}

// Page is rows as of one version of the store.
type Page struct {
	Rows    []Row  `msgpack:"r"`
	Version uint64 `msgpack:"n"`
	// HasMore says that rows beyond the last one exist.
	HasMore bool `msgpack:"m,omitempty"`
	// Clock is the store's steady clock, in milliseconds.
	Clock int64 `msgpack:"c"`
}

// Store is the platform's row store or a path to it. Its methods return
// *ConflictError, *UnavailableError, *BusyError, *OutcomeUnknownError,
// *HistoryGoneError, *RejectedError or the error of ctx.
type Store interface {
	// Commit applies a transaction and returns its version.
	Commit(ctx context.Context, tx Tx) (uint64, error)
	// Scan returns the first page of a range.
	Scan(ctx context.Context, r Range) (Page, error)
	// Watch returns the rows of a table that changed after a version, waiting
	// at most wait for one.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}
