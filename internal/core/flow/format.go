package flow

// MalformedError is the error for bytes that are not a valid packet. Its value is the
// reason.
type MalformedError string

// Error implements error.
func (e MalformedError) Error() string { return "malformed packet: " + string(e) }

// Reply is a packet from a service address to a caller, reduced to the fields that the
// decision cores need.
type Reply struct {
	// Flow is the flow that the packet belongs to.
	Flow ID
	// HandshakeToken is the value that the caller must acknowledge to complete the
	// handshake. It is valid if IsHandshakeReply is true.
	HandshakeToken uint32
	// IsHandshakeReply reports whether the packet answers an opening packet.
	IsHandshakeReply bool
	// IsFinal reports whether the sender sends nothing more on the flow after this
	// packet. It is also set for a reset.
	IsFinal bool
	// IsReset reports whether the packet aborts the flow.
	IsReset bool
	// PayloadSize is the number of payload bytes of the flow that the packet carries.
	PayloadSize int
}

// Format parses and builds the packets of one packet format.
type Format interface {
	// Parse parses and checks a packet from a caller. The result refers to data. The
	// error is a MalformedError.
	Parse(data []byte) (Packet, error)
	// ParseReply parses a packet to a caller. It reports false for a packet that the
	// decision cores do not need.
	ParseReply(data []byte) (Reply, bool)
	// Reset returns the reset packet that notifies a caller that no agent owns the flow
	// of its packet. It returns nil if the packet must not be answered or its protocol has
	// no reset.
	Reset(packet Packet) []byte
}
