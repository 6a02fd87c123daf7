package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or in the history the record of a deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	server *http.Server
	url    string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// silent is closed when an outage ends. It is nil while the store serves.
	silent chan struct{}
}

// startStore starts a store on an address.
func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{url: "http://" + address, revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a value. It reports false, and writes nothing, during an outage.
func (s *store) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != nil {
		return false
	}
	s.revision++
	written := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, known := s.items[key]; known {
		written.Created = old.Created
	}
	s.items[key] = written
	s.record(written)
	return true
}

// remove deletes a key, as when its lease ends.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the history and wakes watches. The caller holds mu.
func (s *store) record(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent begins or ends an outage in which calls get no answer.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.silent == nil:
		s.silent = make(chan struct{})
	case !silent && s.silent != nil:
		close(s.silent)
		s.silent = nil
	}
}

// awaitService blocks while the store is silent, and reports false if the call must not be answered.
func (s *store) awaitService(r *http.Request) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return true
	}
	<-r.Context().Done()
	return false
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if !s.awaitService(r) {
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, struct {
		Items []item `json:"items"`
		More  bool   `json:"has-more"`
		AsOf  uint64 `json:"as-of"`
	}{found, false, s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.awaitService(r) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		events, revision, changed := s.since(query.Get("prefix"), after)
		if len(events) > 0 || expired {
			if s.awaitService(r) {
				answer(w, struct {
					Events []item `json:"events"`
					AsOf   uint64 `json:"as-of"`
				}{events, revision})
			}
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision, the store's revision, and a channel that is closed at
// the next change.
func (s *store) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
