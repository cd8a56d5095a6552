// Package meter measures the requests to the platform: their number, outcomes, bytes
// and duration.
package meter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
)

// Meter measures the requests to the services that it wraps.
type Meter struct{ set *metrics.Set }

// New returns a Meter whose metrics are all zero.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// WriteMetrics writes the metrics in the Prometheus text format.
func (m *Meter) WriteMetrics(w io.Writer) { m.set.WritePrometheus(w) }

// Wrap returns the services with all requests measured. Services that are nil stay nil.
func (m *Meter) Wrap(s backing.Services) backing.Services {
	if s.Table != nil {
		s.Table = table{m, s.Table}
	}
	if s.Objects != nil {
		s.Objects = objects{m, s.Objects}
	}
	if s.VMs != nil {
		s.VMs = vms{m, s.VMs}
	}
	if s.Weights != nil {
		s.Weights = weights{m, s.Weights}
	}
	return s
}

// outcomeOf returns the outcome label of a request. The set of labels is fixed.
func outcomeOf(err error) string {
	var conflict *backing.ConflictError
	var missing *backing.NotFoundError
	var unknown *backing.UnknownOutcomeError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &missing):
		return "not_found"
	case errors.As(err, &unknown):
		return "unknown"
	default:
		return "unavailable"
	}
}

// recordRequest records the outcome and duration of one request, and the bytes of its
// keys and values.
func (m *Meter) recordRequest(op string, began time.Time, err error, sent, received int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`endive_platform_requests_total{op=%q,outcome=%q}`, op, outcomeOf(err))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`endive_platform_request_seconds{op=%q}`, op)).UpdateDuration(began)
	m.set.GetOrCreateCounter(`endive_platform_bytes_total{direction="sent"}`).Add(sent)
	m.set.GetOrCreateCounter(`endive_platform_bytes_total{direction="received"}`).Add(received)
}

func rowBytes(rows ...backing.Row) int {
	total := 0
	for _, row := range rows {
		total += len(row.Key) + len(row.Value)
	}
	return total
}

func txnBytes(txn backing.Txn) int {
	total := 0
	for _, c := range txn.Require {
		total += len(c.Key)
	}
	for _, w := range txn.Writes {
		total += len(w.Key) + len(w.Value)
	}
	return total
}

type table struct {
	meter   *Meter
	wrapped backing.Table
}

func (t table) Get(ctx context.Context, key string) (backing.Row, error) {
	began := time.Now()
	row, err := t.wrapped.Get(ctx, key)
	t.meter.recordRequest("table.get", began, err, len(key), rowBytes(row))
	return row, err
}

func (t table) List(ctx context.Context, prefix string) ([]backing.Row, error) {
	began := time.Now()
	rows, err := t.wrapped.List(ctx, prefix)
	t.meter.recordRequest("table.list", began, err, len(prefix), rowBytes(rows...))
	return rows, err
}

func (t table) Commit(ctx context.Context, txn backing.Txn) ([]backing.Row, error) {
	began := time.Now()
	rows, err := t.wrapped.Commit(ctx, txn)
	t.meter.recordRequest("table.commit", began, err, txnBytes(txn), rowBytes(rows...))
	return rows, err
}

type objects struct {
	meter   *Meter
	wrapped backing.Objects
}

func (o objects) Put(ctx context.Context, key string, value []byte) error {
	began := time.Now()
	err := o.wrapped.Put(ctx, key, value)
	o.meter.recordRequest("object.put", began, err, len(key)+len(value), 0)
	return err
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	began := time.Now()
	value, err := o.wrapped.Get(ctx, key)
	o.meter.recordRequest("object.get", began, err, len(key), len(value))
	return value, err
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	began := time.Now()
	keys, err := o.wrapped.List(ctx, prefix)
	received := 0
	for _, key := range keys {
		received += len(key)
	}
	o.meter.recordRequest("object.list", began, err, len(prefix), received)
	return keys, err
}

func (o objects) Delete(ctx context.Context, key string) error {
	began := time.Now()
	err := o.wrapped.Delete(ctx, key)
	o.meter.recordRequest("object.delete", began, err, len(key), 0)
	return err
}

type vms struct {
	meter   *Meter
	wrapped backing.VMList
}

// vmBytes is an estimate of the encoded size of one VM list entry.
const vmBytes = 160

func (v vms) VMs(ctx context.Context) ([]backing.VM, error) {
	began := time.Now()
	list, err := v.wrapped.VMs(ctx)
	v.meter.recordRequest("vms.list", began, err, 0, vmBytes*len(list))
	return list, err
}

type weights struct {
	meter   *Meter
	wrapped backing.Weights
}

func (w weights) Fetch(ctx context.Context, model, version string) (time.Duration, error) {
	began := time.Now()
	retryAfter, err := w.wrapped.Fetch(ctx, model, version)
	w.meter.recordRequest("weights.fetch", began, err, len(model)+len(version), 0)
	return retryAfter, err
}
