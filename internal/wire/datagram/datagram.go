// Package datagram encodes the UDP datagrams that processes of the system
// exchange: a CBOR header followed by a body, as a CBOR sequence (RFC 8742). A
// packet's bytes follow the header as they are.
package datagram

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/dchest/siphash"
	"github.com/fxamacker/cbor/v2"
)

// Version is the header version this package reads and writes.
const Version = 1

// MaxVisited bounds the candidates a packet may have visited.
const MaxVisited = 64

// MaxSize is the largest datagram sent or accepted, in bytes.
const MaxSize = 4096

// authenticatedBody is how many bytes of the body the tag covers: the IP and
// transport headers of a packet, and the whole of every control body in use.
const authenticatedBody = 64

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
	// ProbeAnswer answers a probe.
	ProbeAnswer
	// Load carries an agent's load report to its siblings.
	Load
)

// Flags qualify a carried packet.
type Flags uint8

const (
	// Placed marks an opening packet whose primary has chosen the receiver.
	Placed Flags = 1 << iota
	// Searched marks a connectionless packet that no candidate owns.
	Searched
	// Hinted marks a packet that was sent on the strength of a hint.
	Hinted
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
	Visited         []uint64
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
	encoder cbor.UserBufferEncMode
	sign    Key
	accept  []Key
	buffer  bytes.Buffer
}

// NewCodec returns a codec that signs with the first key and accepts any of
// them, so that keys can be rotated. Without keys datagrams carry a zero tag.
func NewCodec(keys ...Key) (*Codec, error) {
	encoder, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		return nil, fmt.Errorf("set up CBOR encoder: %w", err)
	}
	codec := &Codec{encoder: encoder, accept: keys}
	if len(keys) > 0 {
		codec.sign = keys[0]
	}
	return codec, nil
}

// Encode returns the datagram for a header and a body. The result is valid
// until the next call.
func (c *Codec) Encode(header *Header, body []byte) ([]byte, error) {
	c.buffer.Reset()
	return c.AppendTo(&c.buffer, header, body)
}

// AppendTo writes the datagram to an empty buffer and returns its bytes.
func (c *Codec) AppendTo(buffer *bytes.Buffer, header *Header, body []byte) ([]byte, error) {
	header.Version = Version
	if err := c.encoder.MarshalToBuffer(header, buffer); err != nil {
		return nil, fmt.Errorf("encode header: %w", err)
	}
	tag := c.sign.tag(buffer.Bytes(), body)
	if err := c.encoder.MarshalToBuffer(tag, buffer); err != nil {
		return nil, fmt.Errorf("encode tag: %w", err)
	}
	buffer.Write(body)
	return buffer.Bytes(), nil
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
	if !c.isAuthentic(signed, body, tag) {
		return nil, ErrTag
	}
	return body, nil
}

func (c *Codec) isAuthentic(signed, body []byte, tag uint64) bool {
	if len(c.accept) == 0 {
		return tag == 0
	}
	for _, key := range c.accept {
		if key.tag(signed, body) == tag {
			return true
		}
	}
	return false
}

// tag computes the authentication tag of a header and the start of its body.
func (k Key) tag(header, body []byte) uint64 {
	if !k.set {
		return 0
	}
	covered := body[:min(len(body), authenticatedBody)]
	first := siphash.Hash(k.k0, k.k1, header)
	return siphash.Hash(k.k0^first, k.k1, covered)
}
