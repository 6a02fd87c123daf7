// Package gateway lets an ordinary TCP client reach a service: it accepts
// connections on a loopback address and carries each through the callers' stack.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
)

// Dial opens a flow to the service.
type Dial func(ctx context.Context, member netip.Addr) (net.Conn, error)

// Gateway is a listening gateway.
type Gateway struct {
	listener net.Listener
	dial     Dial
	member   netip.Addr
}

// Start listens on an address. Connections become flows of a member.
func Start(address string, member netip.Addr, dial Dial) (*Gateway, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("start gateway: %w", err)
	}
	g := &Gateway{listener: listener, dial: dial, member: member}
	go g.accept()
	return g, nil
}

// Close stops accepting.
func (g *Gateway) Close() { _ = g.listener.Close() }

func (g *Gateway) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.proxy(conn.(*net.TCPConn))
	}
}

func (g *Gateway) proxy(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	service, err := g.dial(context.Background(), g.member)
	if err != nil {
		// The client sees a reset, as it would without the gateway.
		_ = client.SetLinger(0)
		return
	}
	defer func() { _ = service.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyDirection(service, client)
	}()
	copyDirection(client, service)
	<-done
}

// halfCloser is a connection whose sending direction can be ended alone.
type halfCloser interface {
	CloseWrite() error
}

func copyDirection(to, from net.Conn) {
	_, err := io.Copy(to, from)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if half, ok := to.(halfCloser); ok {
		_ = half.CloseWrite()
	}
}
