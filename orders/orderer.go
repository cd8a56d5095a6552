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
	// DefaultTerm is how long a lease lasts after it was acquired or renewed.
	DefaultTerm = 10 * time.Second
	// clockDrift bounds the relative difference between the rates of two clocks.
	clockDrift = 0.01
	// deliveryGrace is added to the wait for another orderer's lease, for orders that are
	// still being delivered when it expires.
	deliveryGrace  = 2 * time.Second
	attemptIDBytes = 16
	maxAttempts    = 4
	retryDelay     = 200 * time.Millisecond
)

// Orderer acquires leases on targets. Table and Name are required.
type Orderer struct {
	Table   backing.Table
	Weights backing.Weights
	Name    string        // of the operator, shown to others
	Term    time.Duration // 0 means DefaultTerm
}

func (o *Orderer) term() time.Duration {
	if o.Term == 0 {
		return DefaultTerm
	}
	return o.Term
}

// Lease is the exclusive right to give orders to one target for a limited time. It must
// be used from one goroutine.
type Lease struct {
	orderer           *Orderer
	target            structs.TargetID
	fence             uint64
	version           uint64          // of the row
	expiresAt         structs.Instant // end of the lease
	previousExpiresAt structs.Instant // when the previous lease has certainly expired
}

// Fence returns the fencing token of the lease.
func (l *Lease) Fence() uint64 { return l.fence }

// Acquire takes the lease over, whoever holds it. It returns *HeldError if another
// orderer was faster, *UnknownOutcomeError, or an error of the table if nothing was
// changed.
func (o *Orderer) Acquire(ctx context.Context, id structs.TargetID) (*Lease, error) {
	stored, err := o.Table.Get(ctx, rowKey(id))
	if err != nil {
		return nil, err
	}
	previous, err := decodeRow(stored)
	if err != nil {
		return nil, err
	}
	l := &Lease{orderer: o, target: id, fence: previous.Fence + 1, version: stored.Version}
	if err := l.writeRow(ctx, false); err != nil {
		return nil, err
	}
	l.previousExpiresAt = structs.Now().Add(previous.maxRemaining())
	return l, nil
}

// Renew extends the lease unless another orderer has acquired the lease.
func (l *Lease) Renew(ctx context.Context) error { return l.writeRow(ctx, false) }

// Release gives up the lease, so that the next orderer need not wait. It must not be
// called while the outcome of an order is unknown.
func (l *Lease) Release(ctx context.Context) error { return l.writeRow(ctx, true) }

// writeRow writes the row on the condition that it has not changed since it was last
// read. After an unknown outcome the same transaction is sent again: if the first one
// took effect, the second one conflicts with a row of the same attempt.
func (l *Lease) writeRow(ctx context.Context, isReleased bool) error {
	next := row{Orderer: l.orderer.Name, Fence: l.fence, Attempt: newAttemptID(), Term: l.orderer.term(), IsReleased: isReleased}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode orders row")
	}
	txn := backing.Txn{
		Require: []backing.Condition{{Key: rowKey(l.target), Version: l.version}},
		Writes:  []backing.Write{{Key: rowKey(l.target), Value: value}},
	}
	sent := structs.Now()
	version, err := l.commit(ctx, txn, next.Attempt)
	if err != nil {
		return err
	}
	l.version = version
	l.expiresAt = sent.Add(l.orderer.term())
	if isReleased {
		l.expiresAt = sent
	}
	return nil
}

func (l *Lease) commit(ctx context.Context, txn backing.Txn, attempt string) (version uint64, err error) {
	mayHaveApplied := false
	for try := range maxAttempts {
		if try > 0 && !sleep(ctx, retryDelay) {
			break
		}
		var rows []backing.Row
		rows, err = l.orderer.Table.Commit(ctx, txn)
		var conflict *backing.ConflictError
		var unavailable *backing.UnavailableError
		switch {
		case err == nil:
			return rows[0].Version, nil
		case errors.As(err, &conflict):
			if version, checkErr := l.checkWriter(ctx, attempt); version != 0 || checkErr != nil {
				return version, checkErr
			}
		case errors.As(err, &unavailable) && !mayHaveApplied:
			return 0, err
		}
		mayHaveApplied = true
	}
	return 0, &UnknownOutcomeError{Target: l.target, Cause: err}
}

// checkWriter reads which attempt wrote the row. It returns the row's version if it was
// this attempt, *HeldError if it was another orderer, and zero values if the row can't be
// read.
func (l *Lease) checkWriter(ctx context.Context, attempt string) (version uint64, err error) {
	stored, err := l.orderer.Table.Get(ctx, rowKey(l.target))
	if err != nil {
		return 0, nil
	}
	found, err := decodeRow(stored)
	if err != nil {
		return 0, err
	}
	if found.Attempt == attempt {
		return stored.Version, nil
	}
	return 0, &HeldError{Target: l.target, Orderer: found.Orderer, Fence: found.Fence}
}

func newAttemptID() string {
	var raw [attemptIDBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(raw[:])
}

// sleep waits for d and reports whether it did so before ctx ended.
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
