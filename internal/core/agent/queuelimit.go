package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// lessUrgentQueueShare is the share of the objective of a service that requests of less urgent
// services may queue at the backend server, so that the queue leaves room for its own.
const lessUrgentQueueShare = 0.5

// queueLimits holds the longest expected response time with which a new flow may still queue at
// the backend server, by its service. The server answers in the order of arrival,
// so that services with a long objective could fill the queue until all requests of a service with
// a short one are late. A limit is computed when it is first needed, see cacheQueueLimit.
type queueLimits map[fleet.ServiceID]time.Duration

// queueLimit returns the limit for a service that publishes an objective: the shortest objective
// of the services of its priority at this server and, in part, of those more urgent.
func (a *Agent) queueLimit(service *fleet.RoutedService) time.Duration {
	if limit, known := a.queueLimits[service.ID()]; known {
		return limit
	}
	return a.computeQueueLimit(service)
}

// cacheQueueLimit keeps the limit for a service if decisions need it now.
func (a *Agent) cacheQueueLimit(service *fleet.RoutedService) {
	if a.config.Carried && serverObjective(service) != 0 && a.load.isFull() {
		a.queueLimits[service.ID()] = a.queueLimit(service)
	}
}

// computeQueueLimit returns the limit for a service, and changes nothing.
func (a *Agent) computeQueueLimit(service *fleet.RoutedService) time.Duration {
	limit := serverObjective(service)
	for other := range a.view.Services() {
		objective := serverObjective(other)
		if objective == 0 || other.Priority() > service.Priority() || !other.Selects(a.config.DataCentre, a.config.Labels) {
			continue
		}
		if other.Priority() < service.Priority() {
			objective = time.Duration(lessUrgentQueueShare * float64(objective))
		}
		limit = min(limit, objective)
	}
	return limit
}
