//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the rules, as in the settings of a small installation.
const (
	coldOverage     = 1.5
	coldSlack       = 5.0
	evacuationBound = 5 * time.Second
	applyBound      = 3 * time.Second
	drainBound      = 3 * time.Second
	stopGrace       = 6 * time.Second
)

const (
	// program is the program that the deploy file starts.
	program = "target/radishmast-carrier"
	// restartDelay is the time from the end of a process to its next start.
	restartDelay     = 600 * time.Millisecond
	settingsFileMode = 0o600
)

// zones are the zones of the installation.
var zones = []string{"north", "south", "west"}

// ports are the ports that all machines use.
type ports struct{ datagram, outbound, ready, control, agentControl, balancerData, app, store uint16 }

// machine is a machine with one process of the system.
type machine struct {
	name, role, zone, service string
	ip                        netip.Addr
	target                    *target

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a small installation with stand-ins for all that is not the system.
type fleet struct {
	dir    string
	log    *os.File
	out    *bufio.Writer
	start  time.Time
	octet  int
	port   ports
	store  *store
	router *router

	mu          sync.Mutex
	machines    []*machine
	clientCount int
	violations  int
	// runs counts the runs of each request.
	runs map[string]int
	// owners holds the targets at which flows are open, and openings when clients opened them.
	owners   map[ends]*target
	openings map[ends]time.Time
	// onOpening is called for each new flow that a target takes, and onReset for each reset of an
	// open flow. A case sets them if it judges by them.
	onOpening func(ends, *target, time.Time)
	onReset   func(*clientFlow, *target)
}

// newFleet returns an installation without machines. The record goes to a file.
func newFleet(recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, log: log, out: bufio.NewWriter(out), start: time.Now(), octet: 20 + rand.IntN(200), router: &router{misses: make(map[string]int)},
		runs: make(map[string]int), owners: make(map[ends]*target), openings: make(map[ends]time.Time),
	}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	f.store, err = newStore(netip.AddrPortFrom(f.ip(9, 1), f.port.store).String())
	return f, err
}

// choosePorts chooses free ports.
func (f *fleet) choosePorts() error {
	var free []uint16
	for tries := 0; len(free) < 8; tries++ {
		if tries > 10000 {
			return fmt.Errorf("no free ports")
		}
		port := 20000 + rand.IntN(10000)
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		free = append(free, uint16(port))
	}
	f.port = ports{free[0], free[1], free[2], free[3], free[4], free[5], free[6], free[7]}
	return nil
}

// ip returns the address of machine i of a group.
func (f *fleet) ip(group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(f.octet), byte(group), byte(i)})
}

// record writes a line to the record.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (f *fleet) violation(format string, args ...any) {
	f.record("BROKEN "+format, args...)
	f.mu.Lock()
	f.violations++
	f.mu.Unlock()
}

// recordOpening records when a client opens a flow.
func (f *fleet) recordOpening(id ends) {
	f.mu.Lock()
	f.openings[id] = time.Now()
	f.mu.Unlock()
}

// openedAt returns when a client opened a flow.
func (f *fleet) openedAt(id ends) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openings[id]
}

// flowOpened records that a flow is open at a target.
func (f *fleet) flowOpened(id ends, t *target) {
	f.mu.Lock()
	f.owners[id] = t
	f.mu.Unlock()
}

// openingTaken passes a new flow that a target takes to onOpening.
func (f *fleet) openingTaken(id ends, t *target, at time.Time) {
	if f.onOpening != nil {
		f.onOpening(id, t, at)
	}
}

// flowReset passes a reset that a client got on a flow that is open at a target to onReset.
func (f *fleet) flowReset(flow *clientFlow) {
	f.mu.Lock()
	owner := f.owners[flow.id]
	f.mu.Unlock()
	if owner != nil && f.onReset != nil {
		f.onReset(flow, owner)
	}
}

// requestRan counts a run of a request.
func (f *fleet) requestRan(text string, t *target) {
	f.mu.Lock()
	f.runs[text]++
	twice := f.runs[text] > 1
	f.mu.Unlock()
	f.record("request %s is run by %s of %s", text, t.name, t.service)
	if twice {
		f.violation("a request runs twice: %s", text)
	}
}

// withRole returns the machines with a role.
func (f *fleet) withRole(role string) []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*machine
	for _, m := range f.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

func (f *fleet) fronts() []*machine { return f.withRole("balancer") }
func (f *fleet) sides() []*machine  { return f.withRole("agent") }

// addFront starts a machine with a balancer.
func (f *fleet) addFront(zone string) error {
	i := len(f.fronts()) + 1
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i), role: "balancer", zone: zone, ip: f.ip(1, i)}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	return f.startProcess(m)
}

