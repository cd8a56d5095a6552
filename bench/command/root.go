// Package command is the command line of endivebench.
package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	_ "github.com/endivecourse/endivecourse/queue/fair"        // registers queue.fair
	_ "github.com/endivecourse/endivecourse/queue/fifo"        // registers queue.fifo
	_ "github.com/endivecourse/endivecourse/queue/las"         // registers queue.las
	_ "github.com/endivecourse/endivecourse/route/leastloaded" // registers route.leastloaded
	_ "github.com/endivecourse/endivecourse/route/prefix"      // registers route.prefix
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// Run carries the command line out and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "endivebench",
		Short:         "Measure the decisions in virtual time, or a running gateway",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(compareCommand(), loadCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitFailed
	}
	return exitOK
}

// InvalidSeedsError says that a text does not name seeds.
type InvalidSeedsError struct{ Text string }

// Error shows the form.
func (e *InvalidSeedsError) Error() string {
	return fmt.Sprintf("seeds %q are not of the form 1,2,7 or 1-8", e.Text)
}

// parseSeeds reads numbers and ranges joined by commas.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		low, high, isRange := strings.Cut(part, "-")
		first, err := strconv.ParseUint(low, 10, 64)
		if err != nil {
			return nil, &InvalidSeedsError{Text: text}
		}
		last := first
		if isRange {
			if last, err = strconv.ParseUint(high, 10, 64); err != nil || last < first {
				return nil, &InvalidSeedsError{Text: text}
			}
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
