package keeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivecourse/endivecourse/settings"
)

// Logs the control traffic of each scheduler in a domain without faults, and the time
// until all slots of a killed scheduler have an owner again.
func TestControlTraffic(t *testing.T) {
	const slots, seconds = 256, 60
	longLease := settings.Default().Lease
	longLease.Duration, longLease.Renew = settings.Duration(3*time.Second), settings.Duration(time.Second)
	for _, c := range []struct {
		n     int
		lease settings.Lease
	}{{3, settings.Default().Lease}, {3, longLease}, {57, settings.Default().Lease}, {57, longLease}} {
		n := c.n
		t.Run(fmt.Sprint(n, " ", c.lease.Duration.Std(), " ", c.lease.Renew.Std()), func(t *testing.T) {
			if n > 3 && envInt("ENDIVE_SOAK_SEEDS", 0) == 0 {
				t.Skip("runs in the soak only")
			}
			synctest.Test(t, func(t *testing.T) {
				d := newDomain(t)
				d.slots, d.lease = slots, c.lease
				for i := range n {
					d.startScheduler(fmt.Sprintf("vm-%02d", i), 1)
				}
				defer d.stopAll()
				d.waitOwned(time.Minute)
				time.Sleep(3 * time.Minute)
				d.update(func() { d.peerCalls, d.peerBytes, d.tableReads, d.rowBytesRead = 0, 0, 0, 0 })
				time.Sleep(seconds * time.Second)
				schedulerSeconds := float64(n * seconds)
				d.update(func() {
					t.Logf("%d schedulers: each %.2f requests to peers/s, %.0f bytes/s in requests and replies; %.3f table reads/s, %.0f bytes/s of rows",
						n, float64(d.peerCalls)/schedulerSeconds, float64(d.peerBytes)/schedulerSeconds, float64(d.tableReads)/schedulerSeconds, float64(d.rowBytesRead)/schedulerSeconds)
				})
				killed := time.Now()
				d.kill("vm-00")
				d.waitOwned(time.Minute)
				t.Logf("%d schedulers: all slots owned %v after a kill", n, time.Since(killed).Round(100*time.Millisecond))
			})
		})
	}
}
