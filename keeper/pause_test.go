package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A scheduler that neither sends nor answers for a second, as in a pause of its
// process, keeps its slots under the default settings.
func TestPauseOfASecondLosesNothing(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		for range 40 {
			d.set(func() { d.cut["a"] = true })
			time.Sleep(time.Second)
			d.set(func() { delete(d.cut, "a") })
			time.Sleep(9130 * time.Millisecond) // another part of a renewal interval
			now, held := d.running["a"].keeper.HeldEpoch(slot)
			assert.Assert(t, held)
			assert.Equal(t, now, epoch)
		}
	})
}
