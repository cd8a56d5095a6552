package httpbacking

import (
	"time"

	"github.com/endivecourse/endivecourse/backing"
)

// Paths of the platform's HTTP interface.
const (
	PathRow     = "/table/row"     // GET ?key=
	PathRows    = "/table/rows"    // GET ?prefix=
	PathCommit  = "/table/commit"  // POST backing.Txn
	PathObject  = "/objects/item"  // PUT, GET, DELETE ?key=
	PathObjects = "/objects/list"  // GET ?prefix=
	PathVMs     = "/vms"           // GET
	PathWeights = "/weights/fetch" // POST ?model=&version=
)

// HeaderNotApplied is set to "true" on an error status that guarantees that
// the request had no effect.
const HeaderNotApplied = "X-Not-Applied"

// ConflictResponse is the body of a 409 answer to a commit.
type ConflictResponse struct {
	Found []backing.Row `json:"found"`
}

// FetchResponse is the answer of the weight store.
type FetchResponse struct {
	RetryAfter time.Duration `json:"retry_after_ns"`
}
