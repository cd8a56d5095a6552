// Command endived serves agent programs on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/endivecourse/endivecourse/daemon"
)

func main() {
	if err := daemon.EndivedCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "endived: %v\n", err)
		os.Exit(daemon.ExitFailed)
	}
}
