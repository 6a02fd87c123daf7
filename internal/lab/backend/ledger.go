package backend

import "sync"

// RequestLog is the backend servers' own record of the requests they ran.
type RequestLog struct {
	mu      sync.Mutex
	runs    map[string]int
	crossed int
	servers map[string]int
}

// NewRequestLog returns an empty ledger.
func NewRequestLog() *RequestLog {
	return &RequestLog{runs: make(map[string]int), servers: make(map[string]int)}
}

func (l *RequestLog) run(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.servers[server]++
}

func (l *RequestLog) cross(string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crossed++
}

// Runs returns how often a request ran.
func (l *RequestLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Duplicated returns the number of requests that ran more than once.
func (l *RequestLog) Duplicated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	doubled := 0
	for _, runs := range l.runs {
		if runs > 1 {
			doubled++
		}
	}
	return doubled
}

// Misdirected returns the number of requests that reached another service.
func (l *RequestLog) Misdirected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crossed
}

// RunsAt returns the number of requests that a backend server ran.
func (l *RequestLog) RunsAt(server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[server]
}
