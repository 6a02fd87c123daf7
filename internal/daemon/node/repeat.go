package node

import (
	"context"
	"errors"
	"net"
)

// Repeat calls step until it fails; closing the socket ends it when ctx is done.
func Repeat(ctx context.Context, socket *net.UDPConn, step func() error) error {
	release := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer release()
	for {
		err := step()
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default:
			return err
		}
	}
}
