// Package commands tests the commands together: the operators' commands against a simulated
// platform, and the validation of settings by the daemons.
package commands

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/cmd/backends"
	"github.com/radishmast/radishmast/internal/cmd/check"
	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/daemon"
	"github.com/radishmast/radishmast/internal/cmd/explain"
	"github.com/radishmast/radishmast/internal/cmd/services"
	"github.com/radishmast/radishmast/internal/cmd/status"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/lab/platform"
)

// startPlatform starts a simulated platform with one service and six backend servers. The
// command explain gives a different reason for each: braid-1 serves, braid-2 is leaving,
// braid-3 is in a data centre without a selector, braid-4 has a wrong label, braid-5 lacks a
// label, and braid-6 has no listed agent.
func startPlatform(t *testing.T) *platform.Platform {
	p, err := platform.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(p.Close)
	agent := func(name, dataCentre string, state fleet.InstanceState) fleet.Instance {
		return fleet.Instance{Name: name, Role: fleet.RoleAgent, DataCentre: dataCentre, Data: "127.0.0.9:7000", Control: "127.0.0.9:7001", State: state}
	}
	require.NoError(t, p.Publish(&fleet.InstancesDocument{Instances: []fleet.Instance{
		agent("braid-1", "north", fleet.StateLive),
		agent("braid-2", "south", fleet.StateLeaving),
		agent("braid-3", "west", fleet.StateLive),
	}}))
	labels := func(tier string) map[string]string { return map[string]string{"app": "orders", "tier": tier} }
	require.NoError(t, p.Publish(&fleet.BackendsDocument{Backends: []fleet.Backend{
		{Name: "braid-1", DataCentre: "north", Labels: labels("new")},
		{Name: "braid-2", DataCentre: "south", Labels: labels("new")},
		{Name: "braid-3", DataCentre: "west", Labels: labels("new")},
		{Name: "braid-4", DataCentre: "north", Labels: labels("old")},
		{Name: "braid-5", DataCentre: "south", Labels: map[string]string{"tier": "new"}},
		{Name: "braid-6", DataCentre: "south", Labels: labels("new")},
	}}))
	selector := fleet.Selector{"app": {"orders"}, "tier": {"new", "spare"}}
	require.NoError(t, p.Publish(&fleet.ServicesDocument{Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp",
		Selectors: map[string]fleet.Selector{"north": selector, "south": selector},
	}}}))
	return p
}

// TestCommandsPrintGoldenOutput guards against unintended changes of the output and exit codes,
// on which operators and their scripts rely: of tables, plain text, JSON and error messages.
func TestCommandsPrintGoldenOutput(t *testing.T) {
	p := startPlatform(t)
	tests := []struct {
		name     string
		args     []string
		terminal bool
		exit     int
	}{
		{"services-table", []string{"services", "--platform", p.URL()}, true, 0},
		{"services-plain", []string{"services", "--platform", p.URL()}, false, 0},
		{"services-json", []string{"services", "--json", "--platform", p.URL()}, true, 0},
		{"backends-table", []string{"backends", "--platform", p.URL()}, true, 0},
		{"backends-south", []string{"backends", "--data-centre", "south", "--platform", p.URL()}, false, 0},
		{"explain-table", []string{"explain", "--platform", p.URL(), "orders"}, true, 0},
		{"explain-flow", []string{"explain", "--platform", p.URL(), "--caller", "10.1.0.1:40000", "orders"}, true, 0},
		{"explain-flow-near", []string{"explain", "--platform", p.URL(), "--caller", "10.1.0.1:40000", "--data-centre", "south", "orders"}, true, 0},
		{"explain-data-centre", []string{"explain", "--platform", p.URL(), "--data-centre", "south", "orders"}, true, 2},
		{"explain-unknown", []string{"explain", "--platform", p.URL(), "reports"}, true, 2},
		{"explain-caller", []string{"explain", "--platform", p.URL(), "--caller", "me", "orders"}, true, 2},
		{"status-no-node", []string{"status", "--node", ""}, true, 2},
		{"status-unreachable", []string{"status", "--node", "127.0.0.1:1"}, true, 3},
		{"unknown-command", []string{"frobnicate"}, true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			output, code := runCommand(test.terminal, test.args...)
			require.Equal(t, test.exit, code, output)
			goldie.New(t).Assert(t, test.name, []byte(output))
		})
	}
}

// runCommand runs a command in this process and returns its output, with both streams in one,
// and its exit code.
func runCommand(terminal bool, args ...string) (string, int) {
	var output bytes.Buffer
	streams := &cmdutil.Streams{Out: &output, Err: &output, IsTerminal: terminal}
	f := &cmdutil.Factory{Streams: streams, HTTPClient: http.DefaultClient}
	commands := []*ffcli.Command{
		status.NewCmdStatus(f), services.NewCmdServices(f), backends.NewCmdBackends(f),
		explain.NewCmdExplain(f), check.NewCmdCheck(f), daemon.NewCmdAgent(f), daemon.NewCmdBalancer(f),
	}
	root := cmdutil.NewGroup("radishmast", "Read-only client for operators.", streams, commands...)
	code := cmdutil.RunCommand(context.Background(), streams, root, args)
	return output.String(), code
}

// TestDaemonAndCheckCommandsValidateSettings guards against a daemon's --check and the command
// check disagreeing on whether a settings file is valid: they must return the same exit code.
// It also guards against error messages of --check that don't say what is wrong, such as which
// field.
func TestDaemonAndCheckCommandsValidateSettings(t *testing.T) {
	const balancer = `{"name":"e1","dataCentre":"north","data":"127.0.0.1:7000","control":"127.0.0.1:7001","platform":"http://127.0.0.1:8500"`
	const agent = balancer + `,"egress":"127.0.0.1:6082","backend":"127.0.0.1:8080"`
	tests := []struct {
		name string
		role string
		text string
		exit int
	}{
		{"balancer-valid", "balancer", balancer + `,"fabric":"127.0.0.1:6081"}`, 0},
		{"balancer-unknown-field", "balancer", balancer + `,"fabric":"127.0.0.1:6081","threads":3}`, 2},
		{"balancer-no-fabric", "balancer", balancer + `}`, 2},
		{"balancer-wrong-type", "balancer", balancer + `,"fabric":7}`, 2},
		{"balancer-hints", "balancer", balancer + `,"fabric":"127.0.0.1:6081","hints":0}`, 2},
		{"balancer-short-key", "balancer", balancer + `,"fabric":"127.0.0.1:6081","keys":["short"]}`, 2},
		{"balancer-trailing", "balancer", balancer + `,"fabric":"127.0.0.1:6081"} {}`, 2},
		{"agent-valid", "agent", agent + `,"slots":2}`, 0},
		{"agent-no-slots", "agent", agent + `}`, 2},
		{"agent-placement", "agent", agent + `,"slots":2,"placement":"best"}`, 2},
		{"agent-peers", "agent", agent + `,"slots":2,"peers":["nowhere"]}`, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			require.NoError(t, os.WriteFile("settings.json", []byte(test.text), 0o600))
			output, code := runCommand(true, test.role, "--config", "settings.json", "--check")
			require.Equal(t, test.exit, code, output)
			checkOutput, checkCode := runCommand(true, "check", "--kind", test.role, "settings.json")
			require.Equal(t, test.exit, checkCode, checkOutput)
			t.Chdir(packageDirectory)
			goldie.New(t).Assert(t, filepath.Join("settings", test.name), []byte(output))
		})
	}
}

// packageDirectory is where the golden files are. Tests that change the directory return to it.
var packageDirectory = func() string {
	directory, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return directory
}()
