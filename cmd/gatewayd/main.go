// Command gatewayd runs the role daemon.Gatewayd.
package main

import (
	"os"

	"github.com/endivecourse/endivecourse/daemon"
)

func main() { os.Exit(daemon.Main(daemon.Gatewayd, os.Args[1:], os.Stderr)) }
