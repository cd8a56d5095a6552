package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the number of a case to the function that plays it. withTrouble is false for
// the run without the disruption.
var cases = map[string]func(s *site, withTrouble bool) int{
	"6":  bodyBrokenOff,
	"7":  frozenHome,
	"8":  crashedRunners,
	"9":  stoppedHome,
	"10": spoiledAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(couldntRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) (result int) {
	r := newRecord(path)
	s := newSite(r)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.stop()
		os.Exit(couldntRun)
	}()
	defer s.stop()
	defer func() {
		if v := recover(); v != nil {
			if cause, ok := v.(couldNotRun); ok {
				r.printf("could not run: %v", cause.cause)
				result = couldntRun
				return
			}
			panic(v)
		}
	}()
	result = cases[name](s, os.Getenv("TROUBLE") != "0")
	r.printf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", couldntRun: "could not run"}[result])
	return result
}
