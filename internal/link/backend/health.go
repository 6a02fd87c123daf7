package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// healthTimeout bounds the time of one request to the health endpoint.
const healthTimeout = 400 * time.Millisecond

// Health detects restarts of a backend server by its health endpoint. The endpoint may be
// out of date or report the wrong state, so only a change of the reported start time counts as
// a restart. It is safe for concurrent use.
type Health struct {
	url    string
	client *http.Client

	mu sync.Mutex
	// started is the start time that was last read, or zero before the first read.
	started time.Time
}

// NewHealth returns a Health that reads the endpoint at url.
func NewHealth(url string) *Health {
	return &Health{url: url, client: &http.Client{Timeout: healthTimeout}}
}

// HasRestarted reads the health endpoint and reports whether the start time has changed
// since the last successful read. The first successful read reports false.
func (h *Health) HasRestarted(ctx context.Context) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return false, fmt.Errorf("read health of %s: %w", h.url, err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return false, fmt.Errorf("read health of %s: %w", h.url, err)
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Started time.Time `json:"started"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return false, fmt.Errorf("decode health of %s: %w", h.url, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	restarted := !h.started.IsZero() && !body.Started.Equal(h.started)
	h.started = body.Started
	return restarted, nil
}
