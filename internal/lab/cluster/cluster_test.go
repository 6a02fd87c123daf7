package cluster_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/cluster"
	"github.com/radishmast/radishmast/internal/lab/fabric"
)

var daemon string

func TestMain(m *testing.M) { os.Exit(cluster.RunWithDaemon(m, &daemon)) }

// member is the address of the only caller in these tests.
var member = netip.MustParseAddr("10.1.0.1")

// sampleSpec returns the spec of a small cluster with both sample services.
func sampleSpec(t *testing.T) cluster.Spec {
	return cluster.Spec{
		Binary:      daemon,
		Directory:   t.TempDir(),
		Seed:        1,
		DataCentres: cluster.SampleDataCentres(),
		Balancers:   3,
		Services:    cluster.SampleServices(),
		Backends:    append(cluster.SampleBackends("orders", 7, 2), cluster.SampleBackends("patterns", 3, 2)...),
	}
}

// start starts a cluster, waits until it serves and closes it at the end of the test.
func start(t *testing.T, spec cluster.Spec) *cluster.Cluster {
	c, err := cluster.Start(spec)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	require.NoError(t, c.WaitReady(20*time.Second))
	return c
}

// client returns an HTTP client whose connections are flows to a service.
func client(c *cluster.Cluster, service string) *http.Client {
	return &http.Client{
		Timeout: 60 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return c.Dial(ctx, member, service)
			},
		},
	}
}

// Guards against answers that are truncated, or that reach another request, when the
// fabric loses and reorders packets in both directions.
func TestAnswersArriveWholeThroughLossAndReordering(t *testing.T) {
	spec := sampleSpec(t)
	spec.Faults = fabric.Faults{Drop: 0.01, Reorder: 0.01}
	c := start(t, spec)

	response, err := client(c, "patterns").Get("http://patterns/bytes/5000000")
	require.NoError(t, err)
	length, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, 5000000, length)

	orders := client(c, "orders")
	for i := range 50 {
		response, err := orders.Get(fmt.Sprintf("http://orders/path-%d", i))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), fmt.Sprintf("of orders serves /path-%d\n", i))
	}
}

// Guards against a caller that is left to its timeout: a new flow has to be refused when
// every backend server of the service has stopped.
func TestRefusalReachesCaller(t *testing.T) {
	spec := sampleSpec(t)
	spec.Backends = cluster.SampleBackends("orders", 2, 2)
	c := start(t, spec)
	for _, backend := range spec.Backends {
		c.StopBackend(backend.Name)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := c.Dial(ctx, member, "orders")
	require.ErrorContains(t, err, "connection was refused")
}

// Guards against UDP flows whose datagrams are delivered to several backend servers.
func TestUDPFlowStaysAtOneBackendServer(t *testing.T) {
	spec := sampleSpec(t)
	spec.Services[0].Protocol = "udp"
	c := start(t, spec)
	for port := range 5 {
		conn, err := c.DialUDP(member, "orders")
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		first := ""
		for i := range 20 {
			text := fmt.Sprintf("flow %d packet %d", port, i)
			server := exchange(t, conn, text)
			if first == "" {
				first = server
			}
			require.Equal(t, first, server)
		}
	}
}

// exchange sends a datagram, again after each half second without the right answer, and
// returns the name of the backend server that answered.
func exchange(t *testing.T, conn net.Conn, text string) string {
	const attempts = 20
	buffer := make([]byte, 1500)
	for range attempts {
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
		count, err := conn.Read(buffer)
		if err != nil {
			continue
		}
		server, answer, found := strings.Cut(string(buffer[:count]), ":")
		require.True(t, found)
		if answer == text {
			return server
		}
	}
	require.Fail(t, "no backend server answered datagram "+text)
	return ""
}

// Guards against agents that exit at SIGTERM while their backend server still sends an
// answer, or that don't exit afterwards: all agents of a service are terminated during
// a long answer.
func TestLeavingAgentsFinishTheirAnswers(t *testing.T) {
	const size = 40_000_000
	c := start(t, sampleSpec(t))
	response, err := client(c, "patterns").Get(fmt.Sprintf("http://patterns/bytes/%d", size))
	require.NoError(t, err)
	first, err := io.CopyN(io.Discard, response.Body, 1000)
	require.NoError(t, err)
	leaving := []string{"patterns-1", "patterns-2", "patterns-3"}
	for _, name := range leaving {
		require.NoError(t, c.Terminate(name))
	}
	rest, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, first+rest)
	for _, name := range leaving {
		require.NoError(t, c.WaitExited(name, 30*time.Second))
	}
}

// Guards against documents that processes ignore because the platform was restored from a copy
// and gives revisions out again that they already know.
func TestChangesApplyAfterPlatformIsRestored(t *testing.T) {
	c := start(t, sampleSpec(t))
	for range 5 {
		require.NoError(t, c.SetSelectors("patterns", fleet.Selector{"app": {"patterns"}}))
	}
	require.NoError(t, c.WaitReady(20*time.Second))
	c.Platform().Restore()
	require.NoError(t, c.SetSelectors("patterns", fleet.Selector{"app": {"patterns", "orders"}}))
	require.NoError(t, c.WaitReady(20*time.Second))
	for _, name := range c.Running() {
		status, err := c.Status(name)
		require.NoError(t, err)
		require.Equal(t, c.Platform().Revision(), status.Revisions.Services, name)
	}
}
