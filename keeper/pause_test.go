package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A scheduler that neither sends nor replies for a second, like a paused process,
// must keep its slots with the default settings.
func TestPauseOfOneSecondLosesNoSlots(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		for range 40 {
			d.update(func() { d.cutOff["a"] = true })
			time.Sleep(time.Second)
			d.update(func() { delete(d.cutOff, "a") })
			time.Sleep(9130 * time.Millisecond) // so that each pause starts at another point of the renewal interval
			now, held := d.scheduler["a"].keeper.HeldEpoch(slot)
			assert.Assert(t, held)
			assert.Equal(t, now, epoch)
		}
	})
}
