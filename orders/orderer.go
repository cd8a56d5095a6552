package orders

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// DefaultTerm is how long one taking or renewal lasts.
	DefaultTerm = 10 * time.Second
	// drift is by how much the speeds of two clocks may differ.
	drift = 0.01
	// grace is added to the wait for another orderer's term, for orders that
	// are on their way when it ends.
	grace        = 2 * time.Second
	attemptBytes = 16
	tries        = 4
	retryPause   = 200 * time.Millisecond
)

// Orderer takes the right to give orders. Table and Name are required.
type Orderer struct {
	Table   backing.Table
	Weights backing.Weights
	Name    string        // of the operator, for others to see
	Term    time.Duration // 0 means DefaultTerm
}

func (o *Orderer) term() time.Duration {
	if o.Term == 0 {
		return DefaultTerm
	}
	return o.Term
}

// Lease is the right to give orders to one target. It is used from one
// goroutine.
type Lease struct {
	orderer *Orderer
	target  structs.TargetID
	fence   uint64
	version uint64          // of the row
	until   structs.Instant // end of the term
	free    structs.Instant // when the term before has ended for certain
}

// Fence returns the fencing number of the right.
func (r *Lease) Fence() uint64 { return r.fence }

// Acquire takes the right from whoever has it. Its errors are *HeldError when
// another orderer was faster, *UncertainError, and those of the table when
// nothing was changed.
func (o *Orderer) Acquire(ctx context.Context, id structs.TargetID) (*Lease, error) {
	stored, err := o.Table.Get(ctx, rowKey(id))
	if err != nil {
		return nil, err
	}
	before, err := read(stored)
	if err != nil {
		return nil, err
	}
	r := &Lease{orderer: o, target: id, fence: before.Fence + 1, version: stored.Version}
	if err := r.write(ctx, false); err != nil {
		return nil, err
	}
	r.free = structs.Now().Add(before.wait())
	return r, nil
}

// Renew extends the term, unless another orderer has taken the right.
func (r *Lease) Renew(ctx context.Context) error { return r.write(ctx, false) }

// Release gives the right up, so that the next orderer need not wait. It must
// not be called while the outcome of an order is unknown.
func (r *Lease) Release(ctx context.Context) error { return r.write(ctx, true) }

// write stores the row under the condition that it is as last read. After an
// unknown outcome the same transaction is sent again: if the first has taken
// effect, the second conflicts with a row of the same attempt.
func (r *Lease) write(ctx context.Context, released bool) error {
	next := row{Orderer: r.orderer.Name, Fence: r.fence, Attempt: newAttempt(), Term: r.orderer.term(), Released: released}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode row of orders")
	}
	txn := backing.Txn{
		Require: []backing.Condition{{Key: rowKey(r.target), Version: r.version}},
		Writes:  []backing.Write{{Key: rowKey(r.target), Value: value}},
	}
	sent := structs.Now()
	version, err := r.commit(ctx, txn, next.Attempt)
	if err != nil {
		return err
	}
	r.version = version
	r.until = sent.Add(r.orderer.term())
	if released {
		r.until = sent
	}
	return nil
}

func (r *Lease) commit(ctx context.Context, txn backing.Txn, attempt string) (version uint64, err error) {
	uncertain := false
	for try := range tries {
		if try > 0 && !sleep(ctx, retryPause) {
			break
		}
		var rows []backing.Row
		rows, err = r.orderer.Table.Commit(ctx, txn)
		var conflict *backing.ConflictError
		var unavailable *backing.UnavailableError
		switch {
		case err == nil:
			return rows[0].Version, nil
		case errors.As(err, &conflict):
			if version, lookErr := r.look(ctx, attempt); version != 0 || lookErr != nil {
				return version, lookErr
			}
		case errors.As(err, &unavailable) && !uncertain:
			return 0, err
		}
		uncertain = true
	}
	return 0, &UnknownOutcomeError{Target: r.target, Cause: err}
}

// look reads who wrote the row: this attempt, whose version it returns, or
// another orderer. Both results are zero when that cannot be told.
func (r *Lease) look(ctx context.Context, attempt string) (version uint64, err error) {
	stored, err := r.orderer.Table.Get(ctx, rowKey(r.target))
	if err != nil {
		return 0, nil
	}
	found, err := read(stored)
	if err != nil {
		return 0, err
	}
	if found.Attempt == attempt {
		return stored.Version, nil
	}
	return 0, &HeldError{Target: r.target, Orderer: found.Orderer, Fence: found.Fence}
}

func newAttempt() string {
	var raw [attemptBytes]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// sleep waits for d and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
