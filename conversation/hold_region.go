package conversation

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/outage"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// regionTable holds an outage.RegionRecord for each region.
	regionTable = "grants"
	// promiseMargin is by how much a promise exceeds outage.PromiseTime, for clocks that run at
	// different rates.
	promiseMargin = 50 * time.Millisecond
	// clockTime is how long the store's clock is extrapolated by that of this VM, which stands still
	// while the VM is suspended.
	clockTime = 10 * time.Second
	// firstClockTime is the same while other regions may join at the first start of the system, and
	// firstTime how long that takes.
	firstClockTime, firstTime = 500 * time.Millisecond, time.Minute
	// joinedPeriod is how often a VM that does not promise reads which regions have joined.
	joinedPeriod = time.Minute
	// recordTimeout bounds a call to the store for a region's record.
	recordTimeout = 700 * time.Millisecond
)

// regionEvidence is what a process knows of its region's record.
type regionEvidence struct {
	isFirstStart bool // of all regions, so that no grant was made before
	isRead       bool
	isRecorded   bool // the record is in the store
	record       outage.RegionRecord
	version      uint64
	// showsNoLoss is whether no grants can have been lost with earlier processes of this VM.
	showsNoLoss bool
	// lostAt is the record's LostAt when it was first read.
	lostAt int64
	// joined are the regions that have a record in the store, in alphabetical order.
	joined []string
	// others are the records of the other regions as read with the clock.
	others map[string]outage.RegionRecord
	// clock is the store's clock in milliseconds as read, clockAt when the answer arrived.
	clock   int64
	clockAt time.Time
}

// knowsGrants reports whether this holder knows all grants that it has accepted, except for those of
// a recorded loss. The caller holds the lock.
func (h *Holds) knowsGrants() bool {
	return h.register.IsIntact() || h.region.isRead && h.region.showsNoLoss
}

// mayGrantAt reports whether this holder may accept grants. The caller holds the lock.
func (h *Holds) mayGrantAt(now time.Time) bool {
	return h.region.isRecorded && !now.Before(h.promisedUntil) && !h.region.record.GrantsNothing(now.UnixMilli())
}

// promise records that this holder grants nothing for some time. The caller holds the lock.
func (h *Holds) promise(now time.Time) {
	h.promisedUntil = now.Add(outage.PromiseTime + promiseMargin)
}

// learnJoined takes over which regions have joined, and whether this one has. The caller holds the
// lock.
func (h *Holds) learnJoined(joined []string, isRecorded bool) {
	if isRecorded && !h.region.isRecorded {
		h.region.isRecorded = true
		h.opts.Log.Info("the region has a record in the store, so that it may grant tokens", "region", h.opts.Region)
	}
	for _, region := range joined {
		if !slices.Contains(h.region.joined, region) {
			h.region.joined = slices.Sorted(slices.Values(append(slices.Clone(h.region.joined), region)))
		}
	}
}

func regionKey(region string) rowstore.Key { return rowstore.Key{Table: regionTable, Key: region} }

// readRegions reads the records of all regions and the store's clock. The first time, they tell
// whether grants can have been lost before this process started.
func (h *Holds) readRegions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	sent := time.Now()
	page, err := h.opts.Store.Scan(ctx, rowstore.Range{Table: regionTable})
	if err != nil {
		h.opts.Log.Info("records of the regions' grants not read yet", "cause", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &h.region
	e.clock, e.clockAt, e.others = page.Clock, time.Now(), make(map[string]outage.RegionRecord)
	for _, row := range page.Rows {
		if err := h.adoptRecord(row); err != nil {
			h.opts.Log.Error("record of a region's grants can't be read", "region", row.Key.Key, "cause", err.Error())
			return
		}
	}
	if !e.isRead {
		e.isRead = true
		h.judgeStart(page.Clock - sent.Sub(h.started).Milliseconds())
	}
}

// judgeStart decides whether grants can have been lost before this process started, which was at a
// time of the store's clock. The caller holds the lock.
func (h *Holds) judgeStart(clockAtStart int64) {
	e := &h.region
	e.lostAt = e.record.LostAt
	e.showsNoLoss = e.isFirstStart || !e.isRecorded || e.record.ShowsNoLoss(clockAtStart, h.started.UnixMilli())
	h.opts.Log.Info("record of the region's grants read", "shows_no_loss", e.showsNoLoss, "recorded", e.isRecorded,
		"clock_at_start", clockAtStart, "no_grants_before", e.record.NoGrantsBefore, "lost_at", e.record.LostAt, "regions", len(e.joined))
}

// adoptRecord takes over a region's record as the store has it. The caller holds the lock.
func (h *Holds) adoptRecord(row rowstore.Row) error {
	if row.Version == 0 {
		return nil
	}
	var record outage.RegionRecord
	if err := msgpack.Unmarshal(row.Value, &record); err != nil {
		return errors.Wrap(err, "decode region")
	}
	isOwn := row.Key.Key == h.opts.Region
	h.learnJoined([]string{row.Key.Key}, isOwn)
	if isOwn {
		h.region.record, h.region.version = record, row.Version
		return nil
	}
	h.region.others[row.Key.Key] = record
	return nil
}

// learnRecord takes over what another holder of this region knows of its record. The caller holds
// the lock.
func (h *Holds) learnRecord(reply HoldReply) {
	h.region.record.LostAt = max(h.region.record.LostAt, reply.Region.LostAt)
	h.learnJoined(reply.Joined, reply.IsRecorded)
}

// writeRecord changes the record in the store. It returns false if another VM has changed it; the
// record is then the one of that VM.
func (h *Holds) writeRecord(ctx context.Context, change func(*outage.RegionRecord)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	now := time.Now()
	h.mu.Lock()
	e := &h.region
	record, version, key := e.record, e.version, regionKey(h.opts.Region)
	if version == 0 {
		record = outage.Join(e.others, e.clock+now.Sub(e.clockAt).Milliseconds(), now.UnixMilli())
	}
	h.mu.Unlock()
	change(&record)
	value, err := msgpack.Marshal(record)
	if err != nil {
		return false, errors.Wrap(err, "encode region")
	}
	version, err = h.opts.Store.Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key, Version: version}}, Put: []rowstore.Put{{Key: key, Value: value}},
	})
	var conflict *rowstore.ConflictError
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case errors.As(err, &conflict):
		return false, h.adoptRecord(conflict.Find(key))
	case err != nil:
		return false, err
	}
	e.record, e.version = record, version
	h.learnJoined([]string{h.opts.Region}, true)
	return true, nil
}

