package configwatch

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// queryTimeout limits one query to a peer.
const queryTimeout = longPollTimeout + 2*time.Second

// querier queries schedulers for later versions and applies the replies.
type querier struct {
	from          string
	holder        *config.Holder
	wire          *wire.Client
	needsDocument bool // the last patch did not fit, so the next query accepts no patch
}

// query sends one query to the scheduler at addr and applies the reply. The
// confirmation counts from the time at which the query was sent, so that a
// delayed reply never makes the version in force look fresher than it is. query
// returns the age of the peer's own confirmation.
func (a *querier) query(ctx context.Context, addr string, inForce uint64) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := structs.ConfigQuery{HaveVersion: currentVersion(a.holder), From: a.from, InForce: inForce, AcceptsPatch: !a.needsDocument}
	sent := structs.Now()
	var reply structs.ConfigVersion
	if err := a.wire.Call(ctx, addr, structs.MethodWatchConfig, query, &reply); err != nil {
		return 0, err
	}
	if err := a.apply(reply); err != nil {
		return 0, err
	}
	if reply.Age < neverConfirmed && currentVersion(a.holder) >= reply.Version {
		a.holder.Confirm(sent.Add(-reply.Age))
	}
	return reply.Age, nil
}

// apply puts the version in the reply in force, if there is one. After a patch
// that does not fit, the next query requests the full document.
func (a *querier) apply(reply structs.ConfigVersion) error {
	switch {
	case len(reply.Patch) > 0:
		next, err := config.ApplyEncoded(reply.Patch, a.holder.Current())
		a.needsDocument = err != nil
		if err != nil {
			return err
		}
		a.holder.Apply(next)
	case len(reply.Document) > 0:
		doc, err := config.DecodeDocument(reply.Document)
		if err != nil {
			return err
		}
		a.holder.Apply(config.NewSnapshot(reply.Version, reply.Author, doc))
		a.needsDocument = false
	}
	return nil
}

// neverConfirmed exceeds the age of every confirmed version.
const neverConfirmed = 10 * 365 * 24 * time.Hour

func currentVersion(h *config.Holder) uint64 {
	if current := h.Current(); current != nil {
		return current.Version()
	}
	return 0
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
