// Package backend is a stand-in for backend servers: HTTP with a number of
// slots, a speed, a cold start that falls over under load, drain, shedding, and
// health and load endpoints that lag.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// headerTimeout is longer than a partition in any scenario: a backend server
	// that gives up on a delayed request is not what the scenarios measure.
	headerTimeout = 60 * time.Second
	maxBodyBytes  = 1 << 30
	maxDatagram   = 1500
	loadStaleness       = time.Second
)

// Config describes a backend server.
type Config struct {
	Name    string
	Address string
	// Service is the service it belongs to; requests for another one are crossed.
	Service string
	// Slots is the number of requests that run at once; others wait in line.
	Slots int
	// MaxQueue is the number of requests that may wait before it sheds load.
	MaxQueue int
	// Speed divides the work of a request.
	Speed float64
	// WarmUpRequests is the number of answers after which it is warm. Until then
	// it falls over when more than a growing number of requests run at once.
	WarmUpRequests int
	// CrashDowntime is how long it stays down after it fell over.
	CrashDowntime time.Duration
	// FeedPeriod is the time between two lines of a feed, one second if zero.
	FeedPeriod time.Duration
}

// Server is a running backend server.
type Server struct {
	config Config
	ledger *RequestLog

	mu     sync.Mutex
	lifetime   *lifetime
	busyTime   time.Duration
	crashes  int
	loadSnapshot loadSnapshot
}

// lifetime is the state between a start and the end that follows it.
type lifetime struct {
	http      *http.Server
	startedAt time.Time
	running   int
	queued    int
	answered  int
	slots     chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
}

type loadSnapshot struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	readAt  time.Time `json:"-"`
}

// Start runs a backend server that records requests in a ledger.
func Start(config Config, ledger *RequestLog) (*Server, error) {
	if config.FeedPeriod == 0 {
		config.FeedPeriod = time.Second
	}
	s := &Server{config: config, ledger: ledger}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp4", s.config.Address)
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", s.config.Name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/work/{id}", s.work)
	mux.HandleFunc("/feed", s.feed)
	mux.HandleFunc("/bytes/{count}", s.bytes)
	mux.HandleFunc("/health", s.health)
	mux.HandleFunc("/load", s.load)
	mux.HandleFunc("/", s.describePath)
	l := &lifetime{
		http:      &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout},
		startedAt: time.Now(),
		slots:     make(chan struct{}, s.config.Slots),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifetime = l
	go func() { _ = l.http.Serve(listener) }()
	return s.echoDatagrams(l)
}

// echoDatagrams answers each datagram with the server's name and its bytes.
func (s *Server) echoDatagrams(l *lifetime) error {
	conn, err := net.ListenPacket("udp4", s.config.Address)
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", s.config.Name, err)
	}
	context.AfterFunc(l.ctx, func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			count, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(append([]byte(s.config.Name+":"), buffer[:count]...), from)
		}
	}()
	return nil
}

// Stop kills the backend server: every connection breaks.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifetime.cancel()
	_ = s.lifetime.http.Close()
}

// Restart brings a stopped backend server back, cold.
func (s *Server) Restart() error { return s.listen() }

// BusyTime returns the time for which slots have been in use, summed over slots.
func (s *Server) BusyTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busyTime
}

// Crashes returns how often it fell over.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Config returns the server's configuration.
func (s *Server) Config() Config { return s.config }

func (s *Server) describePath(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "%s of %s serves %s\n", s.config.Name, s.config.Service, r.URL.Path)
}

// work runs a request that costs a number of milliseconds at speed 1.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if r.Header.Get("X-Service") != s.config.Service {
		s.ledger.recordMisdirected(id)
		http.Error(w, "request for another service", http.StatusMisdirectedRequest)
		return
	}
	cost, _ := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	release, accepted := s.acquire(r.Context())
	if !accepted {
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	defer release()
	s.ledger.recordRun(id, s.config.Name)
	timer := time.NewTimer(time.Duration(cost / s.config.Speed * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "done %s\n", id)
}

// acquire waits for a slot. It reports false if the request was shed or given up.
func (s *Server) acquire(ctx context.Context) (release func(), accepted bool) {
	s.mu.Lock()
	l := s.lifetime
	if l.queued >= s.config.MaxQueue+s.config.Slots {
		s.mu.Unlock()
		return nil, false
	}
	l.queued++
	if s.isOverloadedWhileCold(l) {
		s.crashes++
		s.mu.Unlock()
		s.crash()
		return nil, false
	}
	s.mu.Unlock()
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		l.queued--
		s.mu.Unlock()
		return nil, false
	}
	started := time.Now()
	s.mu.Lock()
	l.running++
	s.mu.Unlock()
	return func() { s.release(l, started) }, true
}

func (s *Server) release(l *lifetime, started time.Time) {
	<-l.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	l.running--
	l.queued--
	l.answered++
	s.busyTime += time.Since(started)
}

// isOverloadedWhileCold reports whether a cold server has more requests than it bears:
// one at first, then one more for each equal part of the warm-up.
func (s *Server) isOverloadedWhileCold(l *lifetime) bool {
	if l.answered >= s.config.WarmUpRequests {
		return false
	}
	bearable := 1 + l.answered*s.config.Slots/s.config.WarmUpRequests
	return l.queued > bearable
}

// crash breaks every connection and comes back cold after a while.
func (s *Server) crash() {
	s.Stop()
	time.AfterFunc(s.config.CrashDowntime, func() { _ = s.Restart() })
}

// feed sends a numbered line every period until the client or the server ends.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	ctx := s.lifetime.ctx
	s.mu.Unlock()
	ticker := time.NewTicker(s.config.FeedPeriod)
	defer ticker.Stop()
	key := r.URL.Query().Get("key")
	for line := 0; ; line++ {
		if _, err := fmt.Fprintf(w, "%s %d\n", key, line); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) bytes(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.PathValue("count"))
	if err != nil || count < 0 || count > maxBodyBytes {
		http.Error(w, "count must be a number of bytes up to 1 GiB", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(count))
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = byte('a' + i%26)
	}
	for count > 0 {
		size := min(count, len(block))
		if _, err := w.Write(block[:size]); err != nil {
			return
		}
		count -= size
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	started := s.lifetime.startedAt
	s.mu.Unlock()
	writeJSON(w, struct {
		Started time.Time `json:"started"`
	}{started})
}

// load reports what was true a while ago.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if time.Since(s.loadSnapshot.readAt) > loadStaleness {
		s.loadSnapshot = loadSnapshot{Running: s.lifetime.running, Queued: s.lifetime.queued - s.lifetime.running, readAt: time.Now()}
	}
	report := s.loadSnapshot
	s.mu.Unlock()
	writeJSON(w, report)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
