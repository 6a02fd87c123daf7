// Package datagram encodes the UDP datagrams that balancers, agents and carriers
// exchange. A datagram is a CBOR header, a CBOR integer with the authentication tag
// (both as a CBOR sequence, RFC 8742) and a body. The format of the body depends on
// the kind; a caller's packet is not encoded.
package datagram

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/fxamacker/cbor/v2"
)

// Version is the header version that this package encodes and accepts.
const Version = 1

// MaxVisited is the largest number of entries accepted in Header.Visited.
const MaxVisited = 256

// MaxSize is the size of the largest datagram sent or accepted, in bytes.
const MaxSize = 4096

// authenticatedPacketBytes is the number of bytes at the start of a caller's packet that
// the authentication tag covers: its IP and transport headers. The tag covers the whole
// body of every other kind of datagram.
const authenticatedPacketBytes = 64

// authenticatedPart returns the part of a body that the authentication tag covers.
func authenticatedPart(kind Kind, body []byte) []byte {
	if kind == Packet {
		return body[:min(len(body), authenticatedPacketBytes)]
	}
	return body
}

// Kind identifies the type of a datagram and so what its body holds.
type Kind uint8

// Kinds of datagram. The values are sent on the wire.
const (
	// Packet carries a caller's packet.
	Packet Kind = iota + 1
	// Hint notifies a balancer that the sender owns a flow. The body holds the flow's
	// hash.
	Hint
	// Probe checks whether a peer is alive. The body is empty.
	Probe
	// ProbeReply answers a probe. It is also sent in answer to a datagram that names
	// another incarnation of the receiver, to notify the sender of the current one. The
	// body holds the weight of the replying instance or is empty.
	ProbeReply
	// LoadReport carries an agent's load report to a sibling.
	LoadReport
	// Registration registers flows that the sender owns with their registrar. The body
	// holds their hashes.
	Registration
	// OwnershipQuery queries which of the listed flows the receiver owns.
	OwnershipQuery
	// OwnershipReply answers an OwnershipQuery.
	OwnershipReply
	// OwnershipDenial answers a polled packet whose flow the sender does not own. The body holds
	// the ID of the flow.
	OwnershipDenial
	// OwnershipClaim answers a polled packet whose flow the sender owns. The body holds the ID of
	// the flow.
	OwnershipClaim
	// ServerSilence answers a polled packet if the backend server of the sender does not respond.
	// The body holds the ID of the flow.
	ServerSilence
)

// Flags describe what the sender of a caller's packet has decided or found out about it. The
// bits are sent on the wire.
type Flags uint8

const (
	// Placed marks an opening packet for which another agent, such as the flow's primary,
	// has chosen the receiver as the owner of the new flow.
	Placed Flags = 1 << iota
	// Searched marks a connectionless packet that has visited every reachable candidate.
	// None of them owns its flow, so the receiver, the flow's primary, opens the flow.
	Searched
	// Relayed marks a packet whose sender cannot reach the candidates not yet visited.
	// The receiver, an agent in another data centre, may have a path to them.
	Relayed
	// Referred marks a packet that was forwarded to the registered owner of its flow.
	Referred
	// LookedUp marks a packet for which the owner of its flow has been looked up by
	// ownership queries.
	LookedUp
	// Polled marks a packet that its sender sends to many agents at once. Each answers with an
	// OwnershipClaim or an OwnershipDenial.
	Polled
	// Waited marks an opening packet that has waited at an agent, so that its caller may already
	// have sent the next copy.
	Waited
)

// Header precedes the body of every datagram. It is encoded as a CBOR array, so the order
// of the fields is part of the wire format.
type Header struct {
	_ struct{} `cbor:",toarray"`
	// Version is set by the Codec when it encodes the header.
	Version uint8
	Kind    Kind
	// Flags are set on packets only.
	Flags Flags
	// To is the instance ID of the receiver.
	To uint64
	// ToIncarnation is the incarnation of the receiver that the sender knows. With 0,
	// every incarnation accepts the datagram.
	ToIncarnation uint64
	// From is the instance ID of the sender.
	From            uint64
	FromIncarnation uint64
	// Service is the ID of the service that a packet is for.
	Service uint64
	// Revision is the highest revision in the view of the sender and, for a forwarded
	// packet, of the senders before it, packed so that a higher one is a higher number.
	Revision uint64
	// Origin is the instance ID of the balancer that received the packet from the fabric.
	// It is 0 for an opening packet that an agent retries on another agent.
	Origin uint64
	// Reply is the endpoint, packed by PackEndpoint, to which the receiver sends a hint
	// for a packet or the reply to an ownership query. With 0, no hint is sent.
	Reply uint64
	// Visited holds the instance IDs of the agents that the packet has visited. The search for
	// the owner of its flow skips them.
	Visited []uint64
}

// PackEndpoint packs an IPv4 address and a port into an integer. It returns 0 for any other
// endpoint.
func PackEndpoint(endpoint netip.AddrPort) uint64 {
	if !endpoint.Addr().Is4() {
		return 0
	}
	ip := endpoint.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(endpoint.Port())
}

// UnpackEndpoint reverses PackEndpoint. It reports false if the integer is 0 and so holds no
// endpoint.
func UnpackEndpoint(packed uint64) (netip.AddrPort, bool) {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(packed>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(packed)), packed != 0
}

// Errors for which Decode rejects a datagram.
var (
	ErrDecode  = errors.New("undecodable header")
	ErrVersion = errors.New("unknown header version")
	ErrTag     = errors.New("wrong authentication tag")
	ErrVisited = errors.New("too many visited candidates")
	ErrSize    = errors.New("oversized datagram")
)

