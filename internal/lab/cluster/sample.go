package cluster

import (
	"fmt"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// SampleDataCentres returns the data centres of the sample clusters.
func SampleDataCentres() []string { return []string{"north", "south", "west"} }

// sameSelector returns a selector for each data centre, all by the same label.
func sameSelector(key, value string) map[string]fleet.Selector {
	selectors := make(map[string]fleet.Selector)
	for _, dataCentre := range SampleDataCentres() {
		selectors[dataCentre] = fleet.Selector{key: {value}}
	}
	return selectors
}

// SampleServices returns two services: an order service and a pattern library.
func SampleServices() []fleet.Service {
	return []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: sameSelector("app", "orders")},
		{Name: "patterns", Address: "10.9.0.2:80", Protocol: "tcp", Selectors: sameSelector("app", "patterns")},
	}
}

// SampleService returns a service with a name and the n-th sample address. It selects
// the backend servers whose label "app" is its name.
func SampleService(name string, n int) fleet.Service {
	return fleet.Service{
		Name:      name,
		Address:   fmt.Sprintf("10.9.%d.%d:80", n/250, n%250+1),
		Protocol:  "tcp",
		Selectors: sameSelector("app", name),
	}
}

// SampleBackends returns a number of backend servers of a service, with the same number
// of slots each. They take the data centres in turn and have speeds from 1 to 4.
func SampleBackends(service string, count, slots int) []BackendSpec {
	speeds := []float64{1, 2, 4, 1, 3, 2, 1}
	specs := make([]BackendSpec, count)
	for i := range specs {
		dataCentres := SampleDataCentres()
		specs[i] = BackendSpec{
			Name:       fmt.Sprintf("%s-%d", service, i+1),
			DataCentre: dataCentres[i%len(dataCentres)],
			Service:    service,
			Labels:     map[string]string{"app": service},
			Slots:      slots,
			Speed:      speeds[i%len(speeds)],
		}
	}
	return specs
}
