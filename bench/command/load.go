package command

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/bench/load"
	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/structs"
)

// EnvKey is the environment variable with the caller's key; a key in a flag is
// visible to other users of the machine.
const EnvKey = "ENDIVE_KEY"

const mostPrograms = 4096

type loadFlags struct {
	target  string
	key     string
	service string
	json    bool
	opts    load.Options
}

func loadCommand() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:     "load",
		Short:   "Put programs on a running gateway and measure what callers see",
		Example: `  ENDIVE_KEY=ek_... endivebench load --target http://127.0.0.1:8080 --program crew --service rake-llm --rate 20 --duration 30s --check`,
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.target, "target", "", "URL of the gateway")
	flags.StringVar(&f.key, "key", "", "caller's key; better given in "+EnvKey)
	flags.StringVar(&f.opts.Program, "program", "", "kind of program")
	flags.StringVar(&f.service, "service", "", "model service to call")
	flags.Float64Var(&f.opts.Rate, "rate", 10, "programs per second")
	flags.DurationVar(&f.opts.Duration, "duration", 10*time.Second, "how long programs are started")
	flags.IntVar(&f.opts.Calls, "calls", 3, "model calls per program")
	flags.IntVar(&f.opts.MaxRunning, "most", mostPrograms, "programs under way at most")
	flags.BoolVar(&f.opts.ChecksHistory, "check", false, "compare each answer with the program's history")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	for _, name := range []string{"target", "program", "service"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	if f.key == "" {
		f.key = os.Getenv(EnvKey)
	}
	f.opts.Client = caller.New(f.target, f.key, nil)
	f.opts.Service = structs.ServiceID(f.service)
	report := load.Run(cmd.Context(), f.opts)
	out := cmd.OutOrStdout()
	if f.json {
		return json.NewEncoder(out).Encode(report)
	}
	fmt.Fprintf(out, "programs  %d whole, %d not started\n", report.Programs, report.NotStarted)
	fmt.Fprintf(out, "latency   mean %.1f ms, p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", report.Mean, report.P50, report.P95, report.P99)
	fmt.Fprintf(out, "calls     p50 %.1f ms, p99 %.1f ms\n", report.CallP50, report.CallP99)
	kinds := make([]string, 0, len(report.Errors))
	for kind := range report.Errors {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(out, "error     %s: %d\n", kind, report.Errors[kind])
	}
	return nil
}
