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

// WaitReady waits until every running process serves and has applied the latest
// published revision. After the timeout it returns an error that names a process for
// which that isn't so.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	var notReady string
	err := c.waitUntil(timeout, "every process to serve", func() bool {
		notReady = c.describeNotReady()
		return notReady == ""
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, notReady)
	}
	return nil
}

// describeNotReady describes a running process that doesn't serve or hasn't applied the
// latest published revision. It returns "" if there is none.
func (c *Cluster) describeNotReady() string {
	want := c.platform.Revision()
	for _, name := range c.Running() {
		status, err := c.Status(name)
		if err != nil {
			return err.Error()
		}
		if !status.Valid || want.IsNewerThan(status.Revisions.Highest()) {
			return fmt.Sprintf("%s: serving %t, applied revisions %+v, published revision %s", name, status.Valid, status.Revisions, want)
		}
	}
	return ""
}

// waitUntil waits until done reports true. After the timeout it returns an error, in
// which the parameter what follows the words "wait for".
func (c *Cluster) waitUntil(timeout time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("wait for %s: timed out after %s", what, timeout)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// Running returns the names of the instances that have a running process and are not
// removed.
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

// Status reads the status of a process.
func (c *Cluster) Status(name string) (operator.Status, error) {
	var status operator.Status
	err := c.get(name, "/status", &status)
	return status, err
}

// Counters reads the counters of a process.
func (c *Cluster) Counters(name string) (map[string]any, error) {
	counters := make(map[string]any)
	err := c.get(name, "/debug/vars", &counters)
	return counters, err
}

// get reads a JSON document from a process's control endpoint.
func (c *Cluster) get(name, path string, into any) error {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + c.ControlOf(name) + path)
	if err != nil {
		return fmt.Errorf("query %s for %s: %w", name, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("decode %s of %s: %w", path, name, err)
	}
	return nil
}

// StopBackend stops a backend server and closes its connections. Its agent goes on.
func (c *Cluster) StopBackend(name string) { c.instances[name].server.Stop() }

// RestartBackend starts a stopped backend server again. It is cold.
func (c *Cluster) RestartBackend(name string) error { return c.instances[name].server.Restart() }

// WaitExited waits until an instance's process has exited, and returns an error after
// the timeout.
func (c *Cluster) WaitExited(name string, timeout time.Duration) error {
	return c.waitUntil(timeout, name+" to exit", func() bool { return c.HasExited(name) })
}

// Withdraw removes a balancer from the fabric, which sends it no more packets. It always
// returns nil.
func (c *Cluster) Withdraw(name string) error {
	c.instances[name].withdrawn = true
	c.updateFabricBalancers()
	return nil
}

// SetSelectors replaces a service's selector in every data centre and publishes the
// change in one document.
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

// SlotsOf returns the number of requests that a backend server serves at once.
func (c *Cluster) SlotsOf(name string) int { return c.instances[name].backend.Slots }

// BusyTime returns the time for which a backend server's slots were in use.
func (c *Cluster) BusyTime(name string) time.Duration { return c.instances[name].server.BusyTime() }

// Crashes returns how often a backend server crashed because of load while it was cold.
func (c *Cluster) Crashes(name string) int { return c.instances[name].server.Crashes() }
