package fleet

import "time"

// A process that has just started does not know which backend servers a service selected before a
// change of its selectors. Answers this pattern: an operator moves a service to other backend
// servers, and later all processes restart while long flows are still open at the former servers.
// A newcomer therefore searches all agents for the owner of a flow, and probes them.
const (
	// newcomerPeriod is how long after its start a process is a newcomer.
	newcomerPeriod = formerLifetime
	// MaxNewcomerSearch is the number of agents up to which newcomers search all of them.
	MaxNewcomerSearch = 64
)

// IsNewcomer reports whether a process that started at an instant may not know the former
// selectors of all services.
func IsNewcomer(startedAt, now time.Time) bool { return now.Sub(startedAt) < newcomerPeriod }
