//go:build review2

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
	pageItems = 500
	// historyLength is how long the store keeps changes.
	historyLength = 20 * time.Second
)

// item is an item of the store, or the record of a deletion in its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in for the platform's store.
type store struct {
	record *record
	server *http.Server
	// listenAddress is the host and port at which the store listens.
	listenAddress string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// dropped is the revision up to which the history was dropped.
	dropped uint64
	changed chan struct{}
}

func newStore(address string, r *record) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{record: r, listenAddress: address, revision: 100, dropped: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a JSON value and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putBytes(key, data)
}

func (s *store) putBytes(key string, data []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, known := s.items[key]; known {
		created = old.Created
	}
	written := item{Key: key, Value: data, Revision: s.revision, Created: created, at: time.Now()}
	s.items[key] = written
	s.note(written)
	s.record.log("store", "confirms %s = %s (revision %d)", key, data, s.revision)
	return time.Now()
}

// remove deletes a key, if it is there.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
	s.record.log("store", "removes %s (revision %d)", key, s.revision)
}

// note adds a change to the history and wakes the watches. The caller holds mu.
func (s *store) note(change item) {
	s.history = append(s.history, change)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyLength {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, known := s.items[r.URL.Query().Get("key")]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf uint64 `json:"as-of"`
	}{found, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	reply(w, map[string]any{"items": items, "has-more": more, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		revision, changed, gone := s.revision, s.changed, after < s.dropped
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "as-of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// address returns the host and port at which the store listens.
func (s *store) address() string { return s.listenAddress }
