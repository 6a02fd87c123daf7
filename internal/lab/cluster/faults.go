package cluster

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"syscall"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/relay"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// Names returns the names of the instances of a role that have not been removed.
func (c *Cluster) Names(role fleet.Role) []string {
	var names []string
	for _, name := range c.names {
		if i := c.instances[name]; i.entry.Role == role && !i.removed {
			names = append(names, name)
		}
	}
	return names
}

// Kill ends an instance's process without warning. The platform still lists it.
func (c *Cluster) Kill(name string) error {
	i := c.instances[name]
	if err := i.process.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if !i.process.waitFor(stopTimeout) {
		return fmt.Errorf("kill %s: the process did not end within %s", name, stopTimeout)
	}
	return nil
}

// Pause stops an instance's process from running until Thaw.
func (c *Cluster) Pause(name string) error { return c.instances[name].process.signal(syscall.SIGSTOP) }

// Resume lets a frozen process run again.
func (c *Cluster) Resume(name string) error { return c.instances[name].process.signal(syscall.SIGCONT) }

// Terminate asks an instance to drain and leave, and lists it as leaving.
func (c *Cluster) Terminate(name string) error {
	i := c.instances[name]
	i.entry.State = fleet.StateLeaving
	if err := c.publishInstances(); err != nil {
		return err
	}
	return i.process.signal(syscall.SIGTERM)
}

// Launch starts the process of an instance that has ended.
func (c *Cluster) Launch(name string) error {
	i := c.instances[name]
	if err := c.launch(i); err != nil {
		return err
	}
	if i.entry.State == fleet.StateLive {
		return nil
	}
	i.entry.State = fleet.StateLive
	return c.publishInstances()
}

// Remove takes an instance off the platform's list and out of the fabric.
func (c *Cluster) Remove(name string) error {
	c.instances[name].removed = true
	c.updateFabricBalancers()
	return c.publishInstances()
}

// HasExited reports whether an instance's process has ended.
func (c *Cluster) HasExited(name string) bool { return c.instances[name].process.waitFor(0) }

// AddBalancer starts one more balancer. The fabric uses it from then on.
func (c *Cluster) AddBalancer() (string, error) {
	i, err := c.addBalancer()
	if err != nil {
		return "", err
	}
	if err := c.publishInstances(); err != nil {
		return "", err
	}
	if err := c.launch(i); err != nil {
		return "", err
	}
	c.updateFabricBalancers()
	return i.entry.Name, nil
}

// SetLabels replaces the labels of backend servers and publishes them at once.
func (c *Cluster) SetLabels(labels map[string]string, names ...string) error {
	for _, name := range names {
		c.instances[name].backend.Labels = labels
	}
	return c.publishBackends()
}

// SetSelector replaces a service's selector in a data centre; nil takes the data
// centre out of the service.
func (c *Cluster) SetSelector(service, dataCentre string, selector fleet.Selector) error {
	return c.changeService(service, func(before map[string]fleet.Selector) map[string]fleet.Selector {
		selectors := maps.Clone(before)
		if selector == nil {
			delete(selectors, dataCentre)
		} else {
			selectors[dataCentre] = selector
		}
		return selectors
	})
}

func (c *Cluster) changeService(service string, change func(map[string]fleet.Selector) map[string]fleet.Selector) error {
	c.mu.Lock()
	changed := slices.Clone(c.services)
	for i := range changed {
		if changed[i].Name == service {
			changed[i].Selectors = change(changed[i].Selectors)
		}
	}
	c.services = changed
	c.mu.Unlock()
	return c.platform.Publish(&fleet.ServicesDocument{Services: changed})
}

// Partition blocks every link between instances of one data centre and the rest,
// in both directions.
func (c *Cluster) Partition(dataCentre string) {
	c.forEachPair(func(a, b *instance) {
		if (a.entry.DataCentre == dataCentre) != (b.entry.DataCentre == dataCentre) {
			c.relay.SetFault(a.address, b.address, relay.Fault{Block: true})
		}
	})
}

// BlockLink blocks the link between two instances, in one direction or in both.
func (c *Cluster) BlockLink(from, to string, both bool) {
	a, b := c.instances[from].address, c.instances[to].address
	c.relay.SetFault(a, b, relay.Fault{Block: true})
	if both {
		c.relay.SetFault(b, a, relay.Fault{Block: true})
	}
}

// BlackholeOpen makes everything open between two instances silent for good.
func (c *Cluster) BlackholeOpen(a, b string) {
	c.relay.BlackholeOpen(c.instances[a].address, c.instances[b].address)
}

// SetDefaultLinkFault sets a fault on every link between processes.
func (c *Cluster) SetDefaultLinkFault(fault relay.Fault) { c.relay.SetDefaultFault(fault) }

// ClearLinkFaults removes the faults of single links.
func (c *Cluster) ClearLinkFaults() { c.relay.ClearFaults() }

func (c *Cluster) forEachPair(visit func(a, b *instance)) {
	for _, a := range c.instances {
		for _, b := range c.instances {
			if a != b {
				visit(a, b)
			}
		}
	}
}

// DataCentreOf returns an instance's data centre.
func (c *Cluster) DataCentreOf(name string) string { return c.instances[name].entry.DataCentre }

// AddressOf returns an instance's own IP address.
func (c *Cluster) AddressOf(name string) netip.Addr { return c.instances[name].address }

// FlowsOwned asks an agent how many flows it owns.
func (c *Cluster) FlowsOwned(name string) (int, error) {
	counters, err := c.Counters(name)
	if err != nil {
		return 0, err
	}
	owned, _ := counters["flows_owned"].(float64)
	return int(owned), nil
}

// SendForged sends an instance datagrams without the fleet's key.
func (c *Cluster) SendForged(name string, count int) error {
	codec, err := datagram.NewCodec(datagram.NewKey("not the key of the fleet"))
	if err != nil {
		return err
	}
	conn, err := net.Dial("udp4", netip.AddrPortFrom(c.instances[name].address, dataPort).String())
	if err != nil {
		return fmt.Errorf("forge datagrams to %s: %w", name, err)
	}
	defer func() { _ = conn.Close() }()
	for range count {
		var buffer bytes.Buffer
		header := datagram.Header{Kind: datagram.Probe, To: uint64(fleet.InstanceIDOf(name))}
		if err := codec.AppendTo(&buffer, &header, nil); err != nil {
			return err
		}
		if _, err := conn.Write(buffer.Bytes()); err != nil {
			return fmt.Errorf("forge datagrams to %s: %w", name, err)
		}
	}
	return nil
}
