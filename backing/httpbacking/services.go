package httpbacking

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
)

type table struct{ c *client }

// Get returns one row.
func (t *table) Get(ctx context.Context, key string) (row backing.Row, err error) {
	get := call{service: serviceTable, method: http.MethodGet, path: PathRow, query: url.Values{"key": {key}}}
	a, err := t.c.do(ctx, get)
	if err != nil {
		return backing.Row{}, err
	}
	err = get.decode(a, &row)
	return row, err
}

// List returns the rows under a prefix.
func (t *table) List(ctx context.Context, prefix string) (rows []backing.Row, err error) {
	list := call{service: serviceTable, method: http.MethodGet, path: PathRows, query: url.Values{"prefix": {prefix}}}
	a, err := t.c.do(ctx, list)
	if err != nil {
		return nil, err
	}
	err = list.decode(a, &rows)
	return rows, err
}

// Commit applies a transaction.
func (t *table) Commit(ctx context.Context, txn backing.Txn) (rows []backing.Row, err error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, errors.Wrap(err, "encode transaction")
	}
	commit := call{service: serviceTable, write: true, method: http.MethodPost, path: PathCommit, body: body}
	a, err := t.c.do(ctx, commit)
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusConflict {
		var conflict ConflictResponse
		if err := json.Unmarshal(a.body, &conflict); err != nil {
			return nil, commit.lost(errors.Wrap(err, "decode conflict"))
		}
		return nil, &backing.ConflictError{Found: conflict.Found}
	}
	err = commit.decode(a, &rows)
	return rows, err
}

type objects struct{ c *client }

// Put writes an object.
func (o *objects) Put(ctx context.Context, key string, value []byte) error {
	put := call{service: serviceObjects, write: true, method: http.MethodPut, path: PathObject,
		query: url.Values{"key": {key}}, body: value}
	return o.write(ctx, put)
}

// Delete removes an object; a missing one is no error.
func (o *objects) Delete(ctx context.Context, key string) error {
	remove := call{service: serviceObjects, write: true, method: http.MethodDelete, path: PathObject,
		query: url.Values{"key": {key}}}
	return o.write(ctx, remove)
}

func (o *objects) write(ctx context.Context, w call) error {
	a, err := o.c.do(ctx, w)
	if err != nil {
		return err
	}
	if a.status/100 != 2 {
		return w.lost(&StatusError{Status: a.status})
	}
	return nil
}

// Get reads an object.
func (o *objects) Get(ctx context.Context, key string) ([]byte, error) {
	get := call{service: serviceObjects, method: http.MethodGet, path: PathObject, query: url.Values{"key": {key}}}
	a, err := o.c.do(ctx, get)
	if err != nil {
		return nil, err
	}
	switch {
	case a.status == http.StatusNotFound:
		return nil, &backing.NotFoundError{Key: key}
	case a.status/100 != 2:
		return nil, get.lost(&StatusError{Status: a.status})
	}
	return a.body, nil
}

// List returns the keys under a prefix.
func (o *objects) List(ctx context.Context, prefix string) (keys []string, err error) {
	list := call{service: serviceObjects, method: http.MethodGet, path: PathObjects, query: url.Values{"prefix": {prefix}}}
	a, err := o.c.do(ctx, list)
	if err != nil {
		return nil, err
	}
	err = list.decode(a, &keys)
	return keys, err
}

type vms struct{ c *client }

// VMs returns the list of VMs.
func (v *vms) VMs(ctx context.Context) (list []backing.VM, err error) {
	get := call{service: serviceVMs, method: http.MethodGet, path: PathVMs}
	a, err := v.c.do(ctx, get)
	if err != nil {
		return nil, err
	}
	err = get.decode(a, &list)
	return list, err
}

type weights struct{ c *client }

// Fetch asks for weights.
func (w *weights) Fetch(ctx context.Context, model, version string) (time.Duration, error) {
	fetch := call{service: serviceWeights, write: true, method: http.MethodPost, path: PathWeights,
		query: url.Values{"model": {model}, "version": {version}}}
	a, err := w.c.do(ctx, fetch)
	if err != nil {
		return 0, err
	}
	var result FetchResponse
	err = fetch.decode(a, &result)
	return result.RetryAfter, err
}
