// Command gatewayd terminates callers' connections and forwards their requests to
// schedulers.
package main

import (
	"os"

	"github.com/endivecourse/endivecourse/daemon"
)

func main() { os.Exit(daemon.Main(daemon.Gatewayd, os.Args[1:], os.Stderr)) }
