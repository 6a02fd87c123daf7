package scenario

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishmast/radishmast/internal/lab/workload"
)

const (
	shortFlowWorkers = 64
	concurrentOpens  = 64
	flowTimeout      = 20 * time.Second
)

// openIdleFlows opens a number of flows and sends nothing over them. The caller closes
// them.
func (r *run) openIdleFlows(count int) ([]net.Conn, error) {
	conns := make([]net.Conn, count)
	errs := make([]error, count)
	slots := make(chan struct{}, concurrentOpens)
	var group sync.WaitGroup
	for i := range count {
		slots <- struct{}{}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), flowTimeout)
			defer cancel()
			conns[i], errs[i] = r.cluster.Dial(ctx, workload.Member(i%256+1), orders)
			<-slots
		})
	}
	group.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("open idle flow %d of %d: %w", i+1, count, err)
		}
	}
	return conns, nil
}

// runShortFlows runs short flows for a duration, one after another in each of several
// parallel workers. It returns the number of flows that were served and the time taken,
// or the error of a flow that failed.
func (r *run) runShortFlows(duration time.Duration) (flows int64, seconds float64, err error) {
	var served atomic.Int64
	var failure atomic.Pointer[error]
	var group sync.WaitGroup
	started := time.Now()
	for worker := range shortFlowWorkers {
		group.Go(func() {
			for time.Since(started) < duration && failure.Load() == nil {
				if err := r.runShortFlow(worker); err != nil {
					failure.Store(&err)
					return
				}
				served.Add(1)
			}
		})
	}
	group.Wait()
	seconds = time.Since(started).Seconds()
	if f := failure.Load(); f != nil {
		return 0, 0, *f
	}
	return served.Load(), seconds, nil
}

// runShortFlow opens a flow, sends one request, reads the head of the answer and closes
// the flow.
func (r *run) runShortFlow(worker int) error {
	ctx, cancel := context.WithTimeout(context.Background(), flowTimeout)
	defer cancel()
	conn, err := r.cluster.Dial(ctx, workload.Member(worker+1), orders)
	if err != nil {
		return fmt.Errorf("open short flow: %w", err)
	}
	defer func() { _ = conn.Close() }()
	request, err := http.NewRequest(http.MethodGet, "http://"+orders+"/short", nil)
	if err != nil {
		return err
	}
	request.Close = true
	if err := request.Write(conn); err != nil {
		return fmt.Errorf("send request of short flow: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return fmt.Errorf("read answer of short flow: %w", err)
	}
	return response.Body.Close()
}