// Key is a secret key for the authentication tag of datagrams. The zero Key computes the
// tag 0 for every datagram, so it authenticates nothing.
type Key struct {
	k0, k1 uint64
	set    bool
}

// NewKey derives a key from a shared secret. An empty secret gives the zero Key.
func NewKey(secret string) Key {
	if secret == "" {
		return Key{}
	}
	k0, k1 := siphash.Hash128(0, 0, []byte(secret))
	return Key{k0: k0, k1: k1, set: true}
}

// Codec encodes, authenticates and decodes datagrams. It is not safe for concurrent use.
type Codec struct {
	encoder    cbor.UserBufferEncMode
	signKey    Key
	acceptKeys []Key
	// tag is the tag being encoded. It is a field because a local variable would be
	// allocated on the heap for each datagram.
	tag uint64
}

// NewCodec returns a codec that authenticates datagrams with the first key and accepts
// those of any of the keys, so that keys can be rotated. Without keys it writes the tag 0
// and accepts no other.
func NewCodec(keys ...Key) (*Codec, error) {
	encoder, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		return nil, fmt.Errorf("set up CBOR encoder: %w", err)
	}
	codec := &Codec{encoder: encoder, acceptKeys: keys}
	if len(keys) > 0 {
		codec.signKey = keys[0]
	}
	return codec, nil
}

// Prefix is an encoded header with its digest. Datagrams that differ only in their body
// share one, which saves the encoding of the header.
type Prefix struct {
	kind         Kind
	bytes        []byte
	headerDigest uint64
}

// NewPrefix encodes a header. It sets the header's version.
func (c *Codec) NewPrefix(header *Header) (Prefix, error) {
	header.Version = Version
	var buffer bytes.Buffer
	if err := c.encoder.MarshalToBuffer(header, &buffer); err != nil {
		return Prefix{}, fmt.Errorf("encode header: %w", err)
	}
	return Prefix{kind: header.Kind, bytes: buffer.Bytes(), headerDigest: c.signKey.headerDigest(buffer.Bytes())}, nil
}

// AppendPrefixed writes the datagram made of a prefix and a body to buffer, which must be
// empty.
func (c *Codec) AppendPrefixed(buffer *bytes.Buffer, prefix Prefix, body []byte) error {
	buffer.Write(prefix.bytes)
	return c.appendBody(buffer, prefix.headerDigest, prefix.kind, body)
}

// AppendTo writes the datagram made of a header and a body to buffer, which must be empty.
// It sets the header's version. It fails with ErrSize if the datagram is larger than MaxSize,
// since the receiver would reject it.
func (c *Codec) AppendTo(buffer *bytes.Buffer, header *Header, body []byte) error {
	header.Version = Version
	if err := c.encoder.MarshalToBuffer(header, buffer); err != nil {
		return fmt.Errorf("encode header: %w", err)
	}
	return c.appendBody(buffer, c.signKey.headerDigest(buffer.Bytes()), header.Kind, body)
}

// appendBody appends the authentication tag and the body to an encoded header.
func (c *Codec) appendBody(buffer *bytes.Buffer, digest uint64, kind Kind, body []byte) error {
	c.tag = c.signKey.tag(digest, authenticatedPart(kind, body))
	if err := c.encoder.MarshalToBuffer(&c.tag, buffer); err != nil {
		return fmt.Errorf("encode tag: %w", err)
	}
	if buffer.Len()+len(body) > MaxSize {
		return ErrSize
	}
	buffer.Write(body)
	return nil
}

// Decode checks a datagram and decodes its header into header, whose Visited slice it
// reuses. It returns the body, a part of data. The error is one of ErrSize, ErrDecode,
// ErrVersion, ErrVisited and ErrTag.
func (c *Codec) Decode(data []byte, header *Header) ([]byte, error) {
	if len(data) > MaxSize {
		return nil, ErrSize
	}
	header.Visited = header.Visited[:0]
	rest, err := cbor.UnmarshalFirst(data, header)
	if err != nil {
		return nil, ErrDecode
	}
	if header.Version != Version {
		return nil, ErrVersion
	}
	if len(header.Visited) > MaxVisited {
		return nil, ErrVisited
	}
	signed := data[:len(data)-len(rest)]
	var tag uint64
	body, err := cbor.UnmarshalFirst(rest, &tag)
	if err != nil {
		return nil, ErrDecode
	}
	if !c.isAuthentic(signed, authenticatedPart(header.Kind, body), tag) {
		return nil, ErrTag
	}
	return body, nil
}

// isAuthentic reports whether the tag is that of an accepted key for the encoded header and
// the authenticated part of the body.
func (c *Codec) isAuthentic(signed, body []byte, tag uint64) bool {
	if len(c.acceptKeys) == 0 {
		return tag == 0
	}
	for _, key := range c.acceptKeys {
		if key.tag(key.headerDigest(signed), body) == tag {
			return true
		}
	}
	return false
}

// headerDigest returns the keyed hash of an encoded header. The tag is computed from it, so
// that datagrams with the same header hash it once.
func (k Key) headerDigest(header []byte) uint64 {
	if !k.set {
		return 0
	}
	return siphash.Hash(k.k0, k.k1, header)
}

// tag returns the authentication tag for the digest of a header and the authenticated part
// of a body.
func (k Key) tag(digest uint64, body []byte) uint64 {
	if !k.set {
		return 0
	}
	return siphash.Hash(k.k0^digest, k.k1, body)
}
