// Package platform simulates the platform's configuration service. It serves JSON
// documents over HTTP with long polling and counts the reads.
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
	"github.com/radishmast/radishmast/internal/link/platform"
)

const headerTimeout = 5 * time.Second

// Platform serves the published documents. It can be made unavailable, or made to
// serve documents that are out of date.
type Platform struct {
	server   *http.Server
	listener net.Listener

	mu        sync.Mutex
	revision  fleet.Revision
	documents map[string]document
	// changed is closed, and replaced, when a waiting read has to check again.
	changed     chan struct{}
	reads       int
	unavailable bool
	// firstRevisions holds each document as it was first published.
	firstRevisions map[string]document
	// pinned holds the documents that reads return in place of the current ones;
	// nil means that reads return the current ones.
	pinned map[string]document
}

// document is a published document: its revision and its JSON encoding.
type document struct {
	revision fleet.Revision
	body     []byte
}

// Start serves the platform on a TCP address until Close.
func Start(address string) (*Platform, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	p := &Platform{
		listener:       listener,
		documents:      make(map[string]document),
		firstRevisions: make(map[string]document),
		changed:        make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/{name}", p.serveDocument)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// URL returns the platform's base URL.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Close stops the HTTP server and closes its connections.
func (p *Platform) Close() { _ = p.server.Close() }

// Publish replaces the document of its kind, sets its revision to the next one and
// answers the reads that wait for it. Revisions count over all documents together.
func (p *Platform) Publish(doc fleet.Document) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision.Number++
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

// Restore replaces the documents by their first revisions, as a restore from an old copy does,
// and begins a new era. Later documents get revisions that were given before.
func (p *Platform) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = fleet.Revision{Era: p.revision.Era + 1}
	p.documents = maps.Clone(p.firstRevisions)
	for _, first := range p.documents {
		p.revision.Number = max(p.revision.Number, first.revision.Number)
	}
	p.notifyReaders()
}

// Revision returns the revision published last, or the zero revision before the first.
func (p *Platform) Revision() fleet.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Reads returns the number of read requests so far, failed ones included.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// SetUnavailable makes every read fail with status 503 until it is called with false.
func (p *Platform) SetUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
	p.notifyReaders()
}

// SetStale makes reads return the documents as they are now, whatever is published
// later, until it is called with false.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinned = nil
	if stale {
		p.pinned = maps.Clone(p.documents)
	}
	p.notifyReaders()
}

// SetFirstRevisions makes reads return the first published revision of each document
// until it is called with false.
func (p *Platform) SetFirstRevisions(first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinned = nil
	if first {
		p.pinned = p.firstRevisions
	}
	p.notifyReaders()
}

// notifyReaders makes every waiting read check its document again. The caller holds
// the mutex.
func (p *Platform) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// serveDocument answers a read of a document. It waits until the revision is above that of
// the query, for at most "wait" seconds, and answers 304 if that doesn't happen.
func (p *Platform) serveDocument(w http.ResponseWriter, r *http.Request) {
	after, err := platform.ParseAfter(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	timeout := time.After(time.Duration(seconds * float64(time.Second)))
	for {
		doc, changed, unavailable := p.currentDocument(r.PathValue("name"))
		switch {
		case unavailable:
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		case doc.revision.IsNewerThan(after):
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

// currentDocument returns the document that a read gets now, a channel that is closed
// when the read has to check again, and whether the platform is unavailable.
func (p *Platform) currentDocument(name string) (document, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pinned != nil {
		return p.pinned[name], p.changed, p.unavailable
	}
	return p.documents[name], p.changed, p.unavailable
}
