package workload

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	dialTimeout        = 20 * time.Second
	requestTimeout     = 30 * time.Second
	maxLatencyMicros   = int64(60 * time.Second / time.Microsecond)
	significantFigures = 3
)

// RequestLog is the backend servers' own record of the requests that they ran.
type RequestLog interface {
	Runs(id string) int
}

// RequestPlan describes the requests to send.
type RequestPlan struct {
	Service string
	// Rate is the mean number of requests per second. Arrivals are a Poisson
	// process.
	Rate float64
	// MeanServiceTime is the mean time that a request takes at a backend server of
	// speed 1. Service times are exponentially distributed.
	MeanServiceTime time.Duration
	// Members holds the weight of each member in the choice of a request's sender.
	// The members have to be Member(1) to Member(len(Members)).
	Members map[netip.Addr]float64
	Seed    uint64
	// Prefix is the beginning of each request's identifier. It has to differ from that
	// of other plans with the same RequestLog.
	Prefix string
}

// Outcome counts requests by how they ended. Requests still under way are in Sent only.
type Outcome struct {
	Sent     int
	Answered int
	// Refused counts requests that the load balancer or a backend server refused.
	Refused int
	// FalselyRefused counts the refused requests that ran all the same.
	FalselyRefused int
	// Lost counts requests that ended in an error other than a refusal.
	Lost int
	// Misdirected counts requests whose answer isn't the expected one.
	Misdirected int
}

// Requests sends requests, each over a flow of its own, and counts how they end.
type Requests struct {
	dialer     Dialer
	requestLog RequestLog
	plan       RequestPlan
	cancel     context.CancelFunc
	done       chan struct{}
	group      sync.WaitGroup

	mu              sync.Mutex
	outcome         Outcome
	latency         *hdrhistogram.Histogram
	latencyByMember map[netip.Addr]*hdrhistogram.Histogram
	causes          map[string]int
}

// StartRequests starts to send the requests of a plan, until Stop.
func StartRequests(dialer Dialer, requestLog RequestLog, plan RequestPlan) *Requests {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Requests{
		dialer:          dialer,
		requestLog:      requestLog,
		plan:            plan,
		cancel:          cancel,
		done:            make(chan struct{}),
		latency:         newHistogram(),
		latencyByMember: make(map[netip.Addr]*hdrhistogram.Histogram),
		causes:          make(map[string]int),
	}
	for member := range plan.Members {
		r.latencyByMember[member] = newHistogram()
	}
	go r.generate(ctx)
	return r
}

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

// generate starts requests at exponentially distributed intervals, with exponentially
// distributed service times, until the context ends. It doesn't wait for answers.
func (r *Requests) generate(ctx context.Context) {
	defer close(r.done)
	random := rand.New(rand.NewPCG(r.plan.Seed, 3))
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		member := r.pickMember(random)
		serviceMillis := random.ExpFloat64() * float64(r.plan.MeanServiceTime) / float64(time.Millisecond)
		id := fmt.Sprintf("%s%d", r.plan.Prefix, n)
		r.group.Go(func() { r.send(member, id, serviceMillis) })
	}
}

// pickMember chooses a member at random by weight. It goes through the members in order
// of number, as the order of a map would make the choice unrepeatable.
func (r *Requests) pickMember(random *rand.Rand) netip.Addr {
	var total float64
	for _, weight := range r.plan.Members {
		total += weight
	}
	remaining := random.Float64() * total
	var chosen netip.Addr
	for i := range len(r.plan.Members) {
		member := Member(i + 1)
		chosen = member
		if remaining -= r.plan.Members[member]; remaining < 0 {
			break
		}
	}
	return chosen
}

// EqualMembers returns the first members, as many as count, with equal weights.
func EqualMembers(count int) map[netip.Addr]float64 {
	members := make(map[netip.Addr]float64, count)
	for i := range count {
		members[Member(i+1)] = 1
	}
	return members
}

// errRefused means that the load balancer or the backend server refused the request,
// which promises that the request did not run.
var errRefused = errors.New("refused")

// errMisdirected means that the answer isn't the one to this request.
var errMisdirected = errors.New("answer to another request")

// send sends one request and counts how it ended. A refusal of a request that the
// RequestLog holds counts as false.
func (r *Requests) send(member netip.Addr, id string, serviceMillis float64) {
	r.mu.Lock()
	r.outcome.Sent++
	r.mu.Unlock()
	started := time.Now()
	err := r.exchange(member, id, serviceMillis)
	elapsed := time.Since(started)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.outcome.Answered++
		r.recordLatency(member, elapsed)
	case errors.Is(err, errRefused):
		r.outcome.Refused++
		if r.requestLog.Runs(id) > 0 {
			r.outcome.FalselyRefused++
		}
	case errors.Is(err, errMisdirected):
		r.outcome.Misdirected++
	default:
		r.outcome.Lost++
		r.causes[textWithoutAddresses(err)]++
	}
}

// recordLatency adds the latency of an answered request to the histograms. The caller
// holds the mutex.
func (r *Requests) recordLatency(member netip.Addr, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	// RecordValue fails only for values out of the histogram's range.
	_ = r.latency.RecordValue(micros)
	_ = r.latencyByMember[member].RecordValue(micros)
}

// exchange opens a flow, sends a request and reads the answer. It returns errRefused,
// errMisdirected or the error that interrupted it.
func (r *Requests) exchange(member netip.Addr, id string, serviceMillis float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := r.dialer.Dial(ctx, member, r.plan.Service)
	if err != nil && strings.Contains(err.Error(), "refused") {
		return fmt.Errorf("%w: %w", errRefused, err)
	}
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/work/%s?ms=%.3f", r.plan.Service, id, serviceMillis), nil)
	if err != nil {
		return err
	}
	request.Header.Set("X-Service", r.plan.Service)
	request.Close = true
	if err := request.Write(conn); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return checkAnswer(response, id)
}

// checkAnswer reads an answer and checks that it is the one to the request with the
// identifier. Status 503 is a refusal by the backend server.
func checkAnswer(response *http.Response, id string) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return errRefused
	case response.StatusCode != http.StatusOK || string(body) != "done "+id+"\n":
		return errMisdirected
	}
	return nil
}

// Stop stops sending, waits until the requests under way have ended and returns the
// counts.
func (r *Requests) Stop() Outcome {
	r.cancel()
	<-r.done
	r.group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome
}

// Outcome returns the counts so far.
func (r *Requests) Outcome() Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome
}

// LatencyPercentile returns a percentile, from 0 to 100, of the time from dialling to
// the answer, over all answered requests.
func (r *Requests) LatencyPercentile(percent float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// MeanLatency returns the mean time from dialling to the answer, over the answered
// requests of a member of the plan.
func (r *Requests) MeanLatency(member netip.Addr) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencyByMember[member].Mean()) * time.Microsecond
}

// Causes returns the number of lost requests by error text.
func (r *Requests) Causes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.causes)
}
