package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/operator"
)

const (
	readyPollInterval = 50 * time.Millisecond
	statusTimeout     = 2 * time.Second
)

// WaitReady waits until every process has the published documents in force and
// serves, for at most the timeout.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	var missing string
	err := c.waitUntil(timeout, "every process serves", func() bool {
		missing = c.describeNotReady()
		return missing == ""
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, missing)
	}
	return nil
}

// describeNotReady describes a process that does not serve the published documents yet.
func (c *Cluster) describeNotReady() string {
	want := c.platform.Revision()
	for _, name := range c.Running() {
		status, err := c.Status(name)
		if err != nil {
			return err.Error()
		}
		if !status.Valid || status.Revisions.Highest() < want {
			return fmt.Sprintf("%s: serving %t, revisions %+v, published %d", name, status.Valid, status.Revisions, want)
		}
	}
	return ""
}

func (c *Cluster) waitUntil(timeout time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s", what, timeout)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// Running returns the names of the instances with a live process.
func (c *Cluster) Running() []string {
	var names []string
	for _, name := range c.names {
		i := c.instances[name]
		if i.process != nil && !i.removed && !i.process.waitFor(0) {
			names = append(names, name)
		}
	}
	return names
}

// Status asks a process what it has in force.
func (c *Cluster) Status(name string) (operator.Status, error) {
	var status operator.Status
	err := c.get(name, "/status", &status)
	return status, err
}

// Counters reads a process's counters.
func (c *Cluster) Counters(name string) (map[string]any, error) {
	counters := make(map[string]any)
	err := c.get(name, "/debug/vars", &counters)
	return counters, err
}

func (c *Cluster) get(name, path string, into any) error {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + c.ControlOf(name) + path)
	if err != nil {
		return fmt.Errorf("ask %s for %s: %w", name, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("decode %s of %s: %w", path, name, err)
	}
	return nil
}

// StopBackend kills a backend server but not its agent.
func (c *Cluster) StopBackend(name string) { c.instances[name].server.Stop() }

// RestartBackend brings a killed backend server back, cold.
func (c *Cluster) RestartBackend(name string) error { return c.instances[name].server.Restart() }

// WaitExited waits until an instance's process has ended.
func (c *Cluster) WaitExited(name string, timeout time.Duration) error {
	return c.waitUntil(timeout, name+" has ended", func() bool { return c.HasExited(name) })
}

// Withdraw takes a balancer out of the fabric.
func (c *Cluster) Withdraw(name string) error {
	c.instances[name].withdrawn = true
	c.updateFabricBalancers()
	return nil
}

// SetSelectors replaces a service's selector in every data centre at one stroke.
func (c *Cluster) SetSelectors(service string, selector fleet.Selector) error {
	return c.changeService(service, func(map[string]fleet.Selector) map[string]fleet.Selector {
		selectors := make(map[string]fleet.Selector)
		for _, dataCentre := range c.spec.DataCentres {
			selectors[dataCentre] = selector
		}
		return selectors
	})
}

// ServiceOf returns the service that a backend server belongs to.
func (c *Cluster) ServiceOf(name string) string { return c.instances[name].backend.Service }

// SlotsOf returns the number of slots of a backend server.
func (c *Cluster) SlotsOf(name string) int { return c.instances[name].backend.Slots }

// BusyTime returns the time for which a backend server's slots were in use.
func (c *Cluster) BusyTime(name string) time.Duration { return c.instances[name].server.BusyTime() }

// Crashes returns how often a backend server fell over.
func (c *Cluster) Crashes(name string) int { return c.instances[name].server.Crashes() }
