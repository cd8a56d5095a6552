package command

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/bench/run"
	"github.com/endivecourse/endivecourse/bench/vengine"
	"github.com/endivecourse/endivecourse/bench/workload"
)

const (
	baseline     = "fifo+leastloaded+none"
	surgeAccount = 3 // index of the account that surges
)

type compareFlags struct {
	shape    string
	policies []string
	seeds    string
	load     float64
	rate     float64
	of       string
	surge    float64
	fault    string
	json     bool
	svg      string
}

// Report is the output of compare.
type Report struct {
	Shape    string    `json:"shape"`
	Seeds    []uint64  `json:"seeds"`
	Load     float64   `json:"load,omitempty"`
	Capacity float64   `json:"capacity_programs_per_s,omitempty"`
	Rate     float64   `json:"rate_programs_per_s"`
	Surge    float64   `json:"surge,omitempty"`
	Fault    run.Fault `json:"fault,omitempty"`
	Rows     []run.Row `json:"rows"`
}

func compareCommand() *cobra.Command {
	var f compareFlags
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Run policies side by side on the same seeds, in virtual time",
		Example: `  endivebench compare --shape accra --seeds 1-4
  endivebench compare --shape tayside --policies fifo+leastloaded+none,fifo+leastloaded+learned --fault kill`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.shape, "shape", "accra", "deployment: accra or tayside")
	flags.StringSliceVar(&f.policies, "policies", []string{baseline}, "QUEUE+ROUTE+LIMIT, with LIMIT none or learned")
	flags.StringVar(&f.seeds, "seeds", "1-4", "seeds, as 1,2,7 or 1-8")
	flags.Float64Var(&f.load, "load", 0.85, "share of the capacity")
	flags.StringVar(&f.of, "capacity-of", baseline, "policies whose sustained rate is the capacity")
	flags.Float64Var(&f.rate, "rate", 0, "programs per second, instead of a share of the capacity")
	flags.Float64Var(&f.surge, "surge", 0, "factor on the rate of one account")
	flags.StringVar(&f.fault, "fault", "", fmt.Sprint("one of ", run.Faults))
	flags.BoolVar(&f.json, "json", false, "print JSON")
	flags.StringVar(&f.svg, "svg", "", "file for a plot of the program latencies")
	return cmd
}

func (f *compareFlags) run(cmd *cobra.Command) error {
	opts, policies, seeds, err := f.parse()
	if err != nil {
		return err
	}
	report := Report{Shape: f.shape, Seeds: seeds, Rate: f.rate, Surge: f.surge, Fault: opts.Fault}
	if f.rate == 0 {
		if err := f.measureCapacity(&report, opts); err != nil {
			return err
		}
	}
	opts.Workload.Rate = report.Rate
	if report.Rows, err = run.Compare(cmd.Context(), opts, policies, seeds); err != nil {
		return err
	}
	if f.svg != "" {
		if err := plotLatencies(f.svg, report); err != nil {
			return err
		}
	}
	if f.json {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return printReport(cmd.OutOrStdout(), report)
}

func (f *compareFlags) parse() (opts run.Options, policies []run.Policies, seeds []uint64, err error) {
	shape, err := workload.FindShape(f.shape)
	if err != nil {
		return opts, nil, nil, err
	}
	fault, err := run.ParseFault(f.fault)
	if err != nil {
		return opts, nil, nil, err
	}
	for _, text := range f.policies {
		p, err := run.ParsePolicies(text)
		if err != nil {
			return opts, nil, nil, err
		}
		policies = append(policies, p)
	}
	opts = run.Options{
		Workload:  workload.Options{Shape: shape, Duration: run.DefaultDuration, Surge: f.surge, SurgeAccount: surgeAccount},
		Engine:    vengine.DefaultParams(),
		Warmup:    run.DefaultWarmup,
		Drain:     run.DefaultDrain,
		MaxQueued: run.DefaultMaxQueued,
		Fault:     fault,
		FaultAt:   run.DefaultFaultAt,
	}
	seeds, err = parseSeeds(f.seeds)
	return opts, policies, seeds, err
}

func (f *compareFlags) measureCapacity(report *Report, opts run.Options) error {
	of, err := run.ParsePolicies(f.of)
	if err != nil {
		return err
	}
	report.Load = f.load
	report.Capacity, err = run.Capacity(opts.Workload.Shape, of, opts.Engine)
	report.Rate = report.Capacity * f.load
	return err
}

func printReport(w io.Writer, r Report) error {
	fmt.Fprintf(w, "shape %s, seeds %v, %.3f programs/s", r.Shape, r.Seeds, r.Rate)
	if r.Capacity > 0 {
		fmt.Fprintf(w, " (%.0f%% of %.3f)", 100*r.Load, r.Capacity)
	}
	if r.Surge > 0 {
		fmt.Fprintf(w, ", one account at %g times its rate", r.Surge)
	}
	if r.Fault != run.FaultNone {
		fmt.Fprintf(w, ", fault %s", r.Fault)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policies\tideal s\tmean s\tp50 s\tp95 s\tp99 s\twasted\tworst\tof median\tworst seed\trefused\tlink MB\tunfinished\tretries\tin fault\trecovery\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%d\t%d\t%.2f\t%.2f\t\n",
			row.Policies, row.IdealMean, row.Mean, row.P50, row.P95, row.P99, 100*row.RecomputedShare, row.WorstSlowdown, row.WorstToMedian,
			row.MaxWorstToMedian, row.Refused, float64(row.LinkBytes)/1e6, row.Unfinished, row.Retries, row.FaultRatio, row.RecoveryRatio)
	}
	return t.Flush()
}
