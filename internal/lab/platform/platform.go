// Package platform is a stand-in for the platform's configuration service: it
// serves documents by HTTP and JSON with a waiting read and counts each call.
package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

const headerTimeout = 5 * time.Second

// Platform holds the published documents.
type Platform struct {
	server   *http.Server
	listener net.Listener

	mu        sync.Mutex
	revision  uint64
	documents map[string]document
	changed   chan struct{}
	reads     int
	unavailable      bool
	// firstRevisions holds the firstRevisions revision of each document.
	firstRevisions map[string]document
	pinned map[string]document
}

type document struct {
	revision uint64
	body     []byte
}

// Start serves the platform on an address.
func Start(address string) (*Platform, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	p := &Platform{
		listener:  listener,
		documents: make(map[string]document),
		firstRevisions:     make(map[string]document),
		changed:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/{name}", p.serveDocument)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// URL returns the platform's base URL.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Close stops the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// Publish puts a new document in force.
func (p *Platform) Publish(doc fleet.Document) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	name := ""
	switch d := doc.(type) {
	case *fleet.ServicesDocument:
		d.Revision, name = p.revision, "services"
	case *fleet.BackendsDocument:
		d.Revision, name = p.revision, "backends"
	case *fleet.InstancesDocument:
		d.Revision, name = p.revision, "instances"
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("publish %s: %w", name, err)
	}
	p.documents[name] = document{revision: p.revision, body: body}
	if _, published := p.firstRevisions[name]; !published {
		p.firstRevisions[name] = p.documents[name]
	}
	p.notifyReaders()
	return nil
}

// Revision returns the highest revision published.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Reads returns the number of calls so far.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = down
	p.notifyReaders()
}

// SetStale makes reads return the documents of this moment until it is ended.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinned = nil
	if stale {
		p.pinned = maps.Clone(p.documents)
	}
	p.notifyReaders()
}

// SetFirstRevisions makes reads return the first revision of each document, or ends that.
func (p *Platform) SetFirstRevisions(old bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinned = nil
	if old {
		p.pinned = p.firstRevisions
	}
	p.notifyReaders()
}

// notifyReaders makes waiting reads look again.
func (p *Platform) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveDocument(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	timeout := time.After(time.Duration(seconds * float64(time.Second)))
	for {
		doc, changed, down := p.currentDocument(r.PathValue("name"))
		switch {
		case down:
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		case doc.revision > after:
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(doc.body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (p *Platform) currentDocument(name string) (document, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pinned != nil {
		return p.pinned[name], p.changed, p.unavailable
	}
	return p.documents[name], p.changed, p.unavailable
}
