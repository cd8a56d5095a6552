package backing

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
)

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{VMLag: 10 * time.Second})
		list := func() int {
			vms, err := s.Services().VMs.VMs(t.Context())
			assert.NilError(t, err)
			return len(vms)
		}
		s.SetVM(backing.VM{ID: "vm-1", State: backing.VMLive})
		time.Sleep(9 * time.Second)
		assert.Equal(t, list(), 0)
		time.Sleep(time.Second)
		assert.Equal(t, list(), 1)
		s.RemoveVM("vm-1")
		assert.Equal(t, list(), 1)
		time.Sleep(10 * time.Second)
		assert.Equal(t, list(), 0)
	})
}

func TestLatencyAndHangFollowTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		start := time.Now()
		s.SetLatency(Table, 3*time.Second)
		_, err := s.Services().Table.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 3*time.Second)
		s.SetHang(Table, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = s.Services().Table.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: "k"}}})
		var unknown *backing.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown))
		assert.Equal(t, s.Counts(Table), Counts{Reads: 1})
	})
}

func TestVersionsGrowOverDeletes(t *testing.T) {
	s := New(Options{})
	table := s.Services().Table
	put := backing.Txn{Writes: []backing.Write{{Key: "k", Value: []byte("v")}}}
	first, err := table.Commit(t.Context(), put)
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: "k", IsDelete: true}}})
	assert.NilError(t, err)
	second, err := table.Commit(t.Context(), put)
	assert.NilError(t, err)
	assert.Assert(t, second[0].Version > first[0].Version)
}

func TestWriteRateIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		objects := s.Services().Objects
		for second, writes := range []int{2, 3, 1} {
			for range writes {
				assert.NilError(t, objects.Put(t.Context(), "k", []byte{byte(second)}))
			}
			time.Sleep(time.Second)
		}
		assert.Equal(t, s.Counts(Objects), Counts{Writes: 6, PeakWriteRate: 3})
	})
}
