// Package datagram encodes the UDP datagrams that processes of the system
// exchange: a CBOR header followed by a body, as a CBOR sequence (RFC 8742). A
// packet's bytes follow the header as they are.
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

// Version is the header version this package reads and writes.
const Version = 1

// MaxVisited bounds the candidates a packet may have visited.
const MaxVisited = 256

// MaxSize is the largest datagram sent or accepted, in bytes.
const MaxSize = 4096

// authenticatedPacketBytes is how many bytes of a packet the tag covers: its IP and transport
// headers. Of other bodies it covers all.
const authenticatedPacketBytes = 64

func authenticatedPart(kind Kind, body []byte) []byte {
	if kind == Packet {
		return body[:min(len(body), authenticatedPacketBytes)]
	}
	return body
}

// Kind tells what follows the header.
type Kind uint8

// Kinds of datagram.
const (
	// Packet carries a caller's packet.
	Packet Kind = iota + 1
	// Hint tells a balancer which instance owns a flow.
	Hint
	// Probe asks a peer whether it is alive.
	Probe
	// ProbeReply answers a probe.
	ProbeReply
	// LoadReport carries an agent's load report to its siblings.
	LoadReport
	// Registration tells an agent of flows that the sender owns.
	Registration
	// OwnershipQuery asks an agent which of some flows it owns.
	OwnershipQuery
	// OwnershipReply answers an Ask.
	OwnershipReply
)

// Flags qualify a carried packet.
type Flags uint8

const (
	// Placed marks an opening packet whose primary has chosen the receiver.
	Placed Flags = 1 << iota
	// Searched marks a connectionless packet that no candidate owns.
	Searched
	// Relayed marks a packet whose sender could not reach the candidates that are
	// left.
	Relayed
	// Referred marks a packet that was passed to the registered owner of its flow.
	Referred
	// LookedUp marks a packet whose flow has been looked up.
	LookedUp
)

// Header precedes every datagram.
type Header struct {
	_               struct{} `cbor:",toarray"`
	Version         uint8
	Kind            Kind
	Flags           Flags
	To              uint64
	ToIncarnation   uint64
	From            uint64
	FromIncarnation uint64
	Service         uint64
	Revision        uint64
	Origin          uint64
	// Reply is the endpoint of the origin, packed by PackEndpoint.
	Reply   uint64
	Visited []uint64
}

// PackEndpoint encodes an IPv4 endpoint in a header field.
func PackEndpoint(endpoint netip.AddrPort) uint64 {
	if !endpoint.Addr().Is4() {
		return 0
	}
	ip := endpoint.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(endpoint.Port())
}

// UnpackEndpoint decodes an endpoint. It reports false if there is none.
func UnpackEndpoint(packed uint64) (netip.AddrPort, bool) {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(packed>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(packed)), packed != 0
}

// Reasons for which a datagram is refused.
var (
	ErrDecode  = errors.New("undecodable header")
	ErrVersion = errors.New("unknown header version")
	ErrTag     = errors.New("wrong authentication tag")
	ErrVisited = errors.New("too many visited candidates")
	ErrSize    = errors.New("oversized datagram")
)

// Key authenticates datagrams. The zero Key authenticates nothing.
type Key struct {
	k0, k1 uint64
	set    bool
}

// NewKey derives a key from a shared secret.
func NewKey(secret string) Key {
	if secret == "" {
		return Key{}
	}
	k0, k1 := siphash.Hash128(0, 0, []byte(secret))
	return Key{k0: k0, k1: k1, set: true}
}

// Codec encodes and decodes datagrams. It is not safe for concurrent use.
type Codec struct {
	encoder    cbor.UserBufferEncMode
	signKey    Key
	acceptKeys []Key
	// tag is the tag being encoded; a field, so that encoding it allocates nothing.
	tag uint64
}

// NewCodec returns a codec that signs with the first key and accepts any of
// them, so that keys can be rotated. Without keys datagrams carry a zero tag.
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

// Prefix is an encoded header. Datagrams that differ only in their body share
// one.
type Prefix struct {
	kind         Kind
	bytes        []byte
	headerDigest uint64
}

// NewPrefix encodes a header.
func (c *Codec) NewPrefix(header *Header) (Prefix, error) {
	header.Version = Version
	var buffer bytes.Buffer
	if err := c.encoder.MarshalToBuffer(header, &buffer); err != nil {
		return Prefix{}, fmt.Errorf("encode header: %w", err)
	}
	return Prefix{kind: header.Kind, bytes: buffer.Bytes(), headerDigest: c.signKey.headerDigest(buffer.Bytes())}, nil
}

// AppendPrefixed writes the datagram of a prefix and a body to an empty buffer.
func (c *Codec) AppendPrefixed(buffer *bytes.Buffer, prefix Prefix, body []byte) error {
	buffer.Write(prefix.bytes)
	return c.appendBody(buffer, prefix.headerDigest, prefix.kind, body)
}

// AppendTo writes the datagram of a header and a body to an empty buffer.
func (c *Codec) AppendTo(buffer *bytes.Buffer, header *Header, body []byte) error {
	header.Version = Version
	if err := c.encoder.MarshalToBuffer(header, buffer); err != nil {
		return fmt.Errorf("encode header: %w", err)
	}
	return c.appendBody(buffer, c.signKey.headerDigest(buffer.Bytes()), header.Kind, body)
}

func (c *Codec) appendBody(buffer *bytes.Buffer, digest uint64, kind Kind, body []byte) error {
	c.tag = c.signKey.tag(digest, authenticatedPart(kind, body))
	if err := c.encoder.MarshalToBuffer(&c.tag, buffer); err != nil {
		return fmt.Errorf("encode tag: %w", err)
	}
	buffer.Write(body)
	return nil
}

// Decode reads a datagram into header, reusing its memory, and returns the
// body, which refers to data.
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

// headerDigest computes the part of the tag that depends on the header only.
func (k Key) headerDigest(header []byte) uint64 {
	if !k.set {
		return 0
	}
	return siphash.Hash(k.k0, k.k1, header)
}

// tag computes the authentication tag from the header's digest and the part of the body
// that it covers.
func (k Key) tag(digest uint64, body []byte) uint64 {
	if !k.set {
		return 0
	}
	return siphash.Hash(k.k0^digest, k.k1, body)
}
