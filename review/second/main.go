//go:build review2

// Command review2 plays the cases of the second review against the system's own processes, with
// stand-ins for the platform's store and routers, its clients and its targets.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case, as an exit status.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	couldNot  verdict = 2
	usageText         = "usage: review2 CASE RECORD; TROUBLE=0 leaves the disruption out"
)

// scenario is what a case needs.
type scenario struct {
	record  *record
	dir     string
	trouble bool
	// hidesBorn reports whether targets do not say when they started.
	hidesBorn bool
}

var cases = map[string]func(*scenario) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(int(couldNot))
	}
	os.Exit(int(play(cases[os.Args[1]], os.Args[2])))
}

// limit is how long a case may run. It ends all processes by then.
const limit = 115 * time.Second

// endOnSignal ends all processes and the case if it is interrupted or takes too long.
func endOnSignal(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	killAll()
	r.log("case", "was ended before its time")
	r.close()
	os.Exit(int(couldNot))
}

func play(run func(*scenario) (verdict, error), recordPath string) verdict {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	go endOnSignal(r)
	s := &scenario{record: r, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	result, err := run(s)
	if err != nil {
		r.log("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	text := map[verdict]string{held: "the rule held", broken: "THE RULE WAS BROKEN", couldNot: "the case could not run"}[result]
	r.log("case", "%s", text)
	fmt.Println(text)
	return result
}