// renewPromise has the holders of this region promise to grant nothing for a while, and records
// that in the store, unless another VM does.
func (h *Holds) renewPromise(ctx context.Context) {
	others, isSelf, areAble := h.opts.Holders.Holders()
	if !isSelf || !areAble || len(others) == 0 || !h.opts.MayGrant() || h.opts.UnreachableFor() > 0 {
		return
	}
	if _, isHome := h.opts.Holders.Home(regionTable); !isHome {
		return
	}
	until, request, isKnown := h.nextPromise(ctx)
	if !isKnown || !h.collectPromises(ctx, others, request) {
		return
	}
	isWritten, err := h.writeRecord(ctx, func(r *outage.RegionRecord) { r.NoGrantsBefore = max(r.NoGrantsBefore, until) })
	switch {
	case err != nil:
		h.opts.Log.Info("promise of the region's holders not recorded", "cause", err.Error())
	case isWritten && !request.IsRecorded: // the holders may grant once they know the record
		h.renewPromise(ctx)
	}
}

// nextPromise returns the end of a promise that is made now, by the store's clock, and the request
// to the holders. The end is early by the time that this VM was suspended.
func (h *Holds) nextPromise(ctx context.Context) (until int64, request HoldRequest, isKnown bool) {
	now := time.Now()
	if h.isClockOld(now) {
		h.readRegions(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &h.region
	until = e.clock + now.Sub(e.clockAt).Milliseconds() + outage.PromiseTime.Milliseconds()
	request = HoldRequest{Promise: true, IsRecorded: e.isRecorded, Joined: e.joined}
	return until, request, e.isRead && now.Sub(e.clockAt) <= clockTime
}

// isClockOld reports whether the records and the store's clock have to be read again.
func (h *Holds) isClockOld(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, maxAge := &h.region, clockTime
	if e.clock-e.record.JoinedAt < firstTime.Milliseconds() {
		maxAge = firstClockTime
	}
	return !e.isRead || now.Sub(e.clockAt) >= maxAge
}

// collectPromises reports whether enough of the holders, this VM included, have promised, so that the
// others are no majority.
func (h *Holds) collectPromises(ctx context.Context, others []structs.VMID, request HoldRequest) bool {
	promised, holders := 1, len(others)+1
	for r := range h.callAll(ctx, others, request) {
		if r.reply.HasPromised {
			promised++
		}
		if excludesGrants(promised, holders) {
			break
		}
	}
	return excludesGrants(promised, holders) && h.serve(request).HasPromised
}

// recordLoss records that grants may have been lost with a majority of the holders, unless another
// holder has done so since this process started.
func (h *Holds) recordLoss(ctx context.Context) bool {
	for {
		h.mu.Lock()
		isRecorded := h.region.record.LostAt != h.region.lostAt
		h.mu.Unlock()
		if isRecorded {
			return true
		}
		isWritten, err := h.writeRecord(ctx, func(r *outage.RegionRecord) { r.LostAt = time.Now().UnixMilli() })
		if err != nil {
			h.opts.Log.Warn("loss of grants not recorded yet", "cause", err.Error())
			return false
		}
		if isWritten {
			h.opts.Log.Warn("grants of an outage may have been lost, the region grants nothing for a while", "for", outage.LossTime)
			return true
		}
	}
}
