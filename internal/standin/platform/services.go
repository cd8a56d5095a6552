package backing

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/backing"
)

// Services returns the services for calls in process. They share their state and faults
// with those served over HTTP.
func (s *Server) Services() backing.Services {
	return backing.Services{
		Table:   &table{s},
		Objects: &objects{s},
		VMs:     &vmList{s},
		Weights: &weightStore{s},
	}
}

type table struct{ s *Server }

// Get returns one row.
func (t *table) Get(ctx context.Context, key string) (backing.Row, error) {
	if err := t.s.applyFaults(ctx, Table, false); err != nil {
		return backing.Row{}, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.faultsOf(Table).counts.Reads++
	return t.s.copyRow(key), nil
}

// List returns the rows whose key has the prefix, sorted by key.
func (t *table) List(ctx context.Context, prefix string) ([]backing.Row, error) {
	if err := t.s.applyFaults(ctx, Table, false); err != nil {
		return nil, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.faultsOf(Table).counts.Reads++
	rows := []backing.Row{}
	for key := range t.s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, t.s.copyRow(key))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit applies a transaction if all its conditions hold.
func (t *table) Commit(ctx context.Context, txn backing.Txn) ([]backing.Row, error) {
	if err := t.s.applyFaults(ctx, Table, true); err != nil {
		return nil, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if err := t.s.checkConditions(txn.Require); err != nil {
		return nil, err
	}
	written := t.s.applyWrites(txn.Writes)
	if err := t.s.recordWrite(Table); err != nil {
		return nil, err
	}
	return written, nil
}

// copyRow returns a copy of a row, or a row without value and version if there is none. The
// caller holds s.mu.
func (s *Server) copyRow(key string) backing.Row {
	row, ok := s.rows[key]
	if !ok {
		return backing.Row{Key: key}
	}
	row.Value = bytes.Clone(row.Value)
	return row
}

// checkConditions returns *ConflictError if a row has another version than a condition
// requires. The rows that differ come first in Found.
func (s *Server) checkConditions(conditions []backing.Condition) error {
	var found []backing.Row
	hasConflict := false
	for _, condition := range conditions {
		row := s.copyRow(condition.Key)
		if row.Version == condition.Version {
			found = append(found, row)
			continue
		}
		hasConflict = true
		found = append([]backing.Row{row}, found...)
	}
	if !hasConflict {
		return nil
	}
	return &backing.ConflictError{Found: found}
}

// applyWrites writes and deletes rows. All rows take their versions from one counter, so a
// row that is written again after a delete gets a higher version.
func (s *Server) applyWrites(writes []backing.Write) []backing.Row {
	written := make([]backing.Row, 0, len(writes))
	for _, w := range writes {
		if w.IsDelete {
			delete(s.rows, w.Key)
			written = append(written, backing.Row{Key: w.Key})
			continue
		}
		s.lastVersion++
		s.rows[w.Key] = backing.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: s.lastVersion}
		written = append(written, s.copyRow(w.Key))
	}
	return written
}

type objects struct{ s *Server }

// Put writes an object.
func (o *objects) Put(ctx context.Context, key string, value []byte) error {
	if err := o.s.applyFaults(ctx, Objects, true); err != nil {
		return err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.objects[key] = append([]byte{}, value...)
	return o.s.recordWrite(Objects)
}

// Get reads an object.
func (o *objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.s.applyFaults(ctx, Objects, false); err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.faultsOf(Objects).counts.Reads++
	value, ok := o.s.objects[key]
	if !ok {
		return nil, &backing.NotFoundError{Key: key}
	}
	return bytes.Clone(value), nil
}

// List returns the keys that have the prefix, sorted.
func (o *objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.s.applyFaults(ctx, Objects, false); err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.faultsOf(Objects).counts.Reads++
	keys := []string{}
	for key := range o.s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Delete removes an object.
func (o *objects) Delete(ctx context.Context, key string) error {
	if err := o.s.applyFaults(ctx, Objects, true); err != nil {
		return err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	delete(o.s.objects, key)
	return o.s.recordWrite(Objects)
}

type vmList struct{ s *Server }

// VMs returns the VM list, which lags behind the changes.
func (v *vmList) VMs(ctx context.Context) ([]backing.VM, error) {
	if err := v.s.applyFaults(ctx, VMs, false); err != nil {
		return nil, err
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.faultsOf(VMs).counts.Reads++
	return v.s.laggedVMs(), nil
}

type weightStore struct{ s *Server }

// Fetch admits one fetch in each WeightInterval. It returns the time to wait if the fetch
// is not admitted.
func (w *weightStore) Fetch(ctx context.Context, _, _ string) (time.Duration, error) {
	if err := w.s.applyFaults(ctx, Weights, true); err != nil {
		return 0, err
	}
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	if wait := w.s.weightInterval - time.Since(w.s.lastFetch); w.s.weightInterval > 0 && wait > 0 {
		return wait, nil
	}
	w.s.lastFetch = time.Now()
	return 0, w.s.recordWrite(Weights)
}
