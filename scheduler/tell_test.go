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

// nodeCaller passes crash reports between the nodes of a test; one that is not
// among them never answers.
type nodeCaller map[string]*node

func (c nodeCaller) Call(ctx context.Context, addr, method string, in, _ any) error {
	n, found := c[addr]
	if !found || method != methodCrash {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), method)
	}
	_, err := n.noteCrash(ctx, in.(crashReport))
	return err
}

// Each crash is known to the other schedulers before the next target gets the
// request and before its caller is answered, although one of them is away.
func TestCrashIsToldBeforeItsCallGoesOn(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newSite()
		nodes := make(nodeCaller)
		told := func(opts *Options) {
			opts.Table = nil
			opts.Wire = nodes
			opts.Peers = func() []string { return []string{"one:1", "two:1", "away:1"} }
		}
		first := site.startWith("one", told)
		owned(first)
		second := site.startWith("two", told)
		nodes["one:1"], nodes["two:1"] = first, second
		call := ask("north/p", 1, "poison")
		fingerprint := program.Fingerprint(&call)
		known := func() (targets int, left time.Duration) {
			assert.NilError(t, second.ask(background, func(l *loop) {
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
		_, err := first.do(background, call)
		assert.Equal(t, refusalOf(err).Kind, structs.RefusedQuarantined)
		targets, left := known()
		assert.Equal(t, targets, 2)
		assert.Assert(t, left > 0)
		assert.Equal(t, crashed, 2)
		first.stop(t)
		second.stop(t)
	})
}
