// Package scenario runs named scenarios against a cluster of real processes and
// measures what callers see.
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
	readyTimeout       = 30 * time.Second
	settleTime         = 2 * time.Second
	memberCount        = 8
	orders             = "orders"
	patterns           = "patterns"
	defaultFeeds       = 200
	defaultRate        = 40
	defaultServiceTime = 20 * time.Millisecond
	defaultPeriod      = 200 * time.Millisecond
)

// Options set the size of a run. Zero values stand for small defaults.
type Options struct {
	Binary          string
	Directory       string
	Seed            uint64
	Feeds           int
	Rate            float64
	MeanServiceTime time.Duration
	FeedPeriod      time.Duration
	Balancers       int
	Slots           int
	Placement       string
	Keys            []string
	// Processes is the size of the capacity scenarios.
	Processes int
	// Hold is how long a fault or a change is left to act.
	Hold time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.Feeds, defaultFeeds)
	setDefault(&o.Rate, defaultRate)
	setDefault(&o.MeanServiceTime, defaultServiceTime)
	setDefault(&o.FeedPeriod, defaultPeriod)
	setDefault(&o.Balancers, 3)
	setDefault(&o.Slots, 2)
	setDefault(&o.Hold, 5*time.Second)
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Scenario is a named course of events.
type Scenario struct {
	Name string
	Help string
	// configure adapts the cluster before it starts; nil keeps the sample cluster.
	configure func(*cluster.Spec, *Options)
	execute   func(*run) error
}

// run is a scenario under way.
type run struct {
	options      Options
	cluster      *cluster.Cluster
	feeds        *workload.Feeds
	requests     *workload.Requests
	usageAtBegin usage
	measurements int
	result       *Result
}

// All returns every scenario in order of name.
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

// Run runs the scenario and measures it.
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

// measure runs feeds and requests around the scenario's events.
func (r *run) measure(act func(*run) error) error {
	feeds, err := workload.OpenFeeds(r.cluster, orders, r.options.Feeds)
	if err != nil {
		return err
	}
	defer feeds.Close()
	r.feeds = feeds
	r.beginMeasurement(workload.EqualMembers(memberCount), r.options.Rate)
	time.Sleep(settleTime)
	failure := act(r)
	time.Sleep(settleTime)
	r.fillResult(r.requests.Stop())
	return failure
}

// beginMeasurement starts sending requests and measuring; what was sent before is waited
// for and not measured.
func (r *run) beginMeasurement(members map[netip.Addr]float64, rate float64) {
	if r.requests != nil {
		r.requests.Stop()
	}
	r.measurements++
	r.usageAtBegin = r.takeUsage()
	r.requests = workload.StartRequests(r.cluster, r.cluster.RequestLog(), workload.RequestPlan{
		Service:         orders,
		Rate:            rate,
		MeanServiceTime: r.options.MeanServiceTime,
		Members:         members,
		Seed:            r.options.Seed,
		Prefix:          fmt.Sprintf("run%d-", r.measurements),
	})
}

// orderServers returns the backend servers of the order service.
func (r *run) orderServers() []string {
	var names []string
	for _, name := range r.cluster.Names(fleet.RoleAgent) {
		if r.cluster.ServiceOf(name) == orders {
			names = append(names, name)
		}
	}
	return names
}

func (r *run) sleepHold() { time.Sleep(r.options.Hold) }

// forEach applies a step to every name and joins the errors.
func forEach(names []string, step func(string) error) error {
	var errs []error
	for _, name := range names {
		errs = append(errs, step(name))
	}
	return errors.Join(errs...)
}
