// Command endivedev starts a small site, with all its daemons, in one process on loopback
// and runs an example program on it.
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

// Timeouts of the site's start and of the release of engine memory, and the interval at
// which both are polled.
const (
	startTimeout   = 15 * time.Second
	releaseTimeout = 10 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// StillHeldError reports that engines still hold memory for programs that have ended.
type StillHeldError struct{ Programs []structs.ProgramID }

// Error names the programs.
func (e *StillHeldError) Error() string {
	return fmt.Sprintf("engines still hold memory for the ended programs %v", e.Programs)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "endivedev:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var isServing, isVerbose bool
	c := &cobra.Command{
		Use:           "endivedev",
		Short:         "Start a small site on loopback and run an example program on it",
		Example:       "  endivedev\n  endivedev --serve",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), c.OutOrStdout(), isServing, isVerbose)
		},
	}
	c.Flags().BoolVar(&isServing, "serve", false, "keep the site running until interrupted")
	c.Flags().BoolVar(&isVerbose, "verbose", false, "write the daemons' logs to standard error")
	return c
}

func run(ctx context.Context, out io.Writer, isServing, isVerbose bool) error {
	log := slog.New(slog.DiscardHandler)
	if isVerbose {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	site, err := devsite.Start(ctx, log)
	if err != nil {
		return err
	}
	err = useSite(ctx, site, out, isServing)
	if stopErr := site.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func useSite(ctx context.Context, site *devsite.Site, out io.Writer, isServing bool) error {
	if err := site.WaitReady(ctx, startTimeout, pollInterval); err != nil {
		return err
	}
	if err := devsite.RunExample(ctx, site, out); err != nil {
		return err
	}
	if err := waitMemoryReleased(ctx, site, out); err != nil {
		return err
	}
	if !isServing {
		return nil
	}
	fmt.Fprintf(out, "\nexport GW=%s\nexport KEY=%s\nexport ENDIVE_PLATFORM=%s\n", site.GatewayURL, site.Key, site.PlatformURL)
	fmt.Fprintf(out, "export GATEWAY_ADMIN=%s\nexport SCHEDULER_ADMIN=%s\n", site.AdminAddrs[0], site.AdminAddrs[1])
	<-ctx.Done()
	return nil
}

func waitMemoryReleased(ctx context.Context, site *devsite.Site, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for {
		held := site.HeldPrograms()
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
