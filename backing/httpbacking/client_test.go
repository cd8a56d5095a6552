package httpbacking_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	_ "github.com/endivecourse/endivecourse/backing/httpbacking"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/kernel"
)

func dial(t *testing.T, url string, timeout time.Duration) backing.Services {
	t.Helper()
	factory, err := kernel.Lookup[backing.Factory]("platform.http")
	assert.NilError(t, err)
	services, err := factory(url, timeout)
	assert.NilError(t, err)
	return services
}

func startPlatform(t *testing.T) (*standin.Server, *httptest.Server, backing.Services) {
	t.Helper()
	server := standin.New(standin.Options{VMs: []backing.VM{{ID: "vm-1", State: backing.VMLive}}, WeightInterval: time.Hour})
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	return server, web, dial(t, web.URL, 10*time.Second)
}

func assertAs[E error](t *testing.T, err error) E {
	t.Helper()
	var want E
	assert.Assert(t, errors.As(err, &want), "want %T, have %T: %v", want, err, err)
	return want
}

func TestTableGetCommitConflictAndList(t *testing.T) {
	_, _, s := startPlatform(t)
	ctx := t.Context()
	row, err := s.Table.Get(ctx, "a/1&x")
	assert.NilError(t, err)
	assert.DeepEqual(t, row, backing.Row{Key: "a/1&x"})
	create := backing.Txn{
		Require: []backing.Condition{{Key: "a/1&x"}},
		Writes:  []backing.Write{{Key: "a/1&x", Value: []byte{0, 255}}},
	}
	written, err := s.Table.Commit(ctx, create)
	assert.NilError(t, err)
	_, err = s.Table.Commit(ctx, create)
	conflict := assertAs[*backing.ConflictError](t, err)
	assert.DeepEqual(t, conflict.Found, written)
	rows, err := s.Table.List(ctx, "a/")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, written)
}

func TestObjectsVMsAndWeights(t *testing.T) {
	_, _, s := startPlatform(t)
	ctx := t.Context()
	assert.NilError(t, s.Objects.Put(ctx, "o/1", []byte("value")))
	value, err := s.Objects.Get(ctx, "o/1")
	assert.NilError(t, err)
	assert.Equal(t, string(value), "value")
	keys, err := s.Objects.List(ctx, "o/")
	assert.NilError(t, err)
	assert.DeepEqual(t, keys, []string{"o/1"})
	assert.NilError(t, s.Objects.Delete(ctx, "o/1"))
	_, err = s.Objects.Get(ctx, "o/1")
	assertAs[*backing.NotFoundError](t, err)
	list, err := s.VMs.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	wait, err := s.Weights.Fetch(ctx, "m", "1")
	assert.NilError(t, err)
	assert.Equal(t, wait, time.Duration(0))
	wait, err = s.Weights.Fetch(ctx, "m", "1")
	assert.NilError(t, err)
	assert.Assert(t, wait > 0)
}

var putRow = backing.Txn{Writes: []backing.Write{{Key: "k", Value: []byte("v")}}}

func TestOutageIsUnavailable(t *testing.T) {
	server, _, s := startPlatform(t)
	server.SetOutage(standin.Table, true)
	_, err := s.Table.Commit(t.Context(), putRow)
	assertAs[*backing.UnavailableError](t, err)
	server.SetOutage(standin.Table, false)
	row, err := s.Table.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(0))
}

func TestLostResponseIsUnknownAndTookEffect(t *testing.T) {
	_, web, s := startPlatform(t)
	resp, err := http.Post(web.URL+"/control/lose?service=table&n=1", "", nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	_, err = s.Table.Commit(t.Context(), putRow)
	assertAs[*backing.UnknownOutcomeError](t, err)
	row, err := s.Table.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")
}

// The server receives each request and never responds, and the request's context ends
// once the server has the request. The outcome must be unknown for writes only.
func TestHangIsUnknownForWritesOnly(t *testing.T) {
	server := standin.New(standin.Options{})
	server.SetHang(standin.Objects, true)
	arrived := make(chan struct{}, 1)
	handler := server.Handler()
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		handler.ServeHTTP(w, r)
	}))
	defer web.Close()
	s := dial(t, web.URL, 0)
	cancelOnArrival := func() context.Context {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			defer cancel()
			<-arrived
		}()
		return ctx
	}
	assertAs[*backing.UnknownOutcomeError](t, s.Objects.Put(cancelOnArrival(), "k", nil))
	_, err := s.Objects.Get(cancelOnArrival(), "k")
	assertAs[*backing.UnavailableError](t, err)
}

func TestTimeoutBoundsEachRequest(t *testing.T) {
	server, web, _ := startPlatform(t)
	server.SetHang(standin.VMs, true)
	_, err := dial(t, web.URL, 10*time.Millisecond).VMs.VMs(t.Context())
	assertAs[*backing.UnavailableError](t, err)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	_, web, s := startPlatform(t)
	web.Close()
	_, err := s.Table.Commit(t.Context(), putRow)
	assertAs[*backing.UnavailableError](t, err)
}

func TestErrorStatusWithoutNotAppliedHeaderIsUnknown(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer web.Close()
	_, err := dial(t, web.URL, 0).Table.Commit(t.Context(), putRow)
	assertAs[*backing.UnknownOutcomeError](t, err)
}
