// Command review-3 runs the scripted cases of the third review: stand-ins for the platform, its
// store, runners and clients, and the project's own daemons as processes.
package main

import (
	"fmt"
	"os"
	"sort"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases maps the names of the cases to what they do. Each returns whether the rule was broken.
var cases = map[string]func(r *record, hasTrouble bool) (isBroken bool, err error){
	"budget":  budgetInTwoRegions,
	"denied":  budgetAfterRestart,
	"later":   budgetAfterPause,
	"memory":  memoryOfHistories,
	"history": longHistory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: review-3 CASE FOLDER, with CASE one of %q\n", names)
		os.Exit(notRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	isBroken, err := cases[os.Args[1]](r, hasTrouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	case isBroken:
		r.line("result: the rule is broken")
		os.Exit(broken)
	}
	r.line("result: the rule holds")
	os.Exit(held)
}

// manifest returns a manifest with one tenant without a limit.
func manifest(routes []map[string]any, services []map[string]any) map[string]any {
	return map[string]any{
		"routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "one", "apiKeys": []string{"key-one"}}},
	}
}
