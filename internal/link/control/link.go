// Package control carries control messages between processes as CBOR over
// WebSocket.
package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"

	"github.com/radishmast/radishmast/internal/core/control"
)

// Path is the URL path of the control endpoint.
const Path = "/control"

const (
	maxMessageSize  = 8 << 20
	sendQueueLength = 256
	dialTimeout     = 2 * time.Second
	writeTimeout    = 2 * time.Second
)

// ErrSlowPeer reports that a peer does not take messages as fast as they come.
var ErrSlowPeer = errors.New("peer does not take messages")

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int)
}

// Link is one WebSocket connection to a peer.
type Link struct {
	conn    *websocket.Conn
	peer    string
	keys    Keys
	queue   chan []byte
	counter Counter
}

func newLink(conn *websocket.Conn, peer string, keys Keys, counter Counter) *Link {
	conn.SetReadLimit(maxMessageSize)
	return &Link{conn: conn, peer: peer, keys: keys, queue: make(chan []byte, sendQueueLength), counter: counter}
}

// Dial connects to a peer's control endpoint.
func Dial(ctx context.Context, peer netip.AddrPort, client *http.Client, keys Keys, counter Counter) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := fmt.Sprintf("ws://%s%s", peer, Path)
	conn, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return nil, fmt.Errorf("dial control link to %s: %w", peer, err)
	}
	if response.Body != nil {
		// The body is empty after a successful upgrade.
		_ = response.Body.Close()
	}
	return newLink(conn, peer.String(), keys, counter), nil
}

// Accept upgrades a request to a link.
func Accept(w http.ResponseWriter, r *http.Request, keys Keys, counter Counter) (*Link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accept control link from %s: %w", r.RemoteAddr, err)
	}
	return newLink(conn, r.RemoteAddr, keys, counter), nil
}

// Peer returns the peer's network address.
func (l *Link) Peer() string { return l.peer }

// Send queues an encoded message. It fails when the peer does not keep up; the link is
// then of no use, and anti-entropy on another one makes up for what is lost.
func (l *Link) Send(data []byte) error {
	select {
	case l.queue <- l.keys.sign(data):
		return nil
	default:
		return fmt.Errorf("send to %s: %w", l.peer, ErrSlowPeer)
	}
}

// Run carries messages until the link or ctx ends. It calls receive for each
// message.
func (l *Link) Run(ctx context.Context, receive func(*control.Message)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.runWriter(ctx, cancel)
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return fmt.Errorf("read control link from %s: %w", l.peer, err)
		}
		l.counter.Add("control_bytes_received", len(data))
		data, err = l.keys.verify(data)
		if err != nil {
			l.counter.Add("drop_authentication", 1)
			return fmt.Errorf("read control link from %s: %w", l.peer, err)
		}
		message, err := Decode(data)
		if err != nil {
			l.counter.Add("refuse_control_message", 1)
			return fmt.Errorf("decode control message from %s: %w", l.peer, err)
		}
		receive(message)
	}
}

func (l *Link) runWriter(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.queue:
			if err := l.writeMessage(ctx, data); err != nil {
				return
			}
		}
	}
}

func (l *Link) writeMessage(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write control link to %s: %w", l.peer, err)
	}
	l.counter.Add("control_bytes_sent", len(data))
	return nil
}

// Close ends the link at once.
func (l *Link) Close() {
	// The peer may be gone; there is nothing to do about it.
	_ = l.conn.CloseNow()
}
