// Command endivectl is the operators' command line of endivecourse. See endivectl --help.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	_ "github.com/endivecourse/endivecourse/backing/httpbacking" // registers platform.http
	"github.com/endivecourse/endivecourse/command"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
