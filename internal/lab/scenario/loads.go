package scenario

// loads are the scenarios of load and fairness.
func loads() []Scenario {
	return nil
}
