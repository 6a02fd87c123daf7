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

// Names returns the names of the instances of a role that have not been removed, in
// the order in which they were added. Their processes need not run.
func (c *Cluster) Names(role fleet.Role) []string {
	var names []string
	for _, name := range c.names {
		if i := c.instances[name]; i.entry.Role == role && !i.removed {
			names = append(names, name)
		}
	}
	return names
}

// Kill kills an instance's process and waits until it has exited. The platform still
// lists the instance as before.
func (c *Cluster) Kill(name string) error {
	i := c.instances[name]
	if err := i.process.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if !i.process.waitFor(stopTimeout) {
		return fmt.Errorf("kill %s: the process did not exit within %s", name, stopTimeout)
	}
	return nil
}

// Pause suspends an instance's process by SIGSTOP until Resume.
func (c *Cluster) Pause(name string) error { return c.instances[name].process.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (c *Cluster) Resume(name string) error { return c.instances[name].process.signal(syscall.SIGCONT) }

// Terminate lists an instance as leaving and asks its process by SIGTERM to drain and
// exit. It doesn't wait for that.
func (c *Cluster) Terminate(name string) error {
	i := c.instances[name]
	i.entry.State = fleet.StateLeaving
	if err := c.publishInstances(); err != nil {
		return err
	}
	return i.process.signal(syscall.SIGTERM)
}

// Launch starts the process of an instance again after it has exited, and lists the
// instance as live.
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

// Remove removes an instance from the published instances document and from the
// fabric. An agent's backend server stays in the backends document until that is
// published again. Remove doesn't stop the process.
func (c *Cluster) Remove(name string) error {
	c.instances[name].removed = true
	c.updateFabricBalancers()
	return c.publishInstances()
}

// HasExited reports whether an instance's process has exited.
func (c *Cluster) HasExited(name string) bool { return c.instances[name].process.waitFor(0) }

// AddBalancer adds and starts a balancer and returns its name. The fabric sends it
// packets from then on, before it serves.
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

// SetLabels replaces the labels of backend servers and publishes them in one document.
func (c *Cluster) SetLabels(labels map[string]string, names ...string) error {
	for _, name := range names {
		c.instances[name].backend.Labels = labels
	}
	return c.publishBackends()
}

// SetSelector replaces a service's selector in a data centre and publishes it; nil
// removes the data centre from the service.
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

// changeService replaces the selectors of a service, by data centre, with what change
// returns and publishes the services document. change must not modify its argument.
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

// Partition blocks, in both directions, every link between the instances of a data
// centre and all others. It needs a relayed cluster, as the other link faults do.
func (c *Cluster) Partition(dataCentre string) {
	c.forEachPair(func(a, b *instance) {
		if (a.entry.DataCentre == dataCentre) != (b.entry.DataCentre == dataCentre) {
			c.relay.SetFault(a.address, b.address, relay.Fault{Block: true})
		}
	})
}

// BlockLink blocks traffic from one instance to another, and with both also the traffic
// back.
func (c *Cluster) BlockLink(from, to string, both bool) {
	a, b := c.instances[from].address, c.instances[to].address
	c.relay.SetFault(a, b, relay.Fault{Block: true})
	if both {
		c.relay.SetFault(b, a, relay.Fault{Block: true})
	}
}

// BlackholeOpen discards all traffic of the paths and connections that are open between
// two instances. Those opened later work.
func (c *Cluster) BlackholeOpen(a, b string) {
	c.relay.BlackholeOpen(c.instances[a].address, c.instances[b].address)
}

// SetDefaultLinkFault sets the fault of every link that has none of its own.
func (c *Cluster) SetDefaultLinkFault(fault relay.Fault) { c.relay.SetDefaultFault(fault) }

// ClearLinkFaults removes the faults set by Partition and BlockLink. The default fault
// stays.
func (c *Cluster) ClearLinkFaults() { c.relay.ClearFaults() }

// forEachPair calls visit with each ordered pair of instances.
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

// FlowsOwned returns the number of flows that an agent owns, by its own counter.
func (c *Cluster) FlowsOwned(name string) (int, error) {
	counters, err := c.Counters(name)
	if err != nil {
		return 0, err
	}
	owned, _ := counters["flows_owned"].(float64)
	return int(owned), nil
}

// SendForged sends an instance a number of probe datagrams that are authenticated by a
// key other than the fleet's.
func (c *Cluster) SendForged(name string, count int) error {
	codec, err := datagram.NewCodec(datagram.NewKey("not the key of the fleet"))
	if err != nil {
		return err
	}
	conn, err := net.Dial("udp4", netip.AddrPortFrom(c.instances[name].address, dataPort).String())
	if err != nil {
		return fmt.Errorf("send forged datagrams to %s: %w", name, err)
	}
	defer func() { _ = conn.Close() }()
	for range count {
		var buffer bytes.Buffer
		header := datagram.Header{Kind: datagram.Probe, To: uint64(fleet.InstanceIDOf(name))}
		if err := codec.AppendTo(&buffer, &header, nil); err != nil {
			return err
		}
		if _, err := conn.Write(buffer.Bytes()); err != nil {
			return fmt.Errorf("send forged datagrams to %s: %w", name, err)
		}
	}
	return nil
}
