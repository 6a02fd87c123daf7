package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/control"
	link "github.com/radishmast/radishmast/internal/link/control"
)

// maxLinks bounds the links a node accepts.
const maxLinks = 64

func (n *Node) send(o control.Send) {
	n.mu.Lock()
	l := n.links[o.Link]
	n.mu.Unlock()
	if l == nil {
		return
	}
	data, err := n.encode(o.Message)
	if err == nil {
		err = l.Send(data)
	}
	if err != nil {
		n.counters.Add("drop_slow_link", 1)
		l.Close()
	}
}

// encode returns the encoded message. Most messages go to several links, one after the
// other. It runs on the control goroutine.
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

func (n *Node) closeLink(id control.LinkID) {
	n.mu.Lock()
	l := n.links[id]
	delete(n.links, id)
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

func (n *Node) dialLink(ctx context.Context, endpoint netip.AddrPort) {
	l, err := link.Dial(ctx, endpoint, n.http, n.linkKeys, n.counters)
	if err != nil {
		n.counters.Add("retry_link_dial", 1)
		n.logger.WithError(err).Debug("control link")
		return
	}
	n.runLink(ctx, l, true)
}

// acceptLink serves the control endpoint.
func (n *Node) acceptLink(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	full := len(n.links) >= maxLinks
	n.mu.Unlock()
	if full {
		n.counters.Add("refuse_link", 1)
		w.Header().Set("Connection", "close")
		http.Error(w, "too many control links", http.StatusServiceUnavailable)
		return
	}
	l, err := link.Accept(w, r, n.linkKeys, n.counters)
	if err != nil {
		n.logger.WithError(err).Debug("control link")
		return
	}
	n.runLink(context.WithoutCancel(r.Context()), l, false)
}

func (n *Node) runLink(ctx context.Context, l *link.Link, dialled bool) {
	n.mu.Lock()
	n.nextLink++
	id := n.nextLink
	n.links[id] = l
	n.mu.Unlock()
	n.Enqueue(func(now time.Time) []control.Output { return n.controller.HandleLinkUp(now, id, dialled) })
	err := l.Run(ctx, func(message *control.Message) {
		n.inputs <- func(now time.Time) []control.Output { return n.controller.HandleMessage(now, id, message) }
	})
	n.logger.WithError(err).WithField("link", l.Peer()).Debug("control link ended")
	n.closeLink(id)
	n.Enqueue(func(time.Time) []control.Output {
		n.controller.HandleLinkDown(id)
		return nil
	})
}
