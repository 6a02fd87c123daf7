// Package control sends and receives control messages between processes, as CBOR over
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
	// maxMessageSize is the largest message accepted, in bytes, before and after
	// decompression.
	maxMessageSize = 8 << 20
	// sendQueueLength is the number of messages that may wait to be sent on a link.
	sendQueueLength = 256
	// dialTimeout bounds the time in which a link is opened.
	dialTimeout = 2 * time.Second
	// writeTimeout bounds the time in which one message is sent.
	writeTimeout = 2 * time.Second
)

// ErrSlowPeer reports that the send queue of a link is full because the peer receives
// messages more slowly than they are sent.
var ErrSlowPeer = errors.New("send queue is full")

// ErrRefused reports that a peer refuses a link because it has too many.
var ErrRefused = errors.New("peer has too many control links")

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int)
}

// Link is one WebSocket connection to a peer.
type Link struct {
	conn *websocket.Conn
	// peer is the network address of the peer.
	peer string
	keys Keys
	// queue holds signed messages to send.
	queue   chan []byte
	counter Counter
}

func newLink(conn *websocket.Conn, peer string, keys Keys, counter Counter) *Link {
	conn.SetReadLimit(maxMessageSize)
	return &Link{conn: conn, peer: peer, keys: keys, queue: make(chan []byte, sendQueueLength), counter: counter}
}

// Dial opens a link to a peer's control endpoint. It fails after dialTimeout, and with ErrRefused if
// the peer has too many links. Messages
// are sent and received while Run runs.
func Dial(ctx context.Context, peer netip.AddrPort, client *http.Client, keys Keys, counter Counter) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := fmt.Sprintf("ws://%s%s", peer, Path)
	conn, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client})
	if response != nil && response.StatusCode == http.StatusServiceUnavailable {
		err = ErrRefused
	}
	if err != nil {
		return nil, fmt.Errorf("dial control link to %s: %w", peer, err)
	}
	if response.Body != nil {
		// The body is empty after a successful WebSocket upgrade.
		_ = response.Body.Close()
	}
	return newLink(conn, peer.String(), keys, counter), nil
}

// Accept upgrades an HTTP request to a link. If it fails, it has answered the request.
func Accept(w http.ResponseWriter, r *http.Request, keys Keys, counter Counter) (*Link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accept control link from %s: %w", r.RemoteAddr, err)
	}
	return newLink(conn, r.RemoteAddr, keys, counter), nil
}

// Peer returns the peer's network address.
func (l *Link) Peer() string { return l.peer }

// Send queues a message encoded by Encode. If the queue is full, it drops the message and
// returns ErrSlowPeer. The peer is then too slow for the link to be of use, and the user must
// close it. Anti-entropy on another link delivers the lost state.
func (l *Link) Send(data []byte) error {
	select {
	case l.queue <- l.keys.sign(data):
		return nil
	default:
		return fmt.Errorf("send to %s: %w", l.peer, ErrSlowPeer)
	}
}

// Run sends queued messages and calls receive for each received message until the link or ctx
// ends. A message that cannot be authenticated or decoded ends the link. The error is never
// nil.
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

// runWriter sends queued messages until ctx is done or a write fails. It calls cancel when it
// returns, which ends Run.
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

// Close closes the link immediately, without the WebSocket closing handshake.
func (l *Link) Close() {
	// An error means that the connection is already broken.
	_ = l.conn.CloseNow()
}
