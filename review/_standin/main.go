// Program standin plays the cases of the review that can't be put as a day of the bench: it
// starts the daemons as separate processes on loopback, plays clients, runners and the
// platform's store, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	codeHeld     = 0
	codeBroken   = 1
	codeNotRun   = 2
	maxCaseTime  = 110 * time.Second
	argumentsMin = 3
)

// outcome says whether the rule held.
type outcome struct {
	isBroken bool
	summary  string
}

var cases = map[string]func(rec *recorder, hasTrouble bool) (outcome, error){
	"budget":  playBudget,
	"longid":  playLongID,
	"memory":  playMemory,
	"endless": playEndless,
	"quota":   playQuota,
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) < argumentsMin {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(codeNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	play, isKnown := cases[name]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return codeNotRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble: %v", name, hasTrouble)
	type played struct {
		outcome
		err error
	}
	done := make(chan played, 1)
	go func() {
		o, err := play(rec, hasTrouble)
		done <- played{o, err}
	}()
	defer closeSites()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var p played
	select {
	case p = <-done:
	case s := <-interrupted:
		p.err = fmt.Errorf("ended by %v", s)
	case <-time.After(maxCaseTime):
		p.err = fmt.Errorf("not over after %s", maxCaseTime)
	}
	if p.err != nil {
		rec.note("NOT RUN: %v", p.err)
		fmt.Println("not run:", p.err)
		return codeNotRun
	}
	result, code := "HELD", codeHeld
	if p.isBroken {
		result, code = "BROKEN", codeBroken
	}
	rec.note("%s: %s", result, p.summary)
	fmt.Printf("%s: %s\n", strings.ToLower(result), p.summary)
	return code
}
