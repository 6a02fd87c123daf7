// Package cluster runs radishmastd processes together with the lab's simulated
// platform, fabric, backend servers and callers. It is a tool for tests and
// measurements.
package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/backend"
	"github.com/radishmast/radishmast/internal/lab/caller"
	"github.com/radishmast/radishmast/internal/lab/fabric"
	"github.com/radishmast/radishmast/internal/lab/platform"
	"github.com/radishmast/radishmast/internal/lab/relay"
)

// Ports of the processes and simulators. They are the same for all instances, as each
// instance has an IP address of its own.
const (
	dataPort    = 7000
	controlPort = 7001
	fabricPort  = 6081
	backendPort = 8080

	// stopTimeout is how long a killed process may take to exit.
	stopTimeout = 10 * time.Second
)

// BackendSpec describes a backend server and its agent.
type BackendSpec struct {
	Name       string
	DataCentre string
	Service    string
	Labels     map[string]string
	// Slots is the number of requests in service at once.
	Slots int
	// Speed divides the service time of requests.
	Speed float64
	// Connections is the number of flows that the agent may own; zero means the
	// default of radishmastd.
	Connections int
	// WarmUpRequests is the number of answers after which the backend server is warm.
	// Until then it crashes under load; zero means that it never crashes.
	WarmUpRequests int
}

// Spec describes a cluster and the faults of its fabric.
type Spec struct {
	// Binary is the path of radishmastd.
	Binary string
	// Directory holds the settings and the log of each process.
	Directory string
	// Seed makes the random choices of the fabric and the relay repeatable.
	Seed        uint64
	DataCentres []string
	Balancers   int
	Services    []fleet.Service
	Backends    []BackendSpec
	// Placement is the agents' placement setting; empty means the default.
	Placement string
	// Keys are the keys that authenticate traffic between processes; none turns
	// authentication off.
	Keys []string
	// Faults are the faults between callers and the cluster.
	Faults fabric.Faults
	// Relayed routes all traffic between processes through the relay, which can
	// inject faults.
	Relayed bool
	// FeedPeriod is the time between two lines of a feed; zero means one second.
	FeedPeriod time.Duration
}

// Cluster is a running cluster: its processes, the simulators around them, and the
// documents that its platform publishes.
type Cluster struct {
	spec        Spec
	network     byte
	networkLock net.Listener
	platform    *platform.Platform
	fabric      *fabric.Fabric
	callers     *caller.Callers
	relay       *relay.Relay
	requestLog  *backend.RequestLog

	mu        sync.Mutex
	instances map[string]*instance
	names     []string
	services  []fleet.Service
	balancers int
	backends  int
}

// instance is a radishmastd process, its entry in the instances document and, for an
// agent, its backend server.
type instance struct {
	entry   fleet.Instance
	address netip.Addr
	process *process
	server  *backend.Server
	backend *BackendSpec
	removed bool
	// withdrawn means that the fabric sends this balancer no packets.
	withdrawn bool
}

// Start starts a cluster: simulators, published documents and processes. It doesn't
// wait until the processes serve; WaitReady does.
func Start(spec Spec) (*Cluster, error) {
	c := &Cluster{
		spec:       spec,
		requestLog: backend.NewRequestLog(),
		instances:  make(map[string]*instance),
		services:   spec.Services,
	}
	if err := c.reserveNetwork(); err != nil {
		return nil, err
	}
	if err := c.startSimulators(); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.startInstances(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// reserveNetwork chooses a /16 network of the loopback range that no other cluster of
// this machine uses. It reserves the network by listening on one of its addresses.
func (c *Cluster) reserveNetwork() error {
	const first, last = 64, 250
	for n := first; n < last; n++ {
		lock, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", n, controlPort))
		if err == nil {
			c.networkLock, c.network = lock, byte(n)
			return nil
		}
	}
	return fmt.Errorf("no loopback network between 127.%d and 127.%d is free", first, last)
}

// startSimulators starts the platform, the fabric, the relay and the callers.
func (c *Cluster) startSimulators() error {
	var err error
	if c.platform, err = platform.Start(c.endpoint(0, 2, 8500).String()); err != nil {
		return err
	}
	c.fabric, err = fabric.Start(c.endpoint(0, 3, fabricPort), c.spec.Seed, func(p []byte) { c.callers.Deliver(p) })
	if err != nil {
		return err
	}
	c.fabric.SetFaults(c.spec.Faults)
	c.relay = relay.New(c.spec.Seed)
	c.callers, err = caller.New(c.fabric.Send)
	return err
}

// endpoint returns an endpoint in the cluster's loopback network.
func (c *Cluster) endpoint(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, c.network, group, number}), port)
}

