//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is after how long the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// process is a process of the system on a machine of its own, a loopback address.
type process struct {
	fleet  *fleet
	name   string
	role   string
	ip     string
	zone   string
	config string
	// service is the service of the target on the machine of an agent.
	service string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ready  bool
	misses int
}

var (
	startedMu sync.Mutex
	// started holds all processes that were started.
	started []*process
)

// killAll kills all processes that were started.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		p.kill()
	}
}

// portSet holds the ports, which are the same on all machines.
type portSet struct{ datagram, ready, control, outbound, app, internal, internalLast uint16 }

// fleet runs the system's processes between the stand-ins.
type fleet struct {
	record  *record
	dir     string
	net     int
	ports   portSet
	store   *store
	fronts  []*process
	agents  []*process
	clients int
	stop    chan struct{}
	zones   []string
	logFile *os.File
}

func newFleet(dir string, r *record, zones ...string) (*fleet, error) {
	f := &fleet{record: r, dir: dir, net: 40 + rand.IntN(80), stop: make(chan struct{}), zones: zones}
	var numbers []uint16
	for len(numbers) < 8 {
		port := uint16(12000 + rand.IntN(9000))
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", f.net, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		numbers = append(numbers, port)
	}
	f.ports = portSet{numbers[0], numbers[1], numbers[2], numbers[3], numbers[4], numbers[5], numbers[6]}
	var err error
	if f.logFile, err = os.Create(filepath.Join(dir, "processes.log")); err != nil {
		return nil, err
	}
	if f.store, err = newStore(fmt.Sprintf("127.%d.0.1:%d", f.net, numbers[7]), r); err != nil {
		return nil, err
	}
	go f.checkReadiness()
	return f, nil
}

// address returns the address of machine number i of a kind.
func (f *fleet) address(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, kind, i) }

func (f *fleet) addFront(zone string) *process {
	i := len(f.fronts) + 1
	p := &process{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, i), role: "balancer", ip: f.address(1, i), zone: zone}
	f.fronts = append(f.fronts, p)
	return p
}

func (f *fleet) addAgent(zone, service string) *process {
	i := len(f.agents) + 1
	p := &process{fleet: f, name: fmt.Sprintf("side-%s-%d", zone, i), role: "agent", ip: f.address(2, i), zone: zone, service: service}
	f.agents = append(f.agents, p)
	return p
}

// processes returns all processes of the system.
func (f *fleet) processes() []*process {
	return append(append([]*process{}, f.fronts...), f.agents...)
}

// newTarget returns a target on the machine of an agent.
func (f *fleet) newTarget(p *process, id string) *target {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(p.ip), port) }
	return &target{
		record: f.record, store: f.store, id: id, service: p.service, zone: p.zone, address: at(f.ports.app), outbound: at(f.ports.outbound),
		slots: 2, queue: 8, work: 20 * time.Millisecond,
	}
}

// settings are what the templates of the deploy file make of the platform's settings.
func (p *process) settings() map[string]any {
	f := p.fleet
	at := func(port uint16) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	var seeds []string
	for _, front := range f.fronts[:min(len(f.fronts), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", front.ip, f.ports.control))
	}
	common := map[string]any{
		"dataCentre": p.zone, "dataCentres": f.zones, "agentControl": f.ports.internal,
		"platform": "http://" + f.storeAddress(), "peers": seeds, "ready": at(f.ports.ready),
	}
	if p.role == "balancer" {
		common["name"], common["data"], common["control"] = p.name, at(f.ports.internalLast), at(f.ports.control)
		common["fabric"], common["hints"] = at(f.ports.datagram), 65536
		return common
	}
	common["name"], common["data"], common["control"] = p.ip, at(f.ports.datagram), at(f.ports.internal)
	common["outbound"], common["backend"] = at(f.ports.outbound), at(f.ports.app)
	common["labels"] = map[string]string{"service": p.service}
	return common
}

func (f *fleet) storeAddress() string { return strings.TrimPrefix(f.storeURL(), "http://") }

func (f *fleet) storeURL() string { return "http://" + f.store.address() }

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	data, err := json.MarshalIndent(p.settings(), "", "  ")
	if err != nil {
		return err
	}
	p.config = filepath.Join(p.fleet.dir, p.name+".settings")
	if err := os.WriteFile(p.config, data, 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/radishmast-carrier", p.role, "--config", p.config)
	cmd.Stdout, cmd.Stderr = p.fleet.logFile, p.fleet.logFile
	cmd.Env = append(os.Environ(), "RADISHMAST_BOOT="+p.config)
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	startedMu.Lock()
	started = append(started, p)
	startedMu.Unlock()
	p.fleet.record.log(p.name, "starts")
	return nil
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
	p.fleet.record.log(p.name, "is killed")
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: 400 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, p.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// checkReadiness does what the platform's routers do: it asks each front twice a second, and takes
// it out of rotation after two misses.
func (f *fleet) checkReadiness() {
	for {
		for _, p := range f.fronts {
			ready := p.isReady()
			p.mu.Lock()
			if ready {
				p.ready, p.misses = true, 0
			} else if p.misses++; p.misses >= 2 {
				p.ready = false
			}
			p.mu.Unlock()
		}
		select {
		case <-f.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// route returns where the routers send a packet of a flow: to one of the fronts in rotation, or of
// all if fewer than half are.
func (f *fleet) route(id flowID) (netip.AddrPort, bool) {
	var ready []*process
	for _, p := range f.fronts {
		p.mu.Lock()
		if p.ready {
			ready = append(ready, p)
		}
		p.mu.Unlock()
	}
	if 2*len(ready) < len(f.fronts) {
		ready = f.fronts
	}
	var best *process
	var highest uint64
	for _, p := range ready {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %s", p.ip, id)
		if value := h.Sum64(); best == nil || value > highest {
			best, highest = p, value
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(netip.MustParseAddr(best.ip), f.ports.datagram), true
}

func (f *fleet) newClient(delay time.Duration) (*client, error) {
	f.clients++
	address := netip.AddrPortFrom(netip.MustParseAddr(f.address(3, f.clients)), f.ports.datagram)
	return newClient(address, f.record, f.route, delay)
}

// waitReady waits until all processes are ready and the routers know it.
func (f *fleet) waitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		all := true
		for _, p := range f.processes() {
			all = all && p.isReady()
		}
		for _, p := range f.fronts {
			p.mu.Lock()
			all = all && p.ready
			p.mu.Unlock()
		}
		if all {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// close ends all processes.
func (f *fleet) close() {
	close(f.stop)
	for _, p := range f.processes() {
		p.kill()
	}
	_ = f.store.server.Close()
	_ = f.logFile.Close()
}

// route of the operator's desired state.
type routeSpec struct {
	host, service, kind string
	port                uint16
	timeout, objective  int
	priority            int
}

func (r routeSpec) endpoint() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(r.host), r.port)
}

// publish writes a desired state.
func (f *fleet) publish(version int, coldPerSecond float64, routes ...routeSpec) time.Time {
	var listed, services []map[string]any
	seen := map[string]bool{}
	for i, r := range routes {
		listed = append(listed, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": r.host, "prefix": fmt.Sprintf("/%d/", r.port), "kind": r.kind, "timeout-ms": r.timeout,
			"objective-ms": r.objective, "priority": r.priority, "service": r.service, "attempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{
				"name": r.service, "health-path": "/health", "connection-limit": 2000, "protocol": "h1", "tls": false,
				"cold-start-s": 2.0, "cold-per-s": coldPerSecond,
			})
		}
	}
	return f.store.put("op/config", map[string]any{
		"version": version, "routes": listed, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
