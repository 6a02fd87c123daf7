package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/control"
	link "github.com/radishmast/radishmast/internal/link/control"
)

// maxLinks is the number of open control links, dialled and accepted, at which a node
// accepts no more.
const maxLinks = 64

// send queues a message on a link. If the message cannot be encoded or the link's queue is
// full, the message is dropped and counted, under a different name for each, and the link is
// closed. A link that no longer exists is ignored.
func (n *Node) send(o control.Send) {
	n.mu.Lock()
	l := n.links[o.Link]
	n.mu.Unlock()
	if l == nil {
		return
	}
	data, err := n.encode(o.Message)
	if err != nil {
		n.counters.Add("drop_unencodable", 1)
		n.logger.WithError(fmt.Errorf("encode message for %s: %w", l.Peer(), err)).Error("control message not sent; closing the link")
		l.Close()
		return
	}
	if err := l.Send(data); err != nil {
		n.counters.Add("drop_slow_link", 1)
		l.Close()
	}
}

// encode returns the encoded message. It keeps the last result, because most messages are
// sent on several links in succession. Only the control goroutine may call it.
func (n *Node) encode(message *control.Message) ([]byte, error) {
	if message == n.lastEncoded.message {
		return n.lastEncoded.data, nil
	}
	data, err := link.Encode(message)
	if err != nil {
		return nil, err
	}
	n.lastEncoded.message, n.lastEncoded.data = message, data
	return data, nil
}

// closeLink closes a link and removes it, if it still exists.
func (n *Node) closeLink(id control.LinkID) {
	n.mu.Lock()
	l := n.links[id]
	delete(n.links, id)
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

// dialLink connects to a peer's control endpoint and runs the link until it or ctx ends. If
// the connection fails, the controller chooses when and where to dial next.
func (n *Node) dialLink(ctx context.Context, endpoint netip.AddrPort) {
	l, err := link.Dial(ctx, endpoint, n.http, n.linkKeys, n.counters)
	if err != nil {
		n.counters.Add("retry_link_dial", 1)
		n.logger.WithError(err).Debug("control link not established; the controller dials again")
		n.Enqueue(func(now time.Time) []control.Output {
			if errors.Is(err, link.ErrRefused) {
				n.controller.HandleLinkRefused(now)
			} else {
				n.controller.HandleDialFailed(now)
			}
			return nil
		})
		return
	}
	n.runLink(ctx, l, true)
}

// acceptLink handles a request for a control link and runs the link until it ends. It
// refuses the request if maxLinks links are open. The link outlives the request's context.
func (n *Node) acceptLink(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	isFull := len(n.links) >= maxLinks
	n.mu.Unlock()
	if isFull {
		n.counters.Add("refuse_link", 1)
		w.Header().Set("Connection", "close")
		http.Error(w, "too many control links", http.StatusServiceUnavailable)
		return
	}
	l, err := link.Accept(w, r, n.linkKeys, n.counters)
	if err != nil {
		n.logger.WithError(err).Debug("control link not accepted; waiting for the peer to dial again")
		return
	}
	n.runLink(context.WithoutCancel(r.Context()), l, false)
}

// runLink registers a link and passes its messages to the controller until the link or ctx
// ends. Messages wait while the queue of the control goroutine is full.
func (n *Node) runLink(ctx context.Context, l *link.Link, dialled bool) {
	n.mu.Lock()
	n.nextLink++
	id := n.nextLink
	n.links[id] = l
	n.mu.Unlock()
	n.enqueueEvent(ctx, func(now time.Time) []control.Output { return n.controller.HandleLinkUp(now, id, dialled) })
	err := l.Run(ctx, func(message *control.Message) {
		n.enqueueEvent(ctx, func(now time.Time) []control.Output { return n.controller.HandleMessage(now, id, message) })
	})
	n.logger.WithError(err).WithField("link", l.Peer()).Debug("control link ended; the controller replaces it if needed")
	n.closeLink(id)
	n.enqueueEvent(ctx, func(time.Time) []control.Output {
		n.controller.HandleLinkDown(id)
		return nil
	})
}
