package fabric

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/radishmast/radishmast/internal/core/balancer"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
	"github.com/radishmast/radishmast/internal/wire/ipv4"
)

// fixedView is a ViewSource whose view never changes and stays valid.
type fixedView struct{ view *fleet.View }

func (f fixedView) View() *fleet.View         { return f.view }
func (fixedView) IsValid(time.Time) bool      { return true }
func (fixedView) Age(time.Time) time.Duration { return 0 }

// discardCounter is a Counter that discards all counts.
type discardCounter struct{}

func (discardCounter) Add(string, int) {}

// newView returns a view of one service with seven targets, all at the same endpoint.
func newView(tb testing.TB, endpoint netip.AddrPort) *fleet.View {
	state := fleet.NewState()
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{{
		Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{"north": {}},
	}}}
	backends := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}}
	instances := &fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}}
	for i := range 7 {
		name := fmt.Sprintf("b%d", i)
		backends.Backends = append(backends.Backends, fleet.Backend{Name: name, DataCentre: "north"})
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: name, Role: fleet.RoleAgent, DataCentre: "north",
			Data: endpoint.String(), Control: endpoint.String(), State: fleet.StateLive,
		})
	}
	for _, document := range []fleet.Document{services, backends, instances} {
		applied, err := state.Apply(time.Now(), document)
		require.NoError(tb, err)
		require.True(tb, applied)
	}
	return state.View(time.Now())
}

// segment returns an IPv4 packet with a TCP segment from a caller's port, with payload bytes
// of payload.
func segment(port uint16, payload int) []byte {
	length := header.IPv4MinimumSize + header.TCPMinimumSize + payload
	data := make([]byte, length)
	ip := header.IPv4(data)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(length), TTL: 64, Protocol: uint8(header.TCPProtocolNumber),
		SrcAddr: tcpip.AddrFrom4([4]byte{10, 1, 0, 1}), DstAddr: tcpip.AddrFrom4([4]byte{10, 9, 0, 1}),
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	header.TCP(data[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort: port, DstPort: 80, DataOffset: header.TCPMinimumSize, Flags: header.TCPFlagAck,
	})
	return data
}

