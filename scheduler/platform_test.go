package scheduler

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/endivecourse/endivecourse/backing"
)

// fakePlatform is an in-memory table and object store.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]backing.Row
	objects map[string][]byte
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: make(map[string]backing.Row), objects: make(map[string][]byte)}
}

func (p fakeTable) Commit(_ context.Context, txn backing.Txn) ([]backing.Row, error) {
	if err := p.accessError(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range txn.Require {
		if p.rows[c.Key].Version != c.Version {
			return nil, &backing.ConflictError{Found: []backing.Row{p.rows[c.Key]}}
		}
	}
	var written []backing.Row
	for _, w := range txn.Writes {
		row := backing.Row{Key: w.Key, Value: w.Value, Version: p.rows[w.Key].Version + 1}
		p.rows[w.Key] = row
		written = append(written, row)
	}
	return written, p.replyError()
}

// platformView is one node's access to the platform, with faults.
type platformView struct {
	*fakePlatform
	isCutOff     *atomic.Bool
	losesReplies *atomic.Bool // writes take effect, but return UnknownOutcomeError
}

func (v platformView) replyError() error {
	if v.losesReplies.Load() {
		return &backing.UnknownOutcomeError{Service: "platform"}
	}
	return nil
}

func (v platformView) accessError() error {
	if v.isCutOff.Load() {
		return &backing.UnavailableError{Service: "platform"}
	}
	return nil
}

type fakeTable struct{ platformView }

func (t fakeTable) Get(_ context.Context, key string) (backing.Row, error) {
	if err := t.accessError(); err != nil {
		return backing.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key], nil
}

func (t fakeTable) List(_ context.Context, prefix string) ([]backing.Row, error) {
	if err := t.accessError(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []backing.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

type fakeObjects struct{ platformView }

func (o fakeObjects) Put(_ context.Context, key string, value []byte) error {
	if err := o.accessError(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[key] = bytes.Clone(value)
	return o.replyError()
}

func (o fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	if err := o.accessError(); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	value, found := o.objects[key]
	if !found {
		return nil, &backing.NotFoundError{Key: key}
	}
	return value, nil
}

func (o fakeObjects) List(_ context.Context, prefix string) ([]string, error) {
	if err := o.accessError(); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for key := range o.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

func (o fakeObjects) Delete(_ context.Context, key string) error {
	if err := o.accessError(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.objects, key)
	return nil
}
