package scheduler

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// nodeSender delivers crash reports between the nodes of a test. A request to an
// unknown address gets no reply until its context ends.
type nodeSender map[string]*testNode

func (c nodeSender) Call(ctx context.Context, addr, method string, in, _ any) error {
	n, found := c[addr]
	if !found || method != methodCrash {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), method)
	}
	_, err := n.handleCrash(ctx, in.(crashReport))
	return err
}

// A request that crashes its target must be reported to the other schedulers before the
// next target gets it and before its caller gets a reply, even if one scheduler is
// unreachable. Otherwise it could crash more targets through another scheduler.
func TestCrashIsBroadcastBeforeRetry(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		nodes := make(nodeSender)
		setPeers := func(opts *Options) {
			opts.Table = nil
			opts.Wire = nodes
			opts.Peers = func() []string { return []string{"one:1", "two:1", "away:1"} }
		}
		first := site.startWith("one", setPeers)
		waitForSlots(first)
		second := site.startWith("two", setPeers)
		nodes["one:1"], nodes["two:1"] = first, second
		call := modelCall("north/p", 1, "poison")
		fingerprint := program.Fingerprint(&call)
		known := func() (targets int, left time.Duration) {
			assert.NilError(t, second.runOnLoop(background, func(l *loop) {
				report := l.quarantine.Report(structs.Now(), fingerprint)
				targets, left = len(report.Targets), report.Remaining
			}))
			return targets, left
		}
		crashed := 0
		crash := func(target.Request) error {
			targets, _ := known()
			assert.Equal(t, targets, crashed)
			crashed++
			return &target.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
		}
		site.targets["a"].fail, site.targets["b"].fail = crash, crash
		first.create(t, "north/p")
		_, err := first.sendCall(background, call)
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedQuarantined)
		targets, remaining := known()
		assert.Equal(t, targets, 2)
		assert.Assert(t, remaining > 0)
		assert.Equal(t, crashed, 2)
		first.stop(t)
		second.stop(t)
	})
}
