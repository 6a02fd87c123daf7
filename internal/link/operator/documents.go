package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/platform"
)

// DocumentsPattern is the http.ServeMux pattern of the requests that the handler of
// NewDocumentsHandler serves.
const DocumentsPattern = "GET /v1/{name}"

const (
	// maxDocumentWait bounds how long a request waits for a newer revision.
	maxDocumentWait = 30 * time.Second
	// documentPollInterval is the time between two checks for a newer revision while a
	// request waits.
	documentPollInterval = 100 * time.Millisecond
)

// NewDocumentsHandler returns a handler that serves the documents of a daemon's current view,
// in the protocol in which the platform publishes them. The operators' client can therefore
// read from a daemon instead of the platform, also in an installation whose platform
// publishes its documents in another form.
func NewDocumentsHandler(view func() *fleet.View) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := platform.Name(r.PathValue("name"))
		after, wait, err := parseQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if documentOf(view(), name) == nil {
			http.Error(w, fmt.Sprintf("document %q is not one of %v", name, platform.Names()), http.StatusNotFound)
			return
		}
		document := awaitDocument(r.Context(), view, name, after, wait)
		if document == nil {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(document)
	})
}

// parseQuery returns the query parameters of a request: the revision after which a document is
// wanted, and how long to wait for one, at most maxDocumentWait. Both default to 0.
func parseQuery(r *http.Request) (after fleet.Revision, wait time.Duration, err error) {
	query := r.URL.Query()
	if after, err = platform.ParseAfter(query); err != nil {
		return fleet.Revision{}, 0, err
	}
	if text := query.Get("wait"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds < 0 {
			return fleet.Revision{}, 0, fmt.Errorf("wait %q is not a number of seconds", text)
		}
		wait = min(time.Duration(seconds*float64(time.Second)), maxDocumentWait)
	}
	return after, wait, nil
}

// awaitDocument returns the document as soon as its revision is higher than after, or nil if
// the wait has expired or ctx is done before.
func awaitDocument(ctx context.Context, view func() *fleet.View, name platform.Name, after fleet.Revision, wait time.Duration) fleet.Document {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	poll := time.NewTicker(documentPollInterval)
	defer poll.Stop()
	for {
		if document := documentOf(view(), name); document.IsNewerThan(after) {
			return document
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timeout.C:
			return nil
		case <-poll.C:
		}
	}
}

// documentOf returns the named document of a view, or nil if the name is unknown.
func documentOf(view *fleet.View, name platform.Name) fleet.Document {
	services, backends, instances := view.Documents()
	switch name {
	case platform.Services:
		return services
	case platform.Backends:
		return backends
	case platform.Instances:
		return instances
	}
	return nil
}
