package backend

import "sync"

// RequestLog is the backend servers' own record of the requests they ran.
type RequestLog struct {
	mu      sync.Mutex
	runsByID    map[string]int
	misdirected int
	runsByServer map[string]int
}

// NewRequestLog returns an empty ledger.
func NewRequestLog() *RequestLog {
	return &RequestLog{runsByID: make(map[string]int), runsByServer: make(map[string]int)}
}

func (l *RequestLog) recordRun(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByID[id]++
	l.runsByServer[server]++
}

func (l *RequestLog) recordMisdirected(string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.misdirected++
}

// Runs returns how often a request ran.
func (l *RequestLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByID[id]
}

// Duplicated returns the number of requests that ran more than once.
func (l *RequestLog) Duplicated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	doubled := 0
	for _, runs := range l.runsByID {
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
	return l.misdirected
}

// RunsAt returns the number of requests that a backend server ran.
func (l *RequestLog) RunsAt(server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByServer[server]
}
