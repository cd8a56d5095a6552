package turnlog

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/structs"
)

// chainOf reads a chain as a VM does that keeps the program itself.
func chainOf(l *Log, account structs.AccountID, program string, id structs.RequestID) (*Chain, error) {
	return l.Chain(context.Background(), account, id, func(ctx context.Context, ids []structs.RequestID) ([]*Record, error) {
		return l.Find(ctx, program, ids)
	})
}

func newLog(store *rows.Store) *Log {
	return New(Options{
		Store:      store,
		Partition:  func(program string) string { return "p" + program },
		Partitions: []string{"p1", "p2", "p3"},
		CacheBytes: 1 << 20,
		RowBytes:   1 << 10,
	})
}

// appendTurn stores a turn that continues another, as the edge does.
func appendTurn(t *testing.T, l *Log, id, previous structs.RequestID, input, output string) {
	t.Helper()
	var chain *Chain
	if previous != "" {
		var err error
		chain, err = chainOf(l, "account", "1", previous)
		assert.NilError(t, err)
	}
	record := NewRecord("account", chain, []byte(input))
	record.Output = []byte(output)
	assert.NilError(t, l.Append(context.Background(), "1", id, record))
}

// A conversation is read whole by its last turn's ID after all memory was lost,
// in the order of its turns; several turns may continue the same one.
func TestChainIsFoundByItsIDAlone(t *testing.T) {
	store := rows.New()
	l := newLog(store)
	appendTurn(t, l, "a", "", "in1 ", "out1\n")
	appendTurn(t, l, "b", "a", "in2 ", "out2\n")
	appendTurn(t, l, "c", "b", "in3 ", "out3\n")
	appendTurn(t, l, "d", "a", "fork ", "out4\n")
	chain, err := chainOf(newLog(store), "account", "1", "c")
	assert.NilError(t, err)
	assert.Equal(t, string(chain.Prompt([]byte("new"))), "in1 out1\nin2 out2\nin3 out3\nnew")
	chain, err = chainOf(newLog(store), "account", "1", "d")
	assert.NilError(t, err)
	assert.Equal(t, string(chain.Prompt(nil)), "in1 out1\nfork out4\n")
}

// Another account's turn is as if it did not exist; an unreachable store is not.
func TestNotFoundNeedsCertainty(t *testing.T) {
	store := rows.New()
	l := newLog(store)
	appendTurn(t, l, "a", "", "in", "out\n")
	var missing *NotFoundError
	_, err := chainOf(l, "other", "1", "a")
	assert.Assert(t, errors.As(err, &missing))
	_, err = chainOf(l, "account", "1", "x")
	assert.Assert(t, errors.As(err, &missing))
	store.SetFaults(rows.Faults{Down: true})
	_, err = chainOf(newLog(store), "account", "1", "a")
	assert.Assert(t, err != nil && !errors.As(err, &missing), "%v", err)
}

// A turn longer than a row is split and joined again.
func TestLongTurn(t *testing.T) {
	store := rows.New()
	input := bytes.Repeat([]byte("0123456789"), 700)
	appendTurn(t, newLog(store), "long", "", string(input), "out\n")
	chain, err := chainOf(newLog(store), "account", "1", "long")
	assert.NilError(t, err)
	assert.Equal(t, string(chain.Prompt(nil)), string(input)+"out\n")
	err = newLog(store).Append(context.Background(), "1", "huge", &Record{Input: make([]byte, MaxTurnBytes+1)})
	var tooLarge *TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge))
}

// An ID that is the beginning of another's key does not read the other's rows.
func TestIDsAreKeptApart(t *testing.T) {
	store := rows.New()
	l := newLog(store)
	appendTurn(t, l, "a/000", "", "other", "\n")
	_, err := chainOf(newLog(store), "account", "1", "a")
	var missing *NotFoundError
	assert.Assert(t, errors.As(err, &missing), "%v", err)
}

// The cache stays within its bytes.
func TestCacheIsBounded(t *testing.T) {
	l := newLog(rows.New())
	for i := range 2000 {
		appendTurn(t, l, structs.RequestID(fmt.Sprintf("t%d", i)), "", string(make([]byte, 900)), "\n")
	}
	count, size := l.CacheStats()
	assert.Assert(t, size <= 1<<20 && count > 500, "%d records, %d bytes", count, size)
}

// Another program finds the turns of one that was kept elsewhere.
func TestTurnOfAnotherProgramIsFound(t *testing.T) {
	store := rows.New()
	l := newLog(store)
	appendTurn(t, l, "a", "", "in1 ", "out1\n")
	appendTurn(t, l, "b", "a", "in2 ", "out2\n")
	chain, err := chainOf(newLog(store), "account", "3", "b")
	assert.NilError(t, err)
	assert.Equal(t, string(chain.Prompt(nil)), "in1 out1\nin2 out2\n")
}
