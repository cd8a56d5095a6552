// Command schedulerd runs the role daemon.Schedulerd.
package main

import (
	"os"

	"github.com/endivecourse/endivecourse/daemon"
)

func main() { os.Exit(daemon.Main(daemon.Schedulerd, os.Args[1:], os.Stderr)) }
