package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/link/platform"
)

// The documents handler must serve a client of the platform as the platform does: a current
// document, an unchanged one, a wait for a newer revision, and errors for invalid requests.
func TestPlatformClientReadsDocumentsOfDaemon(t *testing.T) {
	state := fleet.NewState()
	apply := func(revision uint64, names ...string) *fleet.View {
		document := &fleet.BackendsDocument{Revision: fleet.Revision{Number: revision}}
		for _, name := range names {
			document.Backends = append(document.Backends, fleet.Backend{Name: name, DataCentre: "north"})
		}
		_, err := state.Apply(time.Now(), document)
		require.NoError(t, err)
		return state.View(time.Now())
	}
	var view atomic.Pointer[fleet.View]
	view.Store(apply(7, "a"))
	mux := http.NewServeMux()
	mux.Handle(operator.DocumentsPattern, operator.NewDocumentsHandler(view.Load))
	server := httptest.NewServer(mux)
	defer server.Close()
	client, err := platform.New(server.URL, http.DefaultTransport)
	require.NoError(t, err)
	ctx := context.Background()

	document, err := client.Read(ctx, platform.Backends, fleet.Revision{}, 0)
	require.NoError(t, err)
	require.Equal(t, "a", document.(*fleet.BackendsDocument).Backends[0].Name)
	_, err = client.Read(ctx, platform.Backends, fleet.Revision{Number: 7}, 0)
	require.ErrorIs(t, err, platform.ErrUnchanged)
	time.AfterFunc(200*time.Millisecond, func() { view.Store(apply(8, "a", "b")) })
	document, err = client.Read(ctx, platform.Backends, fleet.Revision{Number: 7}, 5*time.Second)
	require.NoError(t, err)
	require.Len(t, document.(*fleet.BackendsDocument).Backends, 2)

	for path, status := range map[string]int{
		"/v1/backends?after=x": http.StatusBadRequest,
		"/v1/backends?wait=-1": http.StatusBadRequest,
		"/v1/members":          http.StatusNotFound,
	} {
		response, err := http.Get(server.URL + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode, path)
	}
}
