// Package scenario runs named scenarios of changes, failures and load on a cluster of
// radishmastd processes, and measures the effect on callers and the control traffic.
package scenario

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
	"github.com/radishmast/radishmast/internal/lab/workload"
)

const (
	readyTimeout = 30 * time.Second
	// settleTime is the time with requests before and after the scenario's events. It
	// is also the time for which the platform is stale in the scenario replace-drain.
	settleTime  = 2 * time.Second
	memberCount = 8
	// orders and patterns are the services of the sample cluster. The scenarios send
	// feeds and requests to orders only.
	orders             = "orders"
	patterns           = "patterns"
	defaultFeeds       = 200
	defaultRate        = 40
	defaultServiceTime = 20 * time.Millisecond
	defaultPeriod      = 200 * time.Millisecond
)

// Options describe the cluster and the load of a run. A zero value of a size, rate or
// time means a default that suits a small run.
type Options struct {
	// Binary is the path of radishmastd.
	Binary string
	// Directory holds the settings and the log of each process.
	Directory string
	// Seed makes the random choices of the lab repeatable.
	Seed uint64
	// Feeds is the number of long-lived flows.
	Feeds int
	// Rate is the mean number of requests per second.
	Rate float64
	// MeanServiceTime is the mean time that a request takes at speed 1.
	MeanServiceTime time.Duration
	// FeedPeriod is the time between two lines of a feed.
	FeedPeriod time.Duration
	// Balancers is the number of balancers.
	Balancers int
	// Slots is the number of slots of each backend server.
	Slots int
	// Placement is the agents' placement setting; empty means the default.
	Placement string
	// Keys are the keys that authenticate traffic between processes; none turns
	// authentication off.
	Keys []string
	// Processes is the size in the capacity scenarios: processes, or idle flows of one
	// agent.
	Processes int
	// Hold is the length of one phase of a scenario: how long a fault lasts, a change
	// is left to take effect or a load is measured.
	Hold time.Duration
}

// setDefaults sets the zero values to defaults.
func (o *Options) setDefaults() {
	setDefault(&o.Feeds, defaultFeeds)
	setDefault(&o.Rate, defaultRate)
	setDefault(&o.MeanServiceTime, defaultServiceTime)
	setDefault(&o.FeedPeriod, defaultPeriod)
	setDefault(&o.Balancers, 3)
	setDefault(&o.Slots, 2)
	setDefault(&o.Hold, 5*time.Second)
}

// setDefault sets a zero value to the default.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Scenario is a named sequence of faults, changes and load.
type Scenario struct {
	Name string
	Help string
	// configure changes the cluster and the options before the start; nil leaves the
	// sample cluster as it is.
	configure func(*cluster.Spec, *Options)
	// execute runs the events and sets the details of the result.
	execute func(*run) error
}

// run is a scenario that is running.
type run struct {
	options      Options
	cluster      *cluster.Cluster
	feeds        *workload.Feeds
	requests     *workload.Requests
	usageAtStart usage
	// measurements counts the measurements begun. The number makes the identifiers of
	// their requests differ.
	measurements int
	result       *Result
}

// All returns all scenarios, sorted by name.
func All() []Scenario {
	all := slices.Concat(changeScenarios(), failureScenarios(), combinedScenarios(), loadScenarios(), capacityScenarios())
	slices.SortFunc(all, func(a, b Scenario) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Find returns the scenario with a name.
func Find(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario %q; radishmast-lab list names them", name)
}

// Run starts a cluster, runs the scenario on it and returns the measurements.
func (s Scenario) Run(options Options) (*Result, error) {
	options.setDefaults()
	spec := cluster.Spec{
		Binary:      options.Binary,
		Directory:   options.Directory,
		Seed:        options.Seed,
		DataCentres: cluster.SampleDataCentres(),
		Balancers:   options.Balancers,
		Services:    cluster.SampleServices(),
		Backends:    slices.Concat(cluster.SampleBackends(orders, 7, options.Slots), cluster.SampleBackends(patterns, 3, options.Slots)),
		Placement:   options.Placement,
		Keys:        options.Keys,
		Relayed:     true,
		FeedPeriod:  options.FeedPeriod,
	}
	if s.configure != nil {
		s.configure(&spec, &options)
	}
	c, err := cluster.Start(spec)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.WaitReady(readyTimeout); err != nil {
		return nil, err
	}
	r := &run{options: options, cluster: c, result: &Result{Scenario: s.Name, Seed: options.Seed}}
	if err := r.measure(s.execute); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	return r.result, nil
}

// measure opens feeds and sends requests before, during and after the scenario's events,
// and fills in the result. It returns the error of the events, if any.
func (r *run) measure(execute func(*run) error) error {
	feeds, err := workload.OpenFeeds(r.cluster, orders, r.options.Feeds)
	if err != nil {
		return err
	}
	defer feeds.Close()
	r.feeds = feeds
	r.beginMeasurement(workload.EqualMembers(memberCount), r.options.Rate)
	time.Sleep(settleTime)
	failure := execute(r)
	time.Sleep(settleTime)
	r.fillResult(r.requests.Stop())
	return failure
}

// beginMeasurement starts a new measurement: it reads the usage and starts to send
// requests. It first stops the requests of the measurement before, waits until they have
// ended and drops their results.
func (r *run) beginMeasurement(members map[netip.Addr]float64, rate float64) {
	if r.requests != nil {
		r.requests.Stop()
	}
	r.measurements++
	r.usageAtStart = r.takeUsage()
	r.requests = workload.StartRequests(r.cluster, r.cluster.RequestLog(), workload.RequestPlan{
		Service:         orders,
		Rate:            rate,
		MeanServiceTime: r.options.MeanServiceTime,
		Members:         members,
		Seed:            r.options.Seed,
		Prefix:          fmt.Sprintf("run%d-", r.measurements),
	})
}

// orderServers returns the names of the order service's backend servers whose agent has
// not been removed.
func (r *run) orderServers() []string {
	var names []string
	for _, name := range r.cluster.Names(fleet.RoleAgent) {
		if r.cluster.ServiceOf(name) == orders {
			names = append(names, name)
		}
	}
	return names
}

// sleepHold waits for one phase of the scenario, Options.Hold.
func (r *run) sleepHold() { time.Sleep(r.options.Hold) }

// forEach calls step with every name, also after an error, and joins the errors.
func forEach(names []string, step func(string) error) error {
	var errs []error
	for _, name := range names {
		errs = append(errs, step(name))
	}
	return errors.Join(errs...)
}
