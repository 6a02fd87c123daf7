// Package backend simulates backend servers. Each serves HTTP with a number of slots
// and a speed, crashes under load while it is cold, sheds load above a queue limit,
// and reports its health and its load; the reported load can be out of date.
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
	// headerTimeout is longer than the partition of any scenario. With a shorter one
	// a backend server would close connections whose request is only delayed by the
	// partition, which isn't what the scenarios measure.
	headerTimeout    = 60 * time.Second
	maxBodyBytes     = 1 << 30
	maxDatagramBytes = 1500
	// loadStaleness is the age above which /load takes a new reading.
	loadStaleness = time.Second
)

// Config describes a backend server.
type Config struct {
	Name    string
	Address string
	// Service is the service that it belongs to. A request for another one, by its
	// X-Service header, counts as misdirected.
	Service string
	// Slots is the number of requests in service at once; others are queued.
	Slots int
	// MaxQueue is the number of requests that may be queued. It sheds load beyond
	// that: it rejects requests with status 503.
	MaxQueue int
	// Speed divides the service time that a request asks for.
	Speed float64
	// WarmUpRequests is the number of answers after which it is warm. Until then it
	// crashes when the requests in service and in the queue exceed a limit, which
	// grows with each answer. Zero means that it is warm from the start.
	WarmUpRequests int
	// CrashDowntime is the time from a crash to the restart.
	CrashDowntime time.Duration
	// FeedPeriod is the time between two lines of a feed; zero means one second.
	FeedPeriod time.Duration
}

// Server is a simulated backend server. It can be stopped and restarted, and restarts
// after a crash of its own.
type Server struct {
	config     Config
	requestLog *RequestLog

	mu           sync.Mutex
	lifetime     *lifetime
	busyTime     time.Duration
	crashes      int
	loadSnapshot loadSnapshot
}

// lifetime is the state of the server from a start to the next stop or crash.
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

// loadSnapshot is the answer of /load, as read at a time.
type loadSnapshot struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	readAt  time.Time `json:"-"`
}

// Start starts a backend server that records its requests in requestLog.
func Start(config Config, requestLog *RequestLog) (*Server, error) {
	if config.FeedPeriod == 0 {
		config.FeedPeriod = time.Second
	}
	s := &Server{config: config, requestLog: requestLog}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// listen starts a lifetime, which is cold: it serves HTTP and echoes datagrams at the
// server's address.
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

// echoDatagrams answers each UDP datagram with the server's name, a colon and the
// datagram's bytes, until the lifetime ends.
func (s *Server) echoDatagrams(l *lifetime) error {
	conn, err := net.ListenPacket("udp4", s.config.Address)
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", s.config.Name, err)
	}
	context.AfterFunc(l.ctx, func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, maxDatagramBytes)
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

// Stop stops the backend server and closes all its connections at once.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifetime.cancel()
	_ = s.lifetime.http.Close()
}

// Restart starts a stopped backend server again. It is cold.
func (s *Server) Restart() error { return s.listen() }

// BusyTime returns the time for which slots were in use by requests that have ended,
// summed over slots.
func (s *Server) BusyTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busyTime
}

// Crashes returns how often it crashed because of load while it was cold.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Config returns the configuration with its defaults filled in.
func (s *Server) Config() Config { return s.config }

// describePath answers with the server's name, its service and the requested path.
func (s *Server) describePath(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "%s of %s serves %s\n", s.config.Name, s.config.Service, r.URL.Path)
}

// work serves a request that takes a service time at speed 1, given by the query
// parameter "ms" in milliseconds. Status 503 means that the request did not run.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if r.Header.Get("X-Service") != s.config.Service {
		s.requestLog.recordMisdirected(id)
		http.Error(w, "request for another service", http.StatusMisdirectedRequest)
		return
	}
	serviceMillis, _ := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	release, accepted := s.acquire(r.Context())
	if !accepted {
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	defer release()
	s.requestLog.recordRun(id, s.config.Name)
	timer := time.NewTimer(time.Duration(serviceMillis / s.config.Speed * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "done %s\n", id)
}

// acquire waits for a slot, which the caller frees by release. It reports false if the
// queue is full, if the server crashes because of this request, or if the context ends
// before a slot is free.
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

// release frees a slot that has been in use since started.
func (s *Server) release(l *lifetime, started time.Time) {
	<-l.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	l.running--
	l.queued--
	l.answered++
	s.busyTime += time.Since(started)
}

// isOverloadedWhileCold reports whether the server is cold and has more requests, in
// service and queued, than its limit: one at first, and one more after every
// WarmUpRequests/Slots answers. The caller holds the mutex.
func (s *Server) isOverloadedWhileCold(l *lifetime) bool {
	if l.answered >= s.config.WarmUpRequests {
		return false
	}
	limit := 1 + l.answered*s.config.Slots/s.config.WarmUpRequests
	return l.queued > limit
}

// crash stops the server and restarts it, cold, after the crash downtime.
func (s *Server) crash() {
	s.Stop()
	time.AfterFunc(s.config.CrashDowntime, func() { _ = s.Restart() })
}

// feed sends a line with the query parameter "key" and a number that counts up from
// zero, every feed period until the client leaves or the server stops.
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

// bytes answers with a number of bytes, which the path gives.
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

// health answers with the time of the last start.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	started := s.lifetime.startedAt
	s.mu.Unlock()
	writeJSON(w, struct {
		Started time.Time `json:"started"`
	}{started})
}

// load answers with the numbers of requests in service and queued, which are out of
// date by up to loadStaleness.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if time.Since(s.loadSnapshot.readAt) > loadStaleness {
		s.loadSnapshot = loadSnapshot{Running: s.lifetime.running, Queued: s.lifetime.queued - s.lifetime.running, readAt: time.Now()}
	}
	report := s.loadSnapshot
	s.mu.Unlock()
	writeJSON(w, report)
}

// writeJSON answers with a value encoded as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
