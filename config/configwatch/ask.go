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
	whole  bool // the last patch did not fit: the next answer is whole
}

// ask puts one question to the scheduler at addr. The confirmation is counted
// from when the question was sent, so that a delayed answer never makes the
// version in force look fresher than it is. It returns how old the peer's
// own confirmation is.
func (a *asker) ask(ctx context.Context, addr string, inForce uint64) (age time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := structs.ConfigQuery{HaveVersion: currentVersion(a.holder), From: a.from, InForce: inForce, AcceptsPatch: !a.whole}
	sent := structs.Now()
	var answer structs.ConfigVersion
	if err := a.wire.Call(ctx, addr, structs.MethodWatchConfig, query, &answer); err != nil {
		return 0, err
	}
	if err := a.apply(answer); err != nil {
		return 0, err
	}
	if answer.Age < neverConfirmed && currentVersion(a.holder) >= answer.Version {
		a.holder.Confirm(sent.Add(-answer.Age))
	}
	return answer.Age, nil
}

// apply puts the version of an answer in force, if it brought one. After a
// patch that does not fit, the whole document is asked for.
func (a *asker) apply(answer structs.ConfigVersion) error {
	switch {
	case len(answer.Patch) > 0:
		next, err := config.ApplyEncoded(answer.Patch, a.holder.Current())
		a.whole = err != nil
		if err != nil {
			return err
		}
		a.holder.Apply(next)
	case len(answer.Document) > 0:
		doc, err := config.DecodeDocument(answer.Document)
		if err != nil {
			return err
		}
		a.holder.Apply(config.NewSnapshot(answer.Version, answer.Author, doc))
		a.whole = false
	}
	return nil
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
