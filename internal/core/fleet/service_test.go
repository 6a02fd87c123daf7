package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a published change of a service that processes do not pass on to each other,
// because the services before and after it count as equal.
func TestServicesThatDifferInOneFieldAreNotEqual(t *testing.T) {
	published := Service{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]Selector{"north": {}}}
	for name, change := range map[string]func(*Service){
		"name":       func(s *Service) { s.Name = "patterns" },
		"address":    func(s *Service) { s.Address = "10.9.0.2:80" },
		"protocol":   func(s *Service) { s.Protocol = "udp" },
		"selectors":  func(s *Service) { s.Selectors = map[string]Selector{"south": {}} },
		"cold rate":  func(s *Service) { s.ColdStartRate = 1 },
		"cold rates": func(s *Service) { s.ColdStartRates = []ColdStartRate{{Rate: 1}} },
		"objective":  func(s *Service) { s.LatencyObjective = time.Second },
		"timeout":    func(s *Service) { s.Timeout = time.Second },
		"idempotent": func(s *Service) { s.Idempotent = true },
		"priority":   func(s *Service) { s.Priority = 1 },
		"upload":     func(s *Service) { s.Upload = true },
	} {
		changed := published
		require.True(t, changed.Equal(&published))
		change(&changed)
		require.False(t, changed.Equal(&published), name)
	}
}

// Guards against a service in view that has the kind of another service with the same backend
// servers, or the kind that it had before.
func TestServiceInViewKnowsWhetherItsRequestsAreUploads(t *testing.T) {
	state := newState(t, 2)
	for revision, uploads := range []bool{true, false} {
		services := &ServicesDocument{Revision: Revision{Number: uint64(revision + 2)}}
		for name, upload := range map[string]bool{"orders": uploads, "patterns": !uploads} {
			address := map[string]string{"orders": "10.9.0.1:80", "patterns": "10.9.0.1:81"}[name]
			services.Services = append(services.Services, Service{
				Name: name, Address: address, Protocol: "tcp", Upload: upload,
				Selectors: map[string]Selector{"north": {"app": {"orders"}}},
			})
		}
		_, err := state.Apply(epoch, services)
		require.NoError(t, err)
		require.Equal(t, uploads, orders(state).IsUpload())
		require.Equal(t, !uploads, state.View(epoch).Service(ServiceIDOf("patterns")).IsUpload())
	}
}
