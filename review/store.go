//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyAge is how long the store keeps changes.
	historyAge = 20 * time.Second
	// pageItems and pageBytes limit a page of a listing.
	pageItems = 500
	pageBytes = 1 << 20
	// maxValueBytes limits a value.
	maxValueBytes = 1 << 20
)

// item is an item of the store or, if Deleted is set, its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	server   *http.Server
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// oldest is the revision after which history holds all changes.
	oldest  uint64
	changed chan struct{}
	// readers holds when each machine last called the store, by its address.
	readers map[string]time.Time
}

// newStore starts a store at an address.
func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, oldest: 100, items: make(map[string]item), changed: make(chan struct{}), readers: make(map[string]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.readers[host] = time.Now()
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a value as JSON and returns when the store has confirmed it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil || len(data) > maxValueBytes {
		panic("value of " + key + " is not allowed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	written := item{Key: key, Value: data, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, known := s.items[key]; known {
		written.Created = old.Created
	}
	s.items[key] = written
	return s.record(written)
}

// remove removes a key and returns when the store has confirmed it.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	return s.record(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

// record adds a change to the history, drops what is too old and wakes the watches.
func (s *store) record(change item) time.Time {
	s.history = append(s.history, change)
	for time.Since(s.history[0].at) > historyAge {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return change.at
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	size, count := 0, 0
	for count < len(found) && count < pageItems && (count == 0 || size < pageBytes) {
		size += len(found[count].Value)
		count++
	}
	reply(w, map[string]any{"items": found[:count], "has-more": count < len(found), "as-of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		revision, gone, changed := s.revision, after < s.oldest || after > s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-expired:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, map[string]any{"events": events, "as-of": revision})
		return
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// recentReaders returns the addresses of the machines that have called the store within a time.
func (s *store) recentReaders(within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []string
	for host, at := range s.readers {
		if time.Since(at) < within {
			recent = append(recent, host)
		}
	}
	sort.Strings(recent)
	return recent
}