// listen returns a UDP socket on a free port of the loopback interface.
func listen(tb testing.TB) *net.UDPConn {
	conn, err := peer.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

// endpoint returns the local address of a socket.
func endpoint(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// A packet reaches an agent unchanged, in a datagram that identifies the forwarder's instance
// and the service. All seven targets share one endpoint, so the choice of the target is not
// checked here.
func TestForwardBatchSendsPacketToAgent(t *testing.T) {
	in, out := listen(t), listen(t)
	view := newView(t, endpoint(out))
	codec, err := datagram.NewCodec()
	require.NoError(t, err)
	f := newForwarder(balancer.New(balancer.Config{}, balancer.NewHints(16)), view, codec, in)
	packet := segment(4000, 100)
	_, err = out.WriteToUDPAddrPort(packet, endpoint(in))
	require.NoError(t, err)
	require.NoError(t, f.ForwardBatch())

	received := peer.NewReader(out)
	require.NoError(t, out.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = received.Read()
	require.NoError(t, err)
	var head datagram.Header
	body, err := codec.Decode(received.Datagram(0), &head)
	require.NoError(t, err)
	require.Equal(t, packet, body)
	require.EqualValues(t, 5, head.Origin)
	require.Equal(t, fleet.ServiceIDOf("orders"), fleet.ServiceID(head.Service))
}

// switchedView is a ViewSource whose view is valid on demand.
type switchedView struct {
	fixedView
	valid bool
}

func (s *switchedView) IsValid(time.Time) bool { return s.valid }

// Replays a restart under load: a packet arrives before the first view and must be forwarded
// with it, without a retransmission. One that arrives when the view has expired is dropped,
// as its caller has sent it again.
func TestPacketsBeforeTheFirstViewAreForwardedWithIt(t *testing.T) {
	in, out := listen(t), listen(t)
	codec, err := datagram.NewCodec()
	require.NoError(t, err)
	f := newForwarder(balancer.New(balancer.Config{}, balancer.NewHints(16)), newView(t, endpoint(out)), codec, in)
	views := &switchedView{fixedView: f.views.(fixedView)}
	f.views = views
	received := peer.NewReader(out)
	send := func(port uint16) {
		_, err := out.WriteToUDPAddrPort(segment(port, 100), endpoint(in))
		require.NoError(t, err)
		require.NoError(t, f.ForwardBatch())
	}
	receives := func() bool {
		require.NoError(t, out.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err := received.Read()
		return err == nil
	}
	send(4000)
	require.NoError(t, f.ForwardBatch(), "without new packets the forwarder must come back to look for the view")
	require.False(t, receives())
	views.valid = true
	require.NoError(t, f.ForwardBatch())
	require.True(t, receives())
	views.valid = false
	send(4001)
	views.valid = true
	send(4002)
	require.True(t, receives())
	require.False(t, receives(), "a packet from a pause must not be forwarded")
}

// benchmarkBatches sends batches of 64 packets to a socket and measures the step that forwards
// each batch.
func benchmarkBatches(b *testing.B, step func(in, out *net.UDPConn) func() error) {
	const batch = 64
	in, out, source := listen(b), listen(b), listen(b)
	run := step(in, out)
	writer := peer.NewWriter(source, peer.NewPaths())
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; done += batch {
		b.StopTimer()
		for i := range batch {
			buffer, err := writer.Next()
			require.NoError(b, err)
			buffer.Write(segment(uint16(1024+done%30000+i), 160))
			writer.Queue(endpoint(in))
		}
		require.NoError(b, writer.Flush())
		b.StartTimer()
		if err := run(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRelay measures a UDP relay without any processing, as a baseline with the same
// batched input and output.
func BenchmarkRelay(b *testing.B) {
	benchmarkBatches(b, func(in, out *net.UDPConn) func() error {
		reader, writer, to := peer.NewReader(in), peer.NewWriter(in, peer.NewPaths()), endpoint(out)
		return func() error {
			count, err := reader.Read()
			if err != nil {
				return err
			}
			for i := range count {
				buffer, err := writer.Next()
				if err != nil {
					return err
				}
				buffer.Write(reader.Datagram(i))
				writer.Queue(to)
			}
			return writer.Flush()
		}
	})
}

// BenchmarkForward measures ForwardBatch without authentication.
func BenchmarkForward(b *testing.B) { benchForward(b) }

// BenchmarkForwardKeyed measures ForwardBatch with authenticated datagrams.
func BenchmarkForwardKeyed(b *testing.B) {
	benchForward(b, datagram.NewKey("a key for the benchmark"))
}

func benchForward(b *testing.B, keys ...datagram.Key) {
	benchmarkBatches(b, func(in, out *net.UDPConn) func() error {
		codec, err := datagram.NewCodec(keys...)
		require.NoError(b, err)
		core := balancer.New(balancer.Config{}, balancer.NewHints(1<<18))
		return newForwarder(core, newView(b, endpoint(out)), codec, in).ForwardBatch
	})
}

// BenchmarkEncode measures the encoding of a datagram alone.
func BenchmarkEncode(b *testing.B) {
	codec, err := datagram.NewCodec()
	require.NoError(b, err)
	head := datagram.Header{Kind: datagram.Packet, To: 1 << 60, From: 1 << 61, Service: 1 << 62, Revision: 1200}
	var buffer bytes.Buffer
	body := segment(4000, 160)
	b.ReportAllocs()
	for b.Loop() {
		buffer.Reset()
		if err := codec.AppendTo(&buffer, &head, body); err != nil {
			b.Fatal(err)
		}
	}
}

// newForwarder returns a forwarder with a fixed view.
func newForwarder(core *balancer.Balancer, view *fleet.View, codec *datagram.Codec, in *net.UDPConn) *Forwarder {
	return NewForwarder(Config{
		Identity:     Identity{ID: 5, Incarnation: 9},
		Core:         core,
		Format:       ipv4.Format{},
		Views:        fixedView{view},
		OnSuspect:    func(fleet.InstanceID) {},
		Codec:        codec,
		FabricSocket: in,
		Writer:       peer.NewWriter(in, peer.NewPaths()),
		Counter:      discardCounter{},
	})
}
