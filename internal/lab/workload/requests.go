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
	dialTimeout    = 20 * time.Second
	requestTimeout = 30 * time.Second
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	significantFigures  = 3
)

// RequestLog is the backend servers' own record of the requests they ran.
type RequestLog interface {
	Runs(id string) int
}

// RequestPlan says what requests are sent.
type RequestPlan struct {
	Service string
	// Rate is the mean number of requests per second; arrivals are random.
	Rate float64
	// MeanServiceTime is the mean time that a request takes at speed 1.
	MeanServiceTime time.Duration
	// Members shares requests out over members by weight.
	Members map[netip.Addr]float64
	Seed    uint64
	// Prefix makes the requests' identifiers differ from another plan's.
	Prefix string
}

// Outcome counts what became of requests.
type Outcome struct {
	Sent     int
	Answered int
	Refused  int
	// FalselyRefused were refused although they ran.
	FalselyRefused int
	Lost           int
	Misdirected        int
}

// Requests sends requests, each on a flow of its own.
type Requests struct {
	dialer Dialer
	ledger RequestLog
	plan   RequestPlan
	cancel context.CancelFunc
	done   chan struct{}
	group  sync.WaitGroup

	mu      sync.Mutex
	outcome Outcome
	latency   *hdrhistogram.Histogram
	latencyByMember map[netip.Addr]*hdrhistogram.Histogram
	causes  map[string]int
}

// StartRequests sends requests until Stop.
func StartRequests(dialer Dialer, ledger RequestLog, plan RequestPlan) *Requests {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Requests{
		dialer:  dialer,
		ledger:  ledger,
		plan:    plan,
		cancel:  cancel,
		done:    make(chan struct{}),
		latency:   newHistogram(),
		latencyByMember: make(map[netip.Addr]*hdrhistogram.Histogram),
		causes:  make(map[string]int),
	}
	for member := range plan.Members {
		r.latencyByMember[member] = newHistogram()
	}
	go r.generate(ctx)
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

// generate sends requests with exponentially distributed gaps and work.
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
		work := random.ExpFloat64() * float64(r.plan.MeanServiceTime) / float64(time.Millisecond)
		id := fmt.Sprintf("%s%d", r.plan.Prefix, n)
		r.group.Go(func() { r.send(member, id, work) })
	}
}

// pickMember chooses a member by weight.
func (r *Requests) pickMember(random *rand.Rand) netip.Addr {
	var total float64
	for _, weight := range r.plan.Members {
		total += weight
	}
	at := random.Float64() * total
	var chosen netip.Addr
	for i := range len(r.plan.Members) {
		member := Member(i + 1)
		chosen = member
		if at -= r.plan.Members[member]; at < 0 {
			break
		}
	}
	return chosen
}

// EqualMembers returns a number of members of equal weight.
func EqualMembers(count int) map[netip.Addr]float64 {
	members := make(map[netip.Addr]float64, count)
	for i := range count {
		members[Member(i+1)] = 1
	}
	return members
}

// errRefused is a refusal: the request is said not to have run.
var errRefused = errors.New("refused")

// errMisdirected is an answer to another request.
var errMisdirected = errors.New("answer to another request")

func (r *Requests) send(member netip.Addr, id string, work float64) {
	r.mu.Lock()
	r.outcome.Sent++
	r.mu.Unlock()
	started := time.Now()
	err := r.exchange(member, id, work)
	elapsed := time.Since(started)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.outcome.Answered++
		r.recordLatency(member, elapsed)
	case errors.Is(err, errRefused):
		r.outcome.Refused++
		if r.ledger.Runs(id) > 0 {
			r.outcome.FalselyRefused++
		}
	case errors.Is(err, errMisdirected):
		r.outcome.Misdirected++
	default:
		r.outcome.Lost++
		r.causes[textWithoutAddresses(err)]++
	}
}

func (r *Requests) recordLatency(member netip.Addr, wait time.Duration) {
	micros := min(max(wait.Microseconds(), 1), maxLatencyMicros)
	// The value is within the histogram's range.
	_ = r.latency.RecordValue(micros)
	_ = r.latencyByMember[member].RecordValue(micros)
}

func (r *Requests) exchange(member netip.Addr, id string, work float64) error {
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
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/work/%s?ms=%.3f", r.plan.Service, id, work), nil)
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

// Stop ends sending and waits for the answers under way.
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

// LatencyPercentile returns a quantile, in percent, of the time from dialling to the answer.
func (r *Requests) LatencyPercentile(percent float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// MeanLatency returns a member's mean time from dialling to the answer.
func (r *Requests) MeanLatency(member netip.Addr) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencyByMember[member].Mean()) * time.Microsecond
}

// Causes returns why requests were lost, with counts.
func (r *Requests) Causes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.causes)
}
