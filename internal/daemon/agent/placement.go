package agent

import (
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// explainPlacement explains where an opening packet would be placed now. It reports false if the
// service is not in the agent's view.
func (a *Agent) explainPlacement(now time.Time, service fleet.ServiceID, query operator.PlacementQuery) (operator.Placement, bool) {
	a.mu.Lock()
	explanation, known := a.core.ExplainPlacement(now, core.Query{Service: service, Caller: query.Caller, Size: query.Size})
	a.mu.Unlock()
	if !known {
		return operator.Placement{}, false
	}
	return operator.DescribeAgentPlacement(&explanation), true
}
