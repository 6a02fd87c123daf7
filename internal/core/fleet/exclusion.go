package fleet

// Exclusion is why a target gets no new flows.
type Exclusion string

// Exclusions of a target.
const (
	// ExcludedNot means that the target may get new flows.
	ExcludedNot Exclusion = ""
	// ExcludedNotSelected means that the service does not select the target any more.
	ExcludedNotSelected Exclusion = "not_selected"
	ExcludedUnreachable Exclusion = "unreachable"
	ExcludedSuspected   Exclusion = "suspected"
	// ExcludedNotAccepting means that the target leaves, or that its backend server does not
	// answer or fails requests.
	ExcludedNotAccepting Exclusion = "not_accepting"
)

// Exclusion returns why the target gets no new flows by what this process knows of it.
func (t *Target) Exclusion() Exclusion {
	switch {
	case t.residual:
		return ExcludedNotSelected
	case !t.reachable:
		return ExcludedUnreachable
	case t.suspected:
		return ExcludedSuspected
	case !t.accepting:
		return ExcludedNotAccepting
	}
	return ExcludedNot
}
