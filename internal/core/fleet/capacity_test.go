package fleet

import (
	"fmt"
	"runtime"
	"testing"
)

// benchmarkState returns a state with a number of targets, eight for each service, and one
// balancer for every nine agents.
func benchmarkState(b *testing.B, targets int) *State {
	const perService, agentsPerBalancer = 8, 9
	state := NewState()
	services := &ServicesDocument{Revision: Revision{Number: 1}}
	backends := &BackendsDocument{Revision: Revision{Number: 1}}
	instances := &InstancesDocument{Revision: Revision{Number: 1}}
	for i := range targets {
		service := fmt.Sprintf("service-%d", i/perService)
		if i%perService == 0 {
			services.Services = append(services.Services, Service{
				Name: service, Address: fmt.Sprintf("10.9.%d.%d:80", i/perService/250, i/perService%250+1), Protocol: "tcp",
				Selectors: map[string]Selector{"north": {"app": {service}}, "south": {"app": {service}}},
			})
		}
		name := fmt.Sprintf("backend-%d", i)
		centre := []string{"north", "south"}[i%2]
		backends.Backends = append(backends.Backends, Backend{Name: name, DataCentre: centre, Labels: map[string]string{"app": service, "rack": fmt.Sprint(i % 40)}})
		instances.Instances = append(instances.Instances, listedInstance(name, RoleAgent, centre))
		if i%agentsPerBalancer == 0 {
			instances.Instances = append(instances.Instances, listedInstance(fmt.Sprintf("entry-%d", i), RoleBalancer, centre))
		}
		state.Peers().Merge(epoch, PeerRecord{ID: InstanceIDOf(name), Incarnation: 1, Weight: DefaultWeight})
	}
	for _, document := range []Document{services, backends, instances} {
		if _, err := state.Apply(epoch, document); err != nil {
			b.Fatal(err)
		}
	}
	return state
}

// listedInstance returns an entry of the instances document.
func listedInstance(name string, role Role, dataCentre string) Instance {
	return Instance{Name: name, Role: role, DataCentre: dataCentre, Data: "127.0.0.1:7000", Control: "127.0.0.1:7001", State: StateLive}
}

// liveBytes returns the size of the heap in bytes after a garbage collection.
func liveBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkView measures the cost of computing a view, by number of targets.
func BenchmarkView(b *testing.B) {
	for _, targets := range []int{400, 800, 1600, 3200, 6500} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			before := liveBytes()
			state := benchmarkState(b, targets)
			view := state.View(epoch)
			live := liveBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				view = state.View(epoch)
			}
			b.ReportMetric(float64(live), "live-bytes")
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkViewOfManyServices measures the cost of computing a view of 48 targets, by number
// of services with the same selectors.
func BenchmarkViewOfManyServices(b *testing.B) {
	for _, services := range []int{10, 400, 1500} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			state := benchmarkState(b, 48)
			document := &ServicesDocument{Revision: Revision{Number: 2}}
			for i := range services {
				document.Services = append(document.Services, Service{
					Name: fmt.Sprint(i), Address: fmt.Sprintf("10.9.%d.%d:80", i/250, i%250+1), Protocol: "tcp",
					Selectors: map[string]Selector{AnyDataCentre: {"app": {"service-0", "service-1"}}},
				})
			}
			if _, err := state.Apply(epoch, document); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				state.View(epoch)
			}
		})
	}
}
