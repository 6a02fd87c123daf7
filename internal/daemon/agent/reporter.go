package agent

import (
	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/daemon/exchange"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/link/clock"
)

// reporter sends load reports to the agent's siblings, and registers the agent's flows
// with other agents. Each goroutine needs its own.
type reporter struct {
	agent  *Agent
	sender *node.Sender
}

func newReporter(a *Agent) (*reporter, error) {
	sender, err := a.node.NewSender()
	if err != nil {
		return nil, err
	}
	return &reporter{agent: a, sender: sender}, nil
}

// sendReports sends the periodic load report to its recipients: all siblings, or a random
// choice of them.
func (r *reporter) sendReports() {
	r.agent.mu.Lock()
	report := r.agent.core.Report(clock.Now())
	siblings := r.agent.core.ReportRecipients()
	r.agent.mu.Unlock()
	r.sendTo(report, siblings)
}

// sendUrgentReports sends a load report between two periodic ones if one is due.
func (r *reporter) sendUrgentReports() {
	now := clock.Now()
	r.agent.mu.Lock()
	siblings, isOffer := r.agent.core.UrgentReport(now)
	if len(siblings) == 0 {
		r.agent.mu.Unlock()
		return
	}
	report := r.agent.core.Report(now)
	r.agent.mu.Unlock()
	if isOffer {
		r.agent.counters.Add("offers_sent", 1)
	}
	r.sendTo(report, siblings)
}

// sendRegistrations sends registrations of flows to the registrars that do not know of them
// yet, and now and then of all flows.
func (r *reporter) sendRegistrations() {
	r.agent.mu.Lock()
	registrations := r.agent.core.Registrations(clock.Now())
	r.agent.mu.Unlock()
	exchange.SendRegistrations(r.agent.node, r.sender, r.agent.logger, registrations)
}

// sendTo sends a load report to some siblings.
func (r *reporter) sendTo(report core.Report, siblings []*fleet.Target) {
	exchange.SendReport(r.agent.node, r.sender, r.agent.logger, report, siblings)
}
