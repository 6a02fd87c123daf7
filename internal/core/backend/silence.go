// Package backend tracks what an agent knows of its backend server: whether it is in cold start and
// whether it answers. It does no I/O and reads no clock.
package backend

import "time"

// When a backend server counts as silent. The timeouts suit callers that send copies of their
// opening packets after 200 and 600 ms.
const (
	// ResponseTimeout is how long a server may take to answer an opening packet.
	ResponseTimeout = 100 * time.Millisecond
	// ResetTimeout is how long a server must be silent before the callers of its flows get a
	// reset, if their service is idempotent.
	ResetTimeout = 400 * time.Millisecond
	// minUnanswered is the number of packets that it must have left unanswered by then, each
	// delivered at least ResponseTimeout after the one before: a single one may have been lost.
	minUnanswered = 2
	// MaxSilenceGap is the longest time between two such packets. After a longer one, what was left
	// unanswered before says nothing about the server any more.
	MaxSilenceGap = time.Second
)

// Silence counts the packets that the backend server has left unanswered in a row. The zero value
// is no silence.
type Silence struct {
	// since is when the first of them was delivered, and countedAt when the last one that counts
	// was.
	since, countedAt time.Time
	count            int
}

// Record records the delivery of a packet that the server must answer.
func (s *Silence) Record(now time.Time) {
	switch {
	case s.count == 0 || now.Sub(s.countedAt) > MaxSilenceGap:
		*s = Silence{since: now, countedAt: now, count: 1}
	case now.Sub(s.countedAt) >= ResponseTimeout:
		s.countedAt = now
		s.count++
	}
}

// IsPastResetTimeout reports whether the silence lasts and is long enough for resets.
func (s *Silence) IsPastResetTimeout(now time.Time) bool {
	return s.count >= minUnanswered && now.Sub(s.countedAt) <= MaxSilenceGap && now.Sub(s.since) >= ResetTimeout
}