// startInstances publishes the instances of the spec, starts their processes and gives
// the fabric the balancers.
func (c *Cluster) startInstances() error {
	for range c.spec.Balancers {
		if _, err := c.addBalancer(); err != nil {
			return err
		}
	}
	for i := range c.spec.Backends {
		if err := c.addBackend(&c.spec.Backends[i]); err != nil {
			return err
		}
	}
	if err := c.PublishAll(); err != nil {
		return err
	}
	for _, name := range c.names {
		if err := c.launch(c.instances[name]); err != nil {
			return err
		}
	}
	c.updateFabricBalancers()
	return nil
}

// Third octets of the instances' addresses, by role. The relay's address for an
// instance has relayOffset added.
const (
	balancerGroup = 1
	backendGroup  = 2
	relayOffset   = 10
)

// addBalancer adds a balancer without starting it. Balancers take the data centres in
// turn.
func (c *Cluster) addBalancer() (*instance, error) {
	c.balancers++
	number := byte(c.balancers)
	dataCentre := c.spec.DataCentres[(c.balancers-1)%len(c.spec.DataCentres)]
	return c.addInstance(fmt.Sprintf("entry-%d", number), fleet.RoleBalancer, dataCentre, balancerGroup, number)
}

// addBackend adds a backend server and its agent without starting them.
func (c *Cluster) addBackend(spec *BackendSpec) error {
	c.backends++
	i, err := c.addInstance(spec.Name, fleet.RoleAgent, spec.DataCentre, backendGroup, byte(c.backends))
	if err != nil {
		return err
	}
	i.backend = spec
	return nil
}

// addInstance adds an instance without starting it. In a relayed cluster its entry has
// the relay's address, so that other instances reach it through the relay.
func (c *Cluster) addInstance(name string, role fleet.Role, dataCentre string, group, number byte) (*instance, error) {
	i := &instance{address: c.endpoint(group, number, 0).Addr()}
	published := i.address
	if c.spec.Relayed {
		published = c.endpoint(group+relayOffset, number, 0).Addr()
		if err := c.relayTo(published, i.address); err != nil {
			return nil, err
		}
	}
	i.entry = fleet.Instance{
		Name:       name,
		Role:       role,
		DataCentre: dataCentre,
		Data:       netip.AddrPortFrom(published, dataPort).String(),
		Control:    netip.AddrPortFrom(published, controlPort).String(),
		State:      fleet.StateLive,
	}
	c.instances[name] = i
	c.names = append(c.names, name)
	return i, nil
}

// relayTo relays the data and control ports of the published address to the instance.
func (c *Cluster) relayTo(published, address netip.Addr) error {
	err := c.relay.RelayDatagrams(netip.AddrPortFrom(published, dataPort), netip.AddrPortFrom(address, dataPort))
	if err != nil {
		return err
	}
	return c.relay.RelayStreams(netip.AddrPortFrom(published, controlPort), netip.AddrPortFrom(address, controlPort))
}

// updateFabricBalancers gives the fabric the balancers that are started and neither
// removed nor withdrawn.
func (c *Cluster) updateFabricBalancers() {
	var endpoints []netip.AddrPort
	for _, name := range c.names {
		i := c.instances[name]
		if i.entry.Role == fleet.RoleBalancer && !i.removed && !i.withdrawn && i.process != nil {
			endpoints = append(endpoints, netip.AddrPortFrom(i.address, fabricPort))
		}
	}
	c.fabric.SetBalancers(endpoints)
}

