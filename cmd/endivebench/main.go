// Command endivebench benchmarks scheduling decisions in virtual time, or a running gateway.
// See endivebench --help.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/endivecourse/endivecourse/bench/command"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
