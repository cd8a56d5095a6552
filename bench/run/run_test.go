package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/bench/vengine"
	"github.com/endivecourse/endivecourse/bench/workload"
	_ "github.com/endivecourse/endivecourse/queue/fair"
	_ "github.com/endivecourse/endivecourse/queue/fifo"
	_ "github.com/endivecourse/endivecourse/queue/las"
	_ "github.com/endivecourse/endivecourse/route/leastloaded"
	_ "github.com/endivecourse/endivecourse/route/prefix"
)

func options(policies string, seed uint64) Options {
	parsed, err := ParsePolicies(policies)
	if err != nil {
		panic(err)
	}
	return Options{
		Workload: workload.Options{Shape: workload.Accra(), Seed: seed, Rate: 2, Duration: 3 * time.Minute},
		Policies: parsed, Engine: vengine.DefaultParams(), Drain: DefaultDrain, MaxQueued: DefaultMaxQueued,
	}
}

var allPolicies = []string{"fifo+leastloaded+none", "fifo+leastloaded+learned", "las+leastloaded+learned", "las+prefix+learned", "fair+prefix+learned"}

func TestSameSeedSameFigures(t *testing.T) {
	for _, policies := range allPolicies {
		first, err := Run(options(policies, 3))
		assert.NilError(t, err)
		second, err := Run(options(policies, 3))
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second)
	}
}

func TestEveryProgramEndsUnderEveryFault(t *testing.T) {
	for _, policies := range allPolicies {
		for _, fault := range append(Faults, FaultNone) {
			opts := options(policies, 5)
			opts.FaultAt = time.Minute
			opts.Workload.Rate = 0.5
			opts.Fault = fault
			figures, err := Run(opts)
			assert.NilError(t, err, "%s %s", policies, fault)
			assert.Equal(t, figures.Unfinished, 0, "%s %s", policies, fault)
			assert.Equal(t, figures.Refused, 0, "%s %s", policies, fault)
			assert.Equal(t, figures.Programs, len(workload.Generate(opts.Workload)), "%s %s", policies, fault)
		}
	}
}

func TestFullQueueRefuses(t *testing.T) {
	opts := options("fifo+leastloaded+learned", 1)
	opts.MaxQueued = 0
	figures, err := Run(opts)
	assert.NilError(t, err)
	assert.Equal(t, figures.Refused, len(workload.Generate(opts.Workload)))
}
