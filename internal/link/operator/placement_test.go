package operator

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/agent"
)

// Guards against errors that a client cannot tell apart, and against queries that reach the
// process although they are malformed.
func TestPlacementErrorsHaveTheirStatus(t *testing.T) {
	handler := NewPlacementHandler(func(query PlacementQuery) (Placement, error) {
		switch query.Service {
		case "orders":
			return Placement{Service: query.Service, Size: query.Size}, nil
		case "starting":
			return Placement{}, NotReadyError{Process: "braid-1"}
		case "broken":
			return Placement{}, errors.New("broken")
		}
		return Placement{}, UnknownServiceError{Name: query.Service, Known: []string{"orders"}}
	})
	for query, want := range map[string]struct {
		status int
		text   string
	}{
		"service=orders&caller=10.1.0.1:4000&size=900": {http.StatusOK, `"size":900`},
		"service=orders&caller=10.1.0.1:4000":          {http.StatusOK, `"size":0`},
		"service=other&caller=10.1.0.1:4000":           {http.StatusNotFound, `known are: orders`},
		"service=orders&caller=10.1.0.1":               {http.StatusBadRequest, `caller \"10.1.0.1\" is not`},
		"service=orders&caller=[::1]:4000":             {http.StatusBadRequest, `is not an IPv4 address`},
		"service=orders":                               {http.StatusBadRequest, `caller \"\" is not`},
		"caller=10.1.0.1:4000":                         {http.StatusBadRequest, `service is missing`},
		"service=orders&caller=10.1.0.1:4000&size=-1":  {http.StatusBadRequest, `size \"-1\" is not`},
		"service=orders&caller=10.1.0.1:4000&size=big": {http.StatusBadRequest, `size \"big\" is not`},
		"service=starting&caller=10.1.0.1:4000":        {http.StatusServiceUnavailable, `braid-1 is not ready`},
		"service=broken&caller=10.1.0.1:4000":          {http.StatusInternalServerError, `broken`},
	} {
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, PlacementPath+"?"+query, nil))
		require.Equal(t, want.status, response.Code, query)
		require.Contains(t, response.Body.String(), want.text, query)
	}
}

// Guards against an unknown load or delay that is shown as zero, as of an idle server.
func TestUnknownValuesOfCandidatesAreLeftOut(t *testing.T) {
	placement := DescribeAgentPlacement(&agent.Explanation{Candidates: []agent.Candidate{
		{Name: "braid-1", IsSelf: true, HasReport: true, Report: agent.Report{Running: 0, Limit: 2, Utilisation: 250}},
		{Name: "braid-2", HasReport: true, ReportAge: 1500 * time.Microsecond, ExpectedDelay: 20 * time.Millisecond},
		{Name: "braid-3", Excluded: agent.ExcludedNoReport},
		{Name: "braid-4", HasReport: true, HasWork: true},
		{Name: "braid-5", HasReport: true, HasWork: true, RemainingWork: 2500 * time.Microsecond},
	}})
	require.Equal(t, []PlacementCandidate{
		{Name: "braid-1", IsSelf: true, SlotsTaken: new(uint32(0)), Slots: new(uint32(2)), Utilisation: new(0.25)},
		{Name: "braid-2", SlotsTaken: new(uint32(0)), Slots: new(uint32(0)), Utilisation: new(0.0), ReportAgeMs: new(1.5), ExpectedDelayMs: new(20.0)},
		{Name: "braid-3", Excluded: "no_report"},
		{Name: "braid-4", SlotsTaken: new(uint32(0)), Slots: new(uint32(0)), Utilisation: new(0.0), ReportAgeMs: new(0.0), RemainingWorkMs: new(0.0)},
		{Name: "braid-5", SlotsTaken: new(uint32(0)), Slots: new(uint32(0)), Utilisation: new(0.0), ReportAgeMs: new(0.0), RemainingWorkMs: new(2.5)},
	}, placement.Candidates)
}
