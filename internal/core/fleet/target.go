package fleet

import "net/netip"

// Target is a backend server to which a service routes flows, with what this process
// knows of its agent.
type Target struct {
	id          InstanceID
	name        string
	dataCentre  string
	data        netip.AddrPort
	incarnation uint64
	weight      Weight
	// accepting reports whether the target may get new flows, apart from a recent
	// suspicion, which suspected holds.
	accepting bool
	reachable bool
	suspected bool
	leaving   bool
	// restarted reports whether the agent has started again less than returnGrace ago.
	restarted bool
	// residual is set for a target that is no longer selected but may own flows.
	residual bool
}

// ID returns the instance of the target's agent.
func (t *Target) ID() InstanceID { return t.id }

// Name returns the name of the backend server.
func (t *Target) Name() string { return t.name }

// DataCentre returns the data centre of the backend server.
func (t *Target) DataCentre() string { return t.dataCentre }

// Data returns the UDP endpoint of the agent.
func (t *Target) Data() netip.AddrPort { return t.data }

// Incarnation returns the agent's incarnation, or zero if it is not known yet.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// Process returns the process of the agent that is known, with a zero incarnation if there is none
// yet.
func (t *Target) Process() Process { return Process{t.id, t.incarnation} }

// MayReturn reports whether the agent may be back soon if it cannot be reached: it is leaving, as
// it or the platform has announced, or has just started again.
func (t *Target) MayReturn() bool { return t.leaving || t.restarted }

// Weight returns the relative speed of the backend server.
func (t *Target) Weight() Weight { return t.weight }

// IsAccepting reports whether the target may get new flows and is not suspected.
func (t *Target) IsAccepting() bool { return t.accepting && !t.suspected }

// IsReachable reports whether the agent answers this process.
func (t *Target) IsReachable() bool { return t.reachable }

// IsSuspected reports whether other processes suspect the agent and no direct reply to
// this process outweighs that.
func (t *Target) IsSuspected() bool { return t.suspected }

// IsResidual reports whether the target is no longer selected and only keeps the flows
// that it already owns.
func (t *Target) IsResidual() bool { return t.residual }