// addSide starts a machine with a target and its agent.
func (f *fleet) addSide(zone, service string, cold time.Duration, coldPerSecond float64) (*machine, error) {
	i := len(f.sides()) + 1
	m := &machine{name: fmt.Sprintf("side-%s-%d", zone, i), role: "agent", zone: zone, service: service, ip: f.ip(2, i)}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	if err := f.startProcess(m); err != nil {
		return nil, err
	}
	var err error
	m.target, err = f.startTarget(m.ip.String(), zone, service, cold, coldPerSecond)
	return m, err
}

// settings returns the settings of a machine's process, as the templates in deploy/ render them.
func (f *fleet) settings(m *machine) map[string]any {
	at := func(ip netip.Addr, port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	seeds := []string{}
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, at(f.ip(1, i), f.port.control))
	}
	s := map[string]any{
		"dataCentre": m.zone, "dataCentres": zones, "agentControl": f.port.agentControl,
		"platform": "http://" + at(f.ip(9, 1), f.port.store), "peers": seeds, "ready": at(m.ip, f.port.ready),
	}
	if m.role == "balancer" {
		s["name"], s["data"], s["control"] = m.name, at(m.ip, f.port.balancerData), at(m.ip, f.port.control)
		s["fabric"], s["hints"] = at(m.ip, f.port.datagram), 65536
		return s
	}
	s["name"], s["data"], s["control"] = m.ip.String(), at(m.ip, f.port.datagram), at(m.ip, f.port.agentControl)
	s["outbound"], s["backend"], s["labels"] = at(m.ip, f.port.outbound), at(m.ip, f.port.app), map[string]string{"service": m.service}
	return s
}

// startProcess starts the process of a machine with the command of the deploy file.
func (f *fleet) startProcess(m *machine) error {
	path := filepath.Join(f.dir, m.name+".json")
	data, err := json.Marshal(f.settings(m))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, settingsFileMode); err != nil {
		return err
	}
	cmd := exec.Command(program, m.role, "--config", path)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RADISHMAST_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = f.log, f.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	return nil
}

// signal sends a signal to a machine's process and returns a channel that is closed when it has ended.
func (m *machine) signal(s syscall.Signal) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
	return m.done
}

// restart stops a machine's process as planned, with SIGTERM and SIGKILL after the grace period, and
// starts it again.
func (f *fleet) restart(m *machine) error {
	f.record("%s gets SIGTERM", m.name)
	done := m.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopGrace):
		<-m.signal(syscall.SIGKILL)
	}
	f.record("%s has ended", m.name)
	time.Sleep(restartDelay)
	f.record("%s starts", m.name)
	return f.startProcess(m)
}

// losePower ends a machine's process and its target at once.
func (f *fleet) losePower(m *machine) {
	f.record("%s loses power", m.name)
	<-m.signal(syscall.SIGKILL)
	m.target.stop()
}

// isReady reports whether a machine's process answers the readiness probe.
func (f *fleet) isReady(m *machine) bool {
	client := http.Client{Timeout: 200 * time.Millisecond}
	response, err := client.Get("http://" + netip.AddrPortFrom(m.ip, f.port.ready).String() + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func (f *fleet) awaitReady() error {
	f.mu.Lock()
	machines := append([]*machine(nil), f.machines...)
	f.mu.Unlock()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range machines {
			if f.isReady(m) {
				ready++
			}
		}
		if ready == len(machines) {
			f.record("all %d processes are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the processes are not ready")
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range append(f.fronts(), f.sides()...) {
		if m.cmd != nil {
			<-m.signal(syscall.SIGKILL)
		}
	}
	f.mu.Lock()
	_ = f.out.Flush()
	f.mu.Unlock()
	_ = f.store.server.Close()
	_ = f.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// route describes a route of the desired state.
type route struct {
	host, kind string
	service    string
	// weighted are services with their weights, instead of service.
	weighted []weight
}

type weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// routePort is the port of all routes.
const routePort = 443

func (r route) endpoint() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(r.host), routePort)
}

// putConfig writes a desired state and returns when it was confirmed. coldPerSecond holds what a cold
// target of each service bears.
func (f *fleet) putConfig(version int, routes []route, coldPerSecond map[string]float64) time.Time {
	var listed, services []map[string]any
	for i, r := range routes {
		entry := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": r.host, "prefix": fmt.Sprintf("/%d/", routePort), "kind": r.kind,
			"timeout-ms": 1500, "objective-ms": 150, "priority": 2, "attempts": 2,
		}
		if len(r.weighted) > 0 {
			entry["weighted-services"] = r.weighted
		} else {
			entry["service"] = r.service
		}
		listed = append(listed, entry)
	}
	for name, rate := range coldPerSecond {
		services = append(services, map[string]any{
			"name": name, "health-path": "/health", "connection-limit": maxConnections, "protocol": "h1", "tls": false,
			"cold-start-s": 5.0, "cold-per-s": rate,
		})
	}
	at := f.store.put("op/config", map[string]any{
		"version": version, "routes": listed, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	f.record("version %d of the desired state with %d routes is confirmed", version, len(routes))
	return at
}
