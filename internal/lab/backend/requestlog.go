package backend

import "sync"

// RequestLog records which requests the backend servers ran, independently of what
// callers saw. All backend servers of a cluster share one.
type RequestLog struct {
	mu           sync.Mutex
	runsByID     map[string]int
	misdirected  int
	runsByServer map[string]int
}

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog {
	return &RequestLog{runsByID: make(map[string]int), runsByServer: make(map[string]int)}
}

// recordRun records that a backend server began to run a request.
func (l *RequestLog) recordRun(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByID[id]++
	l.runsByServer[server]++
}

// recordMisdirected records that a request reached a server of another service.
func (l *RequestLog) recordMisdirected(string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.misdirected++
}

// Runs returns how often the request with an identifier ran.
func (l *RequestLog) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByID[id]
}

// Duplicated returns the number of requests that ran more than once.
func (l *RequestLog) Duplicated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	duplicated := 0
	for _, runs := range l.runsByID {
		if runs > 1 {
			duplicated++
		}
	}
	return duplicated
}

// Misdirected returns the number of requests that reached a server of another service.
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
