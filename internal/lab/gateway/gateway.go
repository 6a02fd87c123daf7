// Package gateway lets an ordinary TCP client reach a service of the lab. It accepts
// connections on a loopback address and proxies each over a flow that it opens in
// the callers' user-space network stack.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
)

// Dial opens a flow from a member's address to the service.
type Dial func(ctx context.Context, member netip.Addr) (net.Conn, error)

// Gateway accepts TCP connections and proxies each over a flow of its own to one
// service.
type Gateway struct {
	listener net.Listener
	dial     Dial
	member   netip.Addr
}

// Start listens on a TCP address and proxies each connection over a flow that dial
// opens on behalf of the member.
func Start(address string, member netip.Addr, dial Dial) (*Gateway, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("start gateway: %w", err)
	}
	g := &Gateway{listener: listener, dial: dial, member: member}
	go g.accept()
	return g, nil
}

// Close stops accepting connections. Connections that are open stay open.
func (g *Gateway) Close() { _ = g.listener.Close() }

// accept proxies the connections of the listener until it is closed.
func (g *Gateway) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.proxy(conn.(*net.TCPConn))
	}
}

// proxy opens a flow for a client's connection and copies both directions until they
// have ended.
func (g *Gateway) proxy(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	service, err := g.dial(context.Background(), g.member)
	if err != nil {
		// The client sees a reset, as it would without the gateway: with a linger
		// time of zero, closing resets the connection.
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

// halfCloser is a connection whose sending direction can be closed on its own.
type halfCloser interface {
	CloseWrite() error
}

// copyDirection copies one direction of a connection until it ends. It forwards
// an orderly end as a half-close, so that the other direction can go on, and closes
// both connections after an error.
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
