// Package cluster runs real radishmastd processes between the lab's stand-ins
// for platform, fabric, backend servers and callers. It is a tool for tests and
// measurement.
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

// Ports of the processes; each instance has an IP address of its own.
const (
	dataPort    = 7000
	controlPort = 7001
	fabricPort  = 6081
	backendPort = 8080

	stopTimeout = 10 * time.Second
)

// BackendSpec describes a backend server and the agent beside it.
type BackendSpec struct {
	Name       string
	DataCentre string
	Service    string
	Labels     map[string]string
	Slots      int
	Speed      float64
	// Connections is the number of flows its agent may own, or zero for the default.
	Connections int
	// WarmUpRequests is zero for a backend server that does not fall over.
	WarmUpRequests int
}

// Spec describes a cluster.
type Spec struct {
	Binary      string
	Directory   string
	Seed        uint64
	DataCentres []string
	Balancers   int
	Services    []fleet.Service
	Backends    []BackendSpec
	Placement   string
	Keys        []string
	Faults      fabric.Faults
	// Relayed puts the fault-injecting relay on every link between processes.
	Relayed bool
	// FeedPeriod is the time between two lines of a feed.
	FeedPeriod time.Duration
}

// Cluster is a running cluster.
type Cluster struct {
	spec        Spec
	network     byte
	networkLock net.Listener
	platform    *platform.Platform
	fabric      *fabric.Fabric
	callers     *caller.Callers
	relay       *relay.Relay
	ledger      *backend.RequestLog

	mu        sync.Mutex
	instances map[string]*instance
	names     []string
	services  []fleet.Service
	balancers int
	backends  int
}

// instance is one radishmastd process with what stands beside it.
type instance struct {
	entry   fleet.Instance
	address netip.Addr
	process *process
	server  *backend.Server
	backend *BackendSpec
	removed bool
	// withdrawn balancers get no packets from the fabric.
	withdrawn bool
}

// Start runs a cluster and waits until it serves.
func Start(spec Spec) (*Cluster, error) {
	c := &Cluster{
		spec:      spec,
		ledger:    backend.NewRequestLog(),
		instances: make(map[string]*instance),
		services:  spec.Services,
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

// reserveNetwork picks a /16 of the loopback range that no other cluster uses.
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

func (c *Cluster) endpoint(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, c.network, group, number}), port)
}

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

// Groups of addresses: instances of each role, and the relay's in front of them.
const (
	balancerGroup = 1
	backendGroup  = 2
	relayOffset   = 10
)

func (c *Cluster) addBalancer() (*instance, error) {
	c.balancers++
	number := byte(c.balancers)
	dataCentre := c.spec.DataCentres[(c.balancers-1)%len(c.spec.DataCentres)]
	return c.addInstance(fmt.Sprintf("entry-%d", number), fleet.RoleBalancer, dataCentre, balancerGroup, number)
}

func (c *Cluster) addBackend(spec *BackendSpec) error {
	c.backends++
	i, err := c.addInstance(spec.Name, fleet.RoleAgent, spec.DataCentre, backendGroup, byte(c.backends))
	if err != nil {
		return err
	}
	i.backend = spec
	return nil
}

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

func (c *Cluster) relayTo(published, address netip.Addr) error {
	err := c.relay.RelayDatagrams(netip.AddrPortFrom(published, dataPort), netip.AddrPortFrom(address, dataPort))
	if err != nil {
		return err
	}
	return c.relay.RelayStreams(netip.AddrPortFrom(published, controlPort), netip.AddrPortFrom(address, controlPort))
}

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

// PublishAll publishes every document as it stands.
func (c *Cluster) PublishAll() error {
	if err := c.publishInstances(); err != nil {
		return err
	}
	if err := c.publishBackends(); err != nil {
		return err
	}
	return c.platform.Publish(&fleet.ServicesDocument{Services: c.services})
}

func (c *Cluster) publishInstances() error {
	document := new(fleet.InstancesDocument)
	for _, name := range c.names {
		if i := c.instances[name]; !i.removed {
			document.Instances = append(document.Instances, i.entry)
		}
	}
	return c.platform.Publish(document)
}

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

// Close ends every process and stand-in.
func (c *Cluster) Close() {
	for _, i := range c.instances {
		if i.process != nil && !i.process.waitFor(0) {
			// A process that has ended already cannot be signalled.
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

// ServiceEndpoint returns the address of the service with a name.
func (c *Cluster) ServiceEndpoint(name string) (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.services, func(s fleet.Service) bool { return s.Name == name })
	if i < 0 {
		return netip.AddrPort{}, fmt.Errorf("no service %q is published", name)
	}
	return netip.ParseAddrPort(c.services[i].Address)
}

// Platform returns the platform's stand-in.
func (c *Cluster) Platform() *platform.Platform { return c.platform }

// RequestLog returns the backend servers' record of requests.
func (c *Cluster) RequestLog() *backend.RequestLog { return c.ledger }

// NewDirectory returns a directory for settings and logs, and its removal.
func NewDirectory() (string, func(), error) {
	directory, err := os.MkdirTemp("", "radishmast-lab-")
	if err != nil {
		return "", nil, fmt.Errorf("create directory for settings and logs: %w", err)
	}
	return directory, func() { _ = os.RemoveAll(directory) }, nil
}

// ControlOf returns the control endpoint of an instance.
func (c *Cluster) ControlOf(name string) string {
	return netip.AddrPortFrom(c.instances[name].address, controlPort).String()
}
