package configwatch

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// askTimeout bounds one question to a peer.
const askTimeout = holdFor + 2*time.Second

// asker asks schedulers for later versions and applies the answers.
type asker struct {
	from   string
	holder *config.Holder
	wire   *wire.Client
}

// ask puts one question to the scheduler at addr. The confirmation is counted
// from when the question was sent, so that a delayed answer never makes the
// version in force look fresher than it is. It returns how old the peer's
// own confirmation is.
func (a *asker) ask(ctx context.Context, addr string, inForce uint64) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := structs.ConfigQuery{Have: currentVersion(a.holder), From: a.from, InForce: inForce}
	sent := structs.Now()
	var answer structs.ConfigVersion
	if err := a.wire.Call(ctx, addr, structs.MethodWatchConfig, query, &answer); err != nil {
		return 0, err
	}
	if len(answer.Document) > 0 {
		doc, err := config.DecodeDocument(answer.Document)
		if err != nil {
			return 0, err
		}
		a.holder.Apply(config.NewSnapshot(answer.Version, answer.Author, doc))
	}
	if answer.Age < neverConfirmed && currentVersion(a.holder) >= answer.Version {
		a.holder.Confirm(sent.Add(-answer.Age))
	}
	return answer.Age, nil
}

// neverConfirmed is longer than any age of a confirmed version.
const neverConfirmed = 10 * 365 * 24 * time.Hour

func currentVersion(h *config.Holder) uint64 {
	if current := h.Current(); current != nil {
		return current.Version()
	}
	return 0
}

// sleep waits for d and reports false when ctx ended first.
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
