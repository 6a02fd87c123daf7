package cluster

import (
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/backend"
)

// launch starts the process of an instance. For an agent it first starts the backend
// server, unless that runs already.
func (c *Cluster) launch(i *instance) error {
	if i.entry.Role == fleet.RoleBalancer {
		return c.launchBalancer(i)
	}
	if i.server == nil {
		server, err := backend.Start(backend.Config{
			Name:           i.entry.Name,
			Address:        netip.AddrPortFrom(i.address, backendPort).String(),
			Service:        i.backend.Service,
			Slots:          i.backend.Slots,
			MaxQueue:       maxQueuedRequests,
			Speed:          i.backend.Speed,
			WarmUpRequests: i.backend.WarmUpRequests,
			CrashDowntime:  crashDowntime,
			FeedPeriod:     c.spec.FeedPeriod,
		}, c.requestLog)
		if err != nil {
			return err
		}
		i.server = server
	}
	return c.launchAgent(i)
}

const (
	maxQueuedRequests = 1000
	crashDowntime     = 2 * time.Second
)

// commonSettings returns the settings of a process that balancers and agents share.
func (c *Cluster) commonSettings(i *instance) map[string]any {
	settings := map[string]any{
		"name":       i.entry.Name,
		"dataCentre": i.entry.DataCentre,
		"data":       netip.AddrPortFrom(i.address, dataPort).String(),
		"control":    netip.AddrPortFrom(i.address, controlPort).String(),
		"platform":   c.platform.URL(),
		"peers":      c.seedPeers(i),
	}
	if len(c.spec.Keys) > 0 {
		settings["keys"] = c.spec.Keys
	}
	return settings
}

// seedPeers returns the control endpoints of at most three other instances, which a
// process contacts first.
func (c *Cluster) seedPeers(except *instance) []string {
	const wanted = 3
	var peers []string
	for _, name := range c.names {
		if i := c.instances[name]; i != except && !i.removed && len(peers) < wanted {
			peers = append(peers, i.entry.Control)
		}
	}
	return peers
}

// launchBalancer starts the process of a balancer.
func (c *Cluster) launchBalancer(i *instance) error {
	settings := c.commonSettings(i)
	settings["fabric"] = netip.AddrPortFrom(i.address, fabricPort).String()
	process, err := startProcess(c.spec.Binary, "balancer", c.spec.Directory, i.entry.Name, settings)
	i.process = process
	return err
}

// launchAgent starts the process of an agent, whose backend server runs already.
func (c *Cluster) launchAgent(i *instance) error {
	settings := c.commonSettings(i)
	settings["egress"] = c.fabric.Address()
	settings["backend"] = netip.AddrPortFrom(i.address, backendPort).String()
	settings["health"] = "http://" + netip.AddrPortFrom(i.address, backendPort).String() + "/health"
	settings["slots"] = i.backend.Slots
	if i.backend.Connections > 0 {
		settings["connections"] = i.backend.Connections
	}
	if c.spec.Placement != "" {
		settings["placement"] = c.spec.Placement
	}
	process, err := startProcess(c.spec.Binary, "agent", c.spec.Directory, i.entry.Name, settings)
	i.process = process
	return err
}
