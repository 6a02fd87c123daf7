package backend

import (
	"context"
	"fmt"
	"net"
)

// WaitClosed opens a connection that carries nothing and returns when the backend
// server closes it, which a restart does at once. It fails if no connection can be
// opened.
func (d *Dialer) WaitClosed(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", d.address.String())
	if err != nil {
		return fmt.Errorf("watch backend server %s: %w", d.address, err)
	}
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	// The backend server has nothing to say; any end of the wait is a close.
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	return nil
}
