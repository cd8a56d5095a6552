// Command endivedev brings up a whole small site in one process on loopback
// and runs one example program through it.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/internal/devsite"
	"github.com/endivecourse/endivecourse/structs"
)

// Time that the parts of the site get.
const (
	startTimeout   = 15 * time.Second
	releaseTimeout = 10 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// StillHeldError says that engines hold memory for ended programs.
type StillHeldError struct{ Programs []structs.ProgramID }

// Error names the programs.
func (e *StillHeldError) Error() string { return fmt.Sprintf("engines still hold %v", e.Programs) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "endivedev:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var serve, verbose bool
	c := &cobra.Command{
		Use:           "endivedev",
		Short:         "Run a whole small site on loopback and one example program",
		Example:       "  endivedev\n  endivedev --serve",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), c.OutOrStdout(), serve, verbose)
		},
	}
	c.Flags().BoolVar(&serve, "serve", false, "keep the site up until interrupted")
	c.Flags().BoolVar(&verbose, "verbose", false, "write the daemons' logs to standard error")
	return c
}

func run(ctx context.Context, out io.Writer, serve, verbose bool) error {
	log := slog.New(slog.DiscardHandler)
	if verbose {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	site, err := devsite.Start(ctx, log)
	if err != nil {
		return err
	}
	err = useSite(ctx, site, out, serve)
	if stopErr := site.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func useSite(ctx context.Context, site *devsite.Site, out io.Writer, serve bool) error {
	if err := site.WaitReady(ctx, startTimeout, pollInterval); err != nil {
		return err
	}
	if err := devsite.RunExample(ctx, site, out); err != nil {
		return err
	}
	if err := waitReleased(ctx, site, out); err != nil {
		return err
	}
	if !serve {
		return nil
	}
	fmt.Fprintf(out, "\nexport GW=%s\nexport KEY=%s\nexport ENDIVE_PLATFORM=%s\n", site.URL, site.Key, site.PlatformURL)
	fmt.Fprintf(out, "export GATEWAY_ADMIN=%s\nexport SCHEDULER_ADMIN=%s\n", site.Admins[0], site.Admins[1])
	<-ctx.Done()
	return nil
}

func waitReleased(ctx context.Context, site *devsite.Site, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for {
		held := site.Held()
		if len(held) == 0 {
			fmt.Fprintln(out, "engine memory held for ended programs: none")
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return &StillHeldError{Programs: held}
		}
	}
}
