package workload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSameSeedSameProgramsAndSurgeLeavesOthersAlone(t *testing.T) {
	opts := Options{Shape: Accra(), Seed: 7, Rate: 2, Duration: 3 * time.Minute}
	first := Generate(opts)
	assert.DeepEqual(t, first, Generate(opts))
	opts.Surge, opts.SurgeAccount = 5, 3
	surged := Generate(opts)
	assert.Assert(t, len(surged) > len(first))
	assert.DeepEqual(t, without(surged, opts), without(first, opts))
}

func without(programs []*Program, opts Options) []*Program {
	var others []*Program
	for _, p := range programs {
		if p.Account != opts.Shape.Accounts[opts.SurgeAccount].ID {
			others = append(others, p)
		}
	}
	return others
}

func TestSharesSumToOne(t *testing.T) {
	for _, name := range []string{"accra", "tayside"} {
		shape, err := FindShape(name)
		assert.NilError(t, err)
		var domains, accounts, kinds float64
		for _, d := range shape.Domains {
			domains += d.Share
		}
		for _, a := range shape.Accounts {
			accounts += a.Share
		}
		for _, k := range shape.Kinds {
			kinds += k.Share
		}
		for _, sum := range []float64{domains, accounts, kinds} {
			assert.Assert(t, sum > 0.999 && sum < 1.001, name)
		}
	}
}

func TestEveryPromptExtendsTheOneBefore(t *testing.T) {
	for _, p := range Generate(Options{Shape: Tayside(), Seed: 1, Rate: 2, Duration: time.Minute}) {
		for i := 1; i < len(p.Calls); i++ {
			before, call := p.Calls[i-1], p.Calls[i]
			n := len(before.Prefixes)
			assert.DeepEqual(t, call.Prefixes[:n], before.Prefixes)
			assert.Equal(t, call.Prefixes[n].Hash, before.ResponseHash)
			assert.Equal(t, call.Prefixes[n].Tokens, before.Prompt()+before.Output)
		}
	}
}
