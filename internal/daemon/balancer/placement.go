package balancer

import (
	"time"

	core "github.com/radishmast/radishmast/internal/core/balancer"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// newExplainer returns a function that explains which agent the balancer would forward an opening
// packet to in the current view.
func newExplainer(balancer *core.Balancer, view func() *fleet.View) node.Explainer {
	return func(_ time.Time, service fleet.ServiceID, query operator.PlacementQuery) (operator.Placement, bool) {
		explanation, known := balancer.Explain(view(), service, query.Caller)
		if !known {
			return operator.Placement{}, false
		}
		return operator.DescribeBalancerPlacement(&explanation), true
	}
}
