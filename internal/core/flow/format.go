package flow

// MalformedError is the reason for which bytes are not a packet.
type MalformedError string

// Error implements error.
func (e MalformedError) Error() string { return "malformed packet: " + string(e) }

// Reply is a packet that goes from a service address to a caller, reduced to
// what the decision cores need.
type Reply struct {
	// Flow is the flow the packet answers.
	Flow ID
	// HandshakeToken is the value the caller must acknowledge to complete the handshake.
	// It is set if Opens is.
	HandshakeToken uint32
	// IsHandshakeReply reports whether the packet is the answer to an opening packet.
	IsHandshakeReply bool
	// IsFinal reports whether the sender sends nothing more on the flow.
	IsFinal bool
	// IsReset reports whether it breaks the flow off.
	IsReset bool
	// PayloadSize is the number of bytes of the flow that the packet carries.
	PayloadSize int
}

// Format reads and writes the packets of one kind of network.
type Format interface {
	// Parse checks a packet that a caller sent. The result refers to data. The
	// error is a MalformedError.
	Parse(data []byte) (Packet, error)
	// ParseReply reads a packet that goes to a caller. It reports false for one
	// that is of no interest to the decision cores.
	ParseReply(data []byte) (Reply, bool)
	// Reset returns the reset that answers a packet of a flow nobody owns, or nil
	// if there is none.
	Reset(packet Packet) []byte
}
