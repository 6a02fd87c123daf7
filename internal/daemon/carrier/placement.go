package carrier

import (
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// explainPlacement explains where an opening packet would be placed now. It reports false if the
// service is not in the agent's view.
func (c *Carrier) explainPlacement(now time.Time, service fleet.ServiceID, query operator.PlacementQuery) (operator.Placement, bool) {
	c.mu.Lock()
	explanation, known := c.core.ExplainPlacement(now, core.Query{Service: service, Caller: query.Caller, Size: query.Size})
	c.mu.Unlock()
	if !known {
		return operator.Placement{}, false
	}
	return operator.DescribeAgentPlacement(&explanation), true
}
