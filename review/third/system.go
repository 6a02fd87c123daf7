package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// program is the system's own program, as the deploy file builds it.
const program = "target/radishmast-carrier"

// stopTimeout is how long a killed process may take to end.
const stopTimeout = 5 * time.Second

// record is the record of a case.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// newRecord creates the record of a case.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written shows as an empty one.
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// ports are the ports of a day, the same on all machines.
type ports struct{ datagram, outbound, ready, control, agentControl, internal, app, store uint16 }

// system is the system under test with its store.
type system struct {
	dir    string
	net    byte
	ports  ports
	store  *store
	record *record
	zones  []string
	seeds  []string

	mu        sync.Mutex
	processes []*process
}

// process is a process of the system on a machine of its own.
type process struct {
	system   *system
	role     string
	address  netip.Addr
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// newSystem returns a system whose machines have loopback addresses that nobody uses.
func newSystem(r *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	base := uint16(20000 + 16*rand.IntN(600))
	s := &system{
		dir: dir, net: byte(64 + rand.IntN(128)), record: r, zones: []string{"zone-a", "zone-b", "zone-c"},
		ports: ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7},
	}
	s.store, err = startStore(s.at(s.host(200, 1), s.ports.store).String())
	return s, err
}

// host returns the address of a machine.
func (s *system) host(zone, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.net, zone, number})
}

func (s *system) at(address netip.Addr, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(address, port)
}

// startFront starts a balancer.
func (s *system) startFront(zone, number byte) (*process, error) {
	address := s.host(zone, number)
	return s.start("balancer", address, map[string]any{
		"name": "front-" + address.String(), "dataCentre": s.zones[zone], "dataCentres": s.zones,
		"data": s.at(address, s.ports.internal).String(), "control": s.at(address, s.ports.control).String(),
		"agentControl": s.ports.agentControl, "platform": s.store.url, "peers": s.seeds,
		"ready": s.at(address, s.ports.ready).String(), "fabric": s.at(address, s.ports.datagram).String(), "hints": 65536,
	})
}

// startAgent starts the agent beside a target.
func (s *system) startAgent(zone, number byte, service string) (*process, error) {
	address := s.host(zone, number)
	return s.start("agent", address, map[string]any{
		"name": address.String(), "dataCentre": s.zones[zone], "dataCentres": s.zones,
		"data": s.at(address, s.ports.datagram).String(), "control": s.at(address, s.ports.agentControl).String(),
		"agentControl": s.ports.agentControl, "platform": s.store.url, "peers": s.seeds,
		"ready": s.at(address, s.ports.ready).String(), "outbound": s.at(address, s.ports.outbound).String(),
		"backend": s.at(address, s.ports.app).String(), "labels": map[string]string{"service": service},
	})
}

func (s *system) start(role string, address netip.Addr, settings map[string]any) (*process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{system: s, role: role, address: address, settings: filepath.Join(s.dir, address.String()+".json")}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, p.run()
}

// run starts the process with the command of the deploy file.
func (p *process) run() error {
	log, err := os.OpenFile(filepath.Join(p.system.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program, p.role, "--config", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.role, err)
	}
	ended := make(chan struct{})
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.ended = ended
	return nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
	}
}

// stop ends all processes and removes the temporary folder.
func (s *system) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.kill()
	}
	_ = s.store.server.Close()
	_ = os.RemoveAll(s.dir)
}

// awaitReady waits until the readiness check of a process answers.
func (p *process) awaitReady(timeout time.Duration) bool {
	endpoint := p.system.at(p.address, p.system.ports.ready).String()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if isReady(endpoint) {
			return true
		}
	}
	return false
}

func isReady(endpoint string) bool {
	conn, err := net.DialTimeout("tcp4", endpoint, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := conn.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	buffer := make([]byte, 12)
	n, _ := conn.Read(buffer)
	return string(buffer[:n]) == "HTTP/1.1 200"
}

// entry is what a target writes of itself into the store.
type entry struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Version       string `json:"version"`
	Slots         int    `json:"slots"`
	State         string `json:"state"`
	ColdRemaining int64  `json:"cold-remaining-ms"`
	Sequence      int    `json:"sequence"`
	Born          int64  `json:"born"`
}

// route is a route of the desired state.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	Timeout   int    `json:"timeout-ms"`
	Objective int    `json:"objective-ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
}

// desiredService is a service of the desired state.
type desiredService struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health-path"`
	Connection int     `json:"connection-limit"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStart  float64 `json:"cold-start-s"`
	ColdRate   float64 `json:"cold-per-s"`
}

// desiredState is a desired state in full.
type desiredState struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []desiredService `json:"services"`
	Limits   map[string]int   `json:"limits"`
}
