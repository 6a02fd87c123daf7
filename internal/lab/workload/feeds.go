// Package workload generates callers' traffic to a cluster, long-lived feeds and single
// requests, and checks each answer.
package workload

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"sync/atomic"
	"time"
)

// Dialer opens flows from a member's address to the service with a name.
type Dialer interface {
	Dial(ctx context.Context, member netip.Addr, service string) (net.Conn, error)
}

// feedTimeout is the time without a line after which a feed counts as broken.
const feedTimeout = 15 * time.Second

// Feeds are long-lived flows, each of which reads numbered lines from a backend server
// and checks that no line is lost, out of order or from another feed.
type Feeds struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	opened atomic.Int64
	lines  atomic.Int64
	broken atomic.Int64

	mu     sync.Mutex
	causes map[string]int
}

// OpenFeeds opens a number of feeds of a service and waits until each has tried to
// read its first line. If one can't be opened, it closes all of them and returns the
// error.
func OpenFeeds(dialer Dialer, service string, count int) (*Feeds, error) {
	f := &Feeds{causes: make(map[string]int)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	const concurrentOpens = 64
	slots := make(chan struct{}, concurrentOpens)
	errs := make(chan error, count)
	for i := range count {
		slots <- struct{}{}
		f.group.Go(func() {
			started := func(err error) {
				<-slots
				errs <- err
			}
			f.run(dialer, service, i, started)
		})
	}
	for range count {
		if err := <-errs; err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Member returns the address of the n-th member, with n up to 65535.
func Member(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)})
}

// run opens the n-th feed and reads it until it ends. It calls started once: after the
// first read of a line, or with the error that kept the feed from opening.
func (f *Feeds) run(dialer Dialer, service string, n int, started func(error)) {
	conn, err := dialer.Dial(f.ctx, Member(n%256+1), service)
	if err != nil {
		started(fmt.Errorf("open feed %d: %w", n, err))
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(f.ctx, func() { _ = conn.Close() })
	defer stop()
	key := fmt.Sprintf("%s-%d", service, n)
	reader, err := subscribe(conn, service, key)
	if err != nil {
		started(fmt.Errorf("open feed %d: %w", n, err))
		return
	}
	f.checkLines(conn, reader, key, started)
}

// subscribe requests a feed and returns the reader of its lines.
func subscribe(conn net.Conn, service, key string) (*bufio.Reader, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+service+"/feed?key="+key, nil)
	if err != nil {
		return nil, err
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(feedTimeout)); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return nil, err
	}
	return bufio.NewReader(response.Body), nil
}

// checkLines reads the feed until it ends and checks that each line has the feed's own
// key and the next number, which detects lines that are lost, out of order or from
// another feed. It calls started after the first read, also if that failed: such a
// feed counts as opened and broken.
func (f *Feeds) checkLines(conn net.Conn, reader *bufio.Reader, key string, started func(error)) {
	var once sync.Once
	for line := 0; ; line++ {
		err := conn.SetReadDeadline(time.Now().Add(feedTimeout))
		text := ""
		if err == nil {
			text, err = reader.ReadString('\n')
		}
		if f.ctx.Err() != nil {
			once.Do(func() { started(f.ctx.Err()) })
			return
		}
		if want := fmt.Sprintf("%s %d\n", key, line); err == nil && text != want {
			err = fmt.Errorf("read %q instead of %q", text, want)
		}
		once.Do(func() {
			f.opened.Add(1)
			started(nil)
		})
		if err != nil {
			f.recordBroken(err)
			return
		}
		f.lines.Add(1)
	}
}

// recordBroken counts a feed that broke, and why.
func (f *Feeds) recordBroken(err error) {
	f.broken.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.causes[textWithoutAddresses(err)]++
}

// addressPattern matches the endpoints in an error's text.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+(:\d+)?`)

// textWithoutAddresses returns an error's text with its endpoints replaced, so that
// equal causes at different endpoints are counted together.
func textWithoutAddresses(err error) string {
	return addressPattern.ReplaceAllString(err.Error(), "ADDR")
}

// Opened returns the number of feeds that were opened, broken ones included.
func (f *Feeds) Opened() int { return int(f.opened.Load()) }

// Broken returns the number of feeds that broke.
func (f *Feeds) Broken() int { return int(f.broken.Load()) }

// Lines returns the number of correct lines read by all feeds together.
func (f *Feeds) Lines() int { return int(f.lines.Load()) }

// Causes returns the number of broken feeds by error text.
func (f *Feeds) Causes() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.causes)
}

// Close closes all feeds and waits until they have ended. Feeds that it closes don't
// count as broken.
func (f *Feeds) Close() {
	f.cancel()
	f.group.Wait()
}
