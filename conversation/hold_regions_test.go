package conversation

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/outage"
	"github.com/endivecourse/endivecourse/structs"
)

func (vm *holdVM) FarHolders() []structs.VMID {
	if vm.region.far == nil {
		return nil
	}
	return vm.region.far.ids()
}

// Guards against a program that uses its budget in one region, and gets a quarter of it again in
// another one to which it moves while the store is down.
func TestProgramThatIsCloseToItsBudgetGetsNoGrantInAnotherRegion(t *testing.T) {
	inRegion(t, 3, func(t *testing.T, r *holdRegion) {
		far := &holdRegion{t: t, store: r.store, vms: make(map[structs.VMID]*holdVM)}
		for n := range 3 {
			far.start(structs.VMID(fmt.Sprint("far-", n)), true)
		}
		r.far, far.far = far, r
		home, farHome := r.vm("vm-0"), far.vm("far-0")
		for n := 0; !outage.IsClosedAt(home.local.Ledger.Committed(program.Key()), reserveRequest("").Budget); n++ {
			assert.NilError(t, home.reserve(fmt.Sprint(n)))
		}
		time.Sleep(time.Second)
		r.setOut(true)
		far.isOut.Store(true)
		var noGrant *NoGrantError
		err := farHome.reserve("moved")
		assert.Assert(t, errors.As(err, &noGrant), "%v", err)
		for _, id := range far.ids() {
			far.vm(id).kill()
		}
	})
}
