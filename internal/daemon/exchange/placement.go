package exchange

import (
	"sync"
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// NewPlacementExplainer returns a function that explains where an agent, whose state mutex guards,
// would place an opening packet now. The function reports false if the service is not in the
// agent's view.
func NewPlacementExplainer(mutex sync.Locker, agent *core.Agent) func(time.Time, fleet.ServiceID, operator.PlacementQuery) (operator.Placement, bool) {
	return func(now time.Time, service fleet.ServiceID, query operator.PlacementQuery) (operator.Placement, bool) {
		mutex.Lock()
		explanation, known := agent.ExplainPlacement(now, core.Query{Service: service, Caller: query.Caller, Size: query.Size})
		mutex.Unlock()
		if !known {
			return operator.Placement{}, false
		}
		return operator.DescribeAgentPlacement(&explanation), true
	}
}
