package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/radishmast/radishmast/internal/link/operator"
)

const (
	readyPoll     = 50 * time.Millisecond
	statusTimeout = 2 * time.Second
)

// WaitReady waits until every process has the published documents in force and
// serves, for at most the timeout.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	return c.waitUntil(timeout, "every process serves", func() bool {
		want := c.platform.Revision()
		for _, name := range c.running() {
			status, err := c.Status(name)
			if err != nil || !status.Valid || status.Revisions.Highest() < want {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) waitUntil(timeout time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s", what, timeout)
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// running returns the names of the instances with a live process.
func (c *Cluster) running() []string {
	var names []string
	for _, name := range c.order {
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