// PublishAll publishes the instances, backends and services documents.
func (c *Cluster) PublishAll() error {
	if err := c.publishInstances(); err != nil {
		return err
	}
	if err := c.publishBackends(); err != nil {
		return err
	}
	return c.platform.Publish(&fleet.ServicesDocument{Services: c.services})
}

// publishInstances publishes the entries of the instances that are not removed.
func (c *Cluster) publishInstances() error {
	document := new(fleet.InstancesDocument)
	for _, name := range c.names {
		if i := c.instances[name]; !i.removed {
			document.Instances = append(document.Instances, i.entry)
		}
	}
	return c.platform.Publish(document)
}

// publishBackends publishes the backend servers of the instances that are not removed.
func (c *Cluster) publishBackends() error {
	document := new(fleet.BackendsDocument)
	for _, name := range c.names {
		i := c.instances[name]
		if i.removed || i.backend == nil {
			continue
		}
		document.Backends = append(document.Backends, fleet.Backend{
			Name:       name,
			DataCentre: i.entry.DataCentre,
			Labels:     i.backend.Labels,
		})
	}
	return c.platform.Publish(document)
}

// Close kills every process and stops the simulators. It also cleans up a cluster that
// did not start completely.
func (c *Cluster) Close() {
	for _, i := range c.instances {
		if i.process != nil && !i.process.waitFor(0) {
			// The signal fails only if the process has exited meanwhile.
			_ = i.process.signal(syscall.SIGKILL)
			i.process.waitFor(stopTimeout)
		}
		if i.server != nil {
			i.server.Stop()
		}
	}
	if c.relay != nil {
		c.relay.Close()
	}
	if c.callers != nil {
		c.callers.Close()
	}
	if c.fabric != nil {
		c.fabric.Close()
	}
	if c.platform != nil {
		c.platform.Close()
	}
	if c.networkLock != nil {
		_ = c.networkLock.Close()
	}
}

// Dial opens a flow from a member to the service with a name.
func (c *Cluster) Dial(ctx context.Context, member netip.Addr, service string) (net.Conn, error) {
	endpoint, err := c.ServiceEndpoint(service)
	if err != nil {
		return nil, err
	}
	return c.callers.Dial(ctx, member, endpoint)
}

// DialUDP opens a UDP flow from a member to the service with a name.
func (c *Cluster) DialUDP(member netip.Addr, service string) (net.Conn, error) {
	endpoint, err := c.ServiceEndpoint(service)
	if err != nil {
		return nil, err
	}
	return c.callers.DialUDP(member, endpoint)
}

// ServiceEndpoint returns the address and port of the service with a name.
func (c *Cluster) ServiceEndpoint(name string) (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.services, func(s fleet.Service) bool { return s.Name == name })
	if i < 0 {
		return netip.AddrPort{}, fmt.Errorf("no service %q is published", name)
	}
	return netip.ParseAddrPort(c.services[i].Address)
}

// Platform returns the simulated platform.
func (c *Cluster) Platform() *platform.Platform { return c.platform }

// RequestLog returns the record of the requests that the backend servers ran.
func (c *Cluster) RequestLog() *backend.RequestLog { return c.requestLog }

// NewDirectory creates a temporary directory for settings and logs, and returns its
// path and a function that removes it.
func NewDirectory() (string, func(), error) {
	directory, err := os.MkdirTemp("", "radishmast-lab-")
	if err != nil {
		return "", nil, fmt.Errorf("create directory for settings and logs: %w", err)
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil
}

// ControlOf returns the control endpoint of an instance's process, which bypasses the
// relay.
func (c *Cluster) ControlOf(name string) string {
	return netip.AddrPortFrom(c.instances[name].address, controlPort).String()
}
