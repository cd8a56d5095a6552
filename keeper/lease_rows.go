package keeper

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

func (k *Keeper) leasePrefix() string { return fmt.Sprintf("lease/%s/", k.opts.Domain) }

func (k *Keeper) leaseKey(g lease.Group) string {
	return fmt.Sprintf("%s%03d", k.leasePrefix(), g)
}

func (k *Keeper) groupOfKey(key string) (lease.Group, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, k.leasePrefix()))
	if err != nil || n < 0 || n >= k.cfg.Groups {
		return 0, false
	}
	return lease.Group(n), true
}

// pollInterval returns the interval at which the rows of all groups are read. It is
// longer in a large domain, where rows change rarely. Owners, witnesses and the next
// owner learn of changes from messages, so the interval only limits how outdated the
// rows can be that the other processes know.
func (k *Keeper) pollInterval() time.Duration {
	const minSeconds, maxSeconds = 4, 20
	return time.Second * time.Duration(min(max(minSeconds, len(k.opts.Peers())/3), maxSeconds))
}

func (k *Keeper) servePoll(ctx context.Context) {
	for {
		k.readAllRows(ctx)
		select {
		case <-time.After(k.pollInterval()):
		case <-ctx.Done():
			return
		}
	}
}

// serveReads performs lease.ReadRow. Requests that wait at the same time are served
// together; more than two groups are served by one read of all rows.
func (k *Keeper) serveReads(ctx context.Context) {
	for {
		groups := make(map[lease.Group]bool)
		select {
		case g := <-k.reads.C():
			groups[g] = true
		case <-ctx.Done():
			return
		}
		for k.reads.Depth() > 0 {
			groups[<-k.reads.C()] = true
		}
		if len(groups) > 2 {
			k.readAllRows(ctx)
			continue
		}
		for g := range groups {
			k.readRow(ctx, g)
		}
	}
}

func (k *Keeper) readRow(ctx context.Context, g lease.Group) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sent := structs.Now()
	row, err := k.opts.Table.Get(ctx, k.leaseKey(g))
	if err != nil {
		return
	}
	k.applyRow(sent, g, row)
}

func (k *Keeper) readAllRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sent := structs.Now()
	rows, err := k.opts.Table.List(ctx, k.leasePrefix())
	if err != nil {
		return
	}
	found := make(map[lease.Group]backing.Row)
	for _, row := range rows {
		if g, ok := k.groupOfKey(row.Key); ok {
			found[g] = row
		}
	}
	for g := range k.cfg.Groups {
		k.applyRow(sent, lease.Group(g), found[lease.Group(g)])
	}
}

func (k *Keeper) applyRow(sent structs.Instant, g lease.Group, row backing.Row) {
	var decoded lease.Row
	if row.Version > 0 {
		var err error
		if decoded, err = lease.DecodeRow(row.Value); err != nil {
			k.opts.Log.Error("lease row can't be decoded", "group", g, "error", err)
			return
		}
	}
	k.step(lease.RowRead{Sent: sent, Group: g, Row: decoded, Version: row.Version})
}

func (k *Keeper) serveWrites(ctx context.Context) {
	for {
		select {
		case w := <-k.writes.C():
			k.writeRow(ctx, w)
		case <-ctx.Done():
			return
		}
	}
}

// writeRow commits a row and passes exactly one outcome to the state machine.
func (k *Keeper) writeRow(ctx context.Context, w lease.WriteRow) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	value, err := w.Row.Encode()
	if err != nil {
		k.opts.Log.Error("lease row can't be encoded", "group", w.Group, "error", err)
		k.step(lease.WriteFailed{Group: w.Group, Version: w.Version})
		return
	}
	key := k.leaseKey(w.Group)
	sent := structs.Now()
	written, err := k.opts.Table.Commit(ctx, backing.Txn{
		Require: []backing.Condition{{Key: key, Version: w.Version}},
		Writes:  []backing.Write{{Key: key, Value: value}},
	})
	var conflict *backing.ConflictError
	var unavailable *backing.UnavailableError
	switch {
	case err == nil && len(written) == 1:
		k.step(lease.RowWritten{Sent: sent, Group: w.Group, Row: w.Row, Version: written[0].Version})
	case errors.As(err, &conflict) && len(conflict.Found) == 1 && conflict.Found[0].Version > w.Version:
		k.applyRow(sent, w.Group, conflict.Found[0])
	default:
		k.step(lease.WriteFailed{Group: w.Group, Version: w.Version, Unknown: !errors.As(err, &unavailable)})
		k.reads.TryPut(w.Group)
	}
}
