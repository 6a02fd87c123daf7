package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const healthTimeout = 400 * time.Millisecond

// Health reads a backend server's health endpoint. The endpoint may lag or
// mislead; only a change of the start time is believed. It is safe for concurrent use.
type Health struct {
	url    string
	client *http.Client

	mu      sync.Mutex
	started time.Time
}

// NewHealth returns a reader of the health endpoint at a URL.
func NewHealth(url string) *Health {
	return &Health{url: url, client: &http.Client{Timeout: healthTimeout}}
}

// HasRestarted reports whether the start time has changed since the last call
// that could read it.
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
