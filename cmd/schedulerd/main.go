// Command schedulerd owns programs and sends their calls to targets.
package main

import (
	"os"

	"github.com/endivecourse/endivecourse/daemon"
)

func main() { os.Exit(daemon.Main(daemon.Schedulerd, os.Args[1:], os.Stderr)) }
