//go:build review

// Command standin runs one case of the review against the project's own programs, with stand-ins for
// clients, targets, routers and the platform's store. It exits with 1 if the rule of the case was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each runs with or without its disruption.
var cases = map[string]func(f *fleet, trouble bool) error{
	"restarts": restartAgents,
	"routes":   growRoutes,
	"cold":     startColdTarget,
	"backlog":  loseReaders,
	"moves":    moveRoute,
	"foreign":  writeForeignEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(runCase func(*fleet, bool) error, path string, trouble bool) int {
	f, err := newFleet(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	f.record("disruption: %v", trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.close()
		os.Exit(exitFailed)
	}()
	go f.router.probe(f)
	if err := runCase(f, trouble); err != nil {
		f.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	f.record("rule broken %d times", f.violations)
	fmt.Printf("rule broken %d times\n", f.violations)
	if f.violations > 0 {
		return exitBroken
	}
	return exitHeld
}
