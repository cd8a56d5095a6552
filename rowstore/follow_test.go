package rowstore_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/rowstore"
)

// follow runs Follow in the background; it keeps the rows in seen and counts the full
// updates.
func follow(ctx context.Context, store rowstore.Store, seen map[string]string, fullUpdates *int) {
	opts := rowstore.FollowOptions{
		Table: "t", Wait: time.Second, Pause: func() time.Duration { return 50 * time.Millisecond }, RetryDelay: 100 * time.Millisecond,
		Log: slog.New(slog.DiscardHandler),
	}
	go func() {
		_ = rowstore.Follow(ctx, store, opts, func(update rowstore.TableUpdate) {
			if update.IsFull {
				*fullUpdates++
				clear(seen)
			}
			for _, row := range update.Rows {
				if row.IsDeleted {
					delete(seen, row.Key.Key)
					continue
				}
				seen[row.Key.Key] = string(row.Value)
			}
		})
	}()
}

// The store is down for a while and loses its history. A follower that missed the
// changes made meanwhile would keep outdated rows; here it must have each change within
// a second and read the whole table only once more.
func TestFollowReportsEveryChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		for i := range 3 {
			store.Put(rowstore.Key{Table: "t", Key: fmt.Sprint(i)}, []byte("0"))
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		seen, fullUpdates := make(map[string]string), 0
		follow(ctx, store, seen, &fullUpdates)
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, seen, map[string]string{"0": "0", "1": "0", "2": "0"})

		store.Put(rowstore.Key{Table: "t", Key: "1"}, []byte("1"))
		store.Delete(rowstore.Key{Table: "t", Key: "2"})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, seen, map[string]string{"0": "0", "1": "1"})

		store.SetFaults(rows.Faults{IsDown: true})
		time.Sleep(2 * time.Second)
		store.Put(rowstore.Key{Table: "t", Key: "3"}, []byte("3"))
		store.DropHistory()
		store.SetFaults(rows.Faults{})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, seen, map[string]string{"0": "0", "1": "1", "3": "3"})
		assert.Equal(t, fullUpdates, 2)
	})
}

func TestScanAllReadsAllPages(t *testing.T) {
	store := rows.New()
	for i := range 1201 {
		store.Put(rowstore.Key{Table: "t", Key: fmt.Sprintf("%05d", i)}, nil)
	}
	all, version, err := rowstore.ScanAll(context.Background(), store, rowstore.Range{Table: "t"})
	assert.NilError(t, err)
	assert.Equal(t, len(all), 1201)
	assert.Equal(t, version, uint64(1201))
}

// staleStore returns scans of an earlier state while isStale is set.
type staleStore struct {
	rowstore.Store
	earlier rowstore.Page
	isStale atomic.Bool
}

func (s *staleStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if s.isStale.Load() {
		return s.earlier, nil
	}
	return s.Store.Scan(ctx, r)
}

// A follower that knows a newer state must not go back to the one that a stale read
// returns after the store has dropped its history.
func TestFollowIgnoresScanOlderThanLastUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		key := rowstore.Key{Table: "t", Key: "1"}
		store.Put(key, []byte("ready"))
		earlier, err := store.Scan(t.Context(), rowstore.Range{Table: "t"})
		assert.NilError(t, err)
		stale := &staleStore{Store: store, earlier: earlier}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		seen, fullUpdates := make(map[string]string), 0
		follow(ctx, stale, seen, &fullUpdates)
		time.Sleep(200 * time.Millisecond)
		store.Put(key, []byte("draining"))
		time.Sleep(200 * time.Millisecond)
		stale.isStale.Store(true)
		store.Put(rowstore.Key{Table: "t", Key: "2"}, nil)
		store.DropHistory()
		for range 15 {
			time.Sleep(200 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, seen["1"], "draining")
		}
		stale.isStale.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, seen, map[string]string{"1": "draining", "2": ""})
	})
}
