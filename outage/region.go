package outage

import "time"

const (
	// PromiseTime is how long the holders of a region grant nothing after they have promised so. It
	// exceeds PromisePeriod by the time within which processes start again, and it is well below the
	// time that a caller has.
	PromiseTime = 2 * time.Second
	// PromisePeriod is the time between two promises of a region that reaches the store.
	PromisePeriod = 500 * time.Millisecond
	// LossTime is how long a region grants nothing after grants may have been lost. A program that
	// got some of them has ended by then.
	LossTime = time.Hour
	// unstoredTime is how long a program that began without the store may pause before its balance
	// is stored.
	unstoredTime = 10 * time.Minute
	// joinTime is how long after the first region the others may join at the first start of the system.
	joinTime = time.Minute
	// clockMargin is how far the clocks of two VMs may be apart, and more.
	clockMargin = time.Minute
)

// RegionRecord is what the store has about the grants of a region. It outlives all processes: it
// shows whether grants can have been made that were lost with them.
type RegionRecord struct {
	// NoGrantsBefore is the time of the store's clock, in milliseconds, before which the holders
	// have promised to grant nothing.
	NoGrantsBefore int64 `msgpack:"n"`
	// LostAt is when grants may last have been lost, in Unix milliseconds, 0 for never.
	LostAt int64 `msgpack:"l,omitempty"`
	// JoinedAt is the time of the store's clock, in milliseconds, at which the region stored its
	// first record. From then on it grants to its part of the programs.
	JoinedAt int64 `msgpack:"j,omitempty"`
}

// Join returns the first record of a region. others are the records of the other regions, and
// storeClock and now the current time. A region that joins later than the others takes programs
// over to which those may have granted tokens, so that it begins as after a loss.
func Join(others map[string]RegionRecord, storeClock, now int64) RegionRecord {
	record := RegionRecord{JoinedAt: storeClock}
	for _, other := range others {
		if storeClock-other.JoinedAt > joinTime.Milliseconds() {
			record.LostAt = now
		}
	}
	return record
}

// GrantsNothing reports whether the region grants nothing at now, in Unix milliseconds, since
// grants have been lost.
func (r RegionRecord) GrantsNothing(now int64) bool {
	return r.LostAt > 0 && now < r.LostAt+LossTime.Milliseconds()
}

// ShowsNoLoss reports whether the processes that ended before a time can't have made grants that
// are unknown. storeClock is that time of the store's clock and now the same in Unix milliseconds.
func (r RegionRecord) ShowsNoLoss(storeClock, now int64) bool {
	return storeClock < r.NoGrantsBefore || r.GrantsNothing(now+clockMargin.Milliseconds())
}

// MayHaveLostGrants reports whether a program may have got grants that were lost. bornAt is when
// its balance was first stored, in Unix milliseconds.
func (r RegionRecord) MayHaveLostGrants(bornAt int64) bool {
	return r.LostAt > 0 && bornAt < r.LostAt+unstoredTime.Milliseconds()
}
