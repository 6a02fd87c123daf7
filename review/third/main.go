// Command third runs the cases of the third review against the system's own processes.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength is how long a case may run.
const maxLength = 110 * time.Second

// servicePort is the port of the services that clients address.
const servicePort = 443

// cases are the cases by their name.
var cases = map[string]func(s *system, trouble bool) (bool, error){
	"clock-step":  runClockStep,
	"cold-return": runColdReturn,
	"odd-entry":   runOddEntry,
	"odd-readers": runOddReaders,
}

func main() { os.Exit(run()) }

// run runs the case that the arguments name, and writes its record to the file that they name.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: third CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	s, err := newSystem(r)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer s.stop()
	go stopEarly(s)
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.note("BROKEN")
		return exitBroken
	}
	r.note("held")
	return exitHeld
}

// stopEarly ends the processes and the case after maxLength, or on a signal to end.
func stopEarly(s *system) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxLength):
	}
	s.record.note("the case was ended early")
	s.stop()
	os.Exit(exitNotRun)
}

// newDesiredState returns a desired state with one unsafe route to a service.
func newDesiredState(s *system, service string, coldPerS float64) desiredState {
	return desiredState{
		Version: 3,
		Routes: []route{{
			Name: "r-1", Host: s.host(210, 1).String(), Prefix: fmt.Sprintf("/%d/", servicePort), Kind: "unsafe",
			Timeout: 1500, Objective: 150, Priority: 1, Service: service, Attempts: 2,
		}},
		Services: []desiredService{{
			Name: service, HealthPath: "/health", Connection: connectionLimit, Protocol: "h1", ColdStart: coldStart.Seconds(), ColdRate: coldPerS,
		}},
		Limits: map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// startDeployment starts a front in the first zone and a target with its agent in each zone.
func startDeployment(s *system, service string, cold time.Duration) ([]*member, func(uint16) netip.AddrPort, error) {
	front, err := s.startFront(0, 1)
	if err != nil {
		return nil, nil, err
	}
	var members []*member
	for zone := range s.zones {
		m := &member{system: s, zone: byte(zone), number: 10, service: service, slots: 5, work: 30 * time.Millisecond, coldStart: cold}
		if err := m.startTarget(); err != nil {
			return nil, nil, err
		}
		if m.agent, err = s.startAgent(m.zone, m.number, service); err != nil {
			return nil, nil, err
		}
		members = append(members, m)
	}
	for _, p := range append([]*process{front}, members[0].agent, members[1].agent, members[2].agent) {
		if !p.awaitReady(10 * time.Second) {
			return nil, nil, fmt.Errorf("%s at %s is not ready", p.role, p.address)
		}
	}
	endpoint := s.at(front.address, s.ports.datagram)
	return members, func(uint16) netip.AddrPort { return endpoint }, nil
}
