package scenario

import (
	"slices"
	"strings"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/workload"
)

// Result holds the measurements of a run.
type Result struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Flows    Flows    `json:"flows"`
	Requests Requests `json:"requests"`
	// Imbalance is the highest busy time per slot of a backend server, divided by the
	// mean: 1 is an even load. It is 0 if no slot was busy.
	Imbalance float64 `json:"imbalance"`
	Latency   Latency `json:"wait"`
	Control   Control `json:"control"`
	// Details holds the measurements that are particular to the scenario, by name.
	Details map[string]float64 `json:"details,omitempty"`
	// Counters holds the counters of refusals, drops, retries and the like, summed
	// over the processes that run at the end.
	Counters map[string]float64 `json:"counters,omitempty"`
	// Causes holds the number of broken feeds and lost requests by error text.
	Causes map[string]int `json:"causes,omitempty"`
}

// Flows counts the feeds that were opened, those that broke, and the lines read.
type Flows struct {
	Open   int `json:"open"`
	Broken int `json:"broken"`
	Lines  int `json:"lines"`
}

// Requests counts the requests of the last measurement by how they ended, as
// workload.Outcome does. Duplicated counts requests that ran more than once; it and
// Misdirected include what the backend servers recorded during the whole run.
type Requests struct {
	Sent           int `json:"sent"`
	Answered       int `json:"answered"`
	Refused        int `json:"refused"`
	FalselyRefused int `json:"falselyRefused"`
	Lost           int `json:"lost"`
	Duplicated     int `json:"doubled"`
	Misdirected    int `json:"crossed"`
}

// Latency holds percentiles of the time from dialling to the answer, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Control is the control traffic of the processes: what they send each other, and
// their reads of the platform.
type Control struct {
	// Bytes is the number of bytes per second that a node sends, as the mean over nodes.
	Bytes float64 `json:"bytes"`
	// Reads is the number of platform reads per second of all nodes together.
	Reads float64 `json:"reads"`
}

// setDetail sets a measurement that is particular to the scenario.
func (r *Result) setDetail(name string, value float64) {
	if r.Details == nil {
		r.Details = make(map[string]float64)
	}
	r.Details[name] = value
}

// addCauses adds numbers of failures by error text.
func (r *Result) addCauses(causes map[string]int) {
	if len(causes) > 0 && r.Causes == nil {
		r.Causes = make(map[string]int)
	}
	for cause, count := range causes {
		r.Causes[cause] += count
	}
}

// usage is a reading of cumulative usage: the busy time of each backend server, the
// control bytes that each process has sent, and the platform reads.
type usage struct {
	at    time.Time
	busy  map[string]time.Duration
	bytes map[string]float64
	reads int
}

// takeUsage returns the usage up to now. It holds control bytes for running processes
// only.
func (r *run) takeUsage() usage {
	u := usage{
		at:    time.Now(),
		busy:  make(map[string]time.Duration),
		bytes: make(map[string]float64),
		reads: r.cluster.Platform().Reads(),
	}
	for _, name := range r.orderServers() {
		u.busy[name] = r.cluster.BusyTime(name)
	}
	for _, name := range r.cluster.Running() {
		u.bytes[name] = r.controlBytes(name)
	}
	return u
}

// controlBytes returns the control bytes that a process has sent, or zero if its counters
// can't be read.
func (r *run) controlBytes(name string) float64 {
	counters, err := r.cluster.Counters(name)
	if err != nil {
		return 0
	}
	sent, _ := counters["control_bytes_sent"].(float64)
	return sent
}

// fillResult fills in the result from the outcome of the requests, the feeds and the
// usage since the measurement began.
func (r *run) fillResult(outcome workload.Outcome) {
	start, end := r.usageAtStart, r.takeUsage()
	seconds := end.at.Sub(start.at).Seconds()
	r.result.Flows = Flows{Open: r.feeds.Opened(), Broken: r.feeds.Broken(), Lines: r.feeds.Lines()}
	r.result.Requests = Requests{
		Sent:           outcome.Sent,
		Answered:       outcome.Answered,
		Refused:        outcome.Refused,
		FalselyRefused: outcome.FalselyRefused,
		Lost:           outcome.Lost,
		Duplicated:     r.cluster.RequestLog().Duplicated(),
		Misdirected:    outcome.Misdirected + r.cluster.RequestLog().Misdirected(),
	}
	r.result.Latency = Latency{P50: milliseconds(r.requests.LatencyPercentile(50)), P99: milliseconds(r.requests.LatencyPercentile(99))}
	r.result.Imbalance = r.imbalance(start, end)
	r.result.Control = Control{
		Bytes: meanIncrease(start.bytes, end.bytes) / seconds,
		Reads: float64(end.reads-start.reads) / seconds,
	}
	r.result.Counters = r.reasonCounters()
	r.result.addCauses(r.feeds.Causes())
	r.result.addCauses(r.requests.Causes())
}

// reasonPrefixes are the prefixes of the counters that are named after a reason.
var reasonPrefixes = []string{"drop_", "refuse_", "retry_", "reset_", "handover_", "cancel_", "peer_", "path_"}

// reasonCounters returns the counters that are named after a reason, summed over the
// running processes. It leaves out processes whose counters can't be read.
func (r *run) reasonCounters() map[string]float64 {
	sums := make(map[string]float64)
	for _, name := range r.cluster.Running() {
		counters, err := r.cluster.Counters(name)
		if err != nil {
			continue
		}
		for counter, value := range counters {
			number, isNumber := value.(float64)
			named := slices.ContainsFunc(reasonPrefixes, func(p string) bool { return strings.HasPrefix(counter, p) })
			if isNumber && named {
				sums[counter] += number
			}
		}
	}
	return sums
}

// milliseconds returns a duration in milliseconds, with fractions.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// meanIncrease returns the mean increase of a counter over the nodes that ran between
// both readings. A node is left out if it is missing in one reading, or if its counter
// is lower in the second one because it restarted.
func meanIncrease(start, end map[string]float64) float64 {
	var sum float64
	nodes := 0
	for name, value := range end {
		if before, known := start[name]; known && value >= before {
			sum += value - before
			nodes++
		}
	}
	return sum / float64(max(nodes, 1))
}

// imbalance returns the highest busy time per slot of a backend server, divided by the
// mean. It doesn't weight the times by speed, because a higher speed already shortens the
// time for which a request occupies a slot.
func (r *run) imbalance(start, end usage) float64 {
	var highest, sum float64
	servers := r.orderServers()
	for _, name := range servers {
		share := (end.busy[name] - start.busy[name]).Seconds() / float64(r.cluster.SlotsOf(name))
		highest = max(highest, share)
		sum += share
	}
	if sum == 0 {
		return 0
	}
	return highest / (sum / float64(len(servers)))
}

// balancers returns the balancers that have not been removed.
func (r *run) balancers() []string { return r.cluster.Names(fleet.RoleBalancer) }
