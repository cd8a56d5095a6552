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
	resp, err := t.c.do(ctx, get)
	if err != nil {
		return backing.Row{}, err
	}
	err = get.decode(resp, &row)
	return row, err
}

// List returns the rows whose key starts with prefix.
func (t *table) List(ctx context.Context, prefix string) (rows []backing.Row, err error) {
	list := call{service: serviceTable, method: http.MethodGet, path: PathRows, query: url.Values{"prefix": {prefix}}}
	resp, err := t.c.do(ctx, list)
	if err != nil {
		return nil, err
	}
	err = list.decode(resp, &rows)
	return rows, err
}

// Commit applies a transaction.
func (t *table) Commit(ctx context.Context, txn backing.Txn) (rows []backing.Row, err error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, errors.Wrap(err, "encode transaction")
	}
	commit := call{service: serviceTable, isWrite: true, method: http.MethodPost, path: PathCommit, body: body}
	resp, err := t.c.do(ctx, commit)
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusConflict {
		var conflict ConflictResponse
		if err := json.Unmarshal(resp.body, &conflict); err != nil {
			return nil, commit.errorAfterSend(errors.Wrap(err, "decode conflict response"))
		}
		return nil, &backing.ConflictError{Found: conflict.Found}
	}
	err = commit.decode(resp, &rows)
	return rows, err
}

type objects struct{ c *client }

// Put writes an object.
func (o *objects) Put(ctx context.Context, key string, value []byte) error {
	put := call{service: serviceObjects, isWrite: true, method: http.MethodPut, path: PathObject,
		query: url.Values{"key": {key}}, body: value}
	return o.write(ctx, put)
}

// Delete deletes an object. It is no error if the object does not exist.
func (o *objects) Delete(ctx context.Context, key string) error {
	remove := call{service: serviceObjects, isWrite: true, method: http.MethodDelete, path: PathObject,
		query: url.Values{"key": {key}}}
	return o.write(ctx, remove)
}

func (o *objects) write(ctx context.Context, w call) error {
	resp, err := o.c.do(ctx, w)
	if err != nil {
		return err
	}
	if resp.status/100 != 2 {
		return w.errorAfterSend(&StatusError{Status: resp.status})
	}
	return nil
}

// Get reads an object.
func (o *objects) Get(ctx context.Context, key string) ([]byte, error) {
	get := call{service: serviceObjects, method: http.MethodGet, path: PathObject, query: url.Values{"key": {key}}}
	resp, err := o.c.do(ctx, get)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.status == http.StatusNotFound:
		return nil, &backing.NotFoundError{Key: key}
	case resp.status/100 != 2:
		return nil, get.errorAfterSend(&StatusError{Status: resp.status})
	}
	return resp.body, nil
}

// List returns the keys that start with prefix.
func (o *objects) List(ctx context.Context, prefix string) (keys []string, err error) {
	list := call{service: serviceObjects, method: http.MethodGet, path: PathObjects, query: url.Values{"prefix": {prefix}}}
	resp, err := o.c.do(ctx, list)
	if err != nil {
		return nil, err
	}
	err = list.decode(resp, &keys)
	return keys, err
}

type vms struct{ c *client }

// VMs returns the list of VMs.
func (v *vms) VMs(ctx context.Context) (list []backing.VM, err error) {
	get := call{service: serviceVMs, method: http.MethodGet, path: PathVMs}
	resp, err := v.c.do(ctx, get)
	if err != nil {
		return nil, err
	}
	err = get.decode(resp, &list)
	return list, err
}

type weights struct{ c *client }

// Fetch requests the weights of a model version.
func (w *weights) Fetch(ctx context.Context, model, version string) (time.Duration, error) {
	fetch := call{service: serviceWeights, isWrite: true, method: http.MethodPost, path: PathWeights,
		query: url.Values{"model": {model}, "version": {version}}}
	resp, err := w.c.do(ctx, fetch)
	if err != nil {
		return 0, err
	}
	var result FetchResponse
	err = fetch.decode(resp, &result)
	return result.RetryAfter, err
}
