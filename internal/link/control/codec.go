package control

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/radishmast/radishmast/internal/core/control"
)

// How a message is encoded, as its first byte tells.
const (
	encodingPlain byte = iota
	encodingDeflate
)

// minDeflateSize is the size from which messages are deflated, in bytes. Whole documents shrink
// to a tenth, and some instances have links of 10 Mbit/s.
const minDeflateSize = 4 << 10

// errUnknownEncoding reports a message in a form that is not known.
var errUnknownEncoding = errors.New("unknown form of message")

// Encode returns the bytes of a message.
func Encode(message *control.Message) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(encodingPlain)
	if err := cbor.MarshalToBuffer(message, &buffer); err != nil {
		return nil, fmt.Errorf("encode control message: %w", err)
	}
	if buffer.Len() < minDeflateSize {
		return buffer.Bytes(), nil
	}
	return deflate(buffer.Bytes()[1:])
}

func deflate(data []byte) ([]byte, error) {
	var deflated bytes.Buffer
	deflated.WriteByte(encodingDeflate)
	writer, err := flate.NewWriter(&deflated, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("deflate control message: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("deflate control message: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("deflate control message: %w", err)
	}
	return deflated.Bytes(), nil
}

// Decode reads a message. One that would be larger than allowed is refused.
func Decode(data []byte) (*control.Message, error) {
	if len(data) == 0 {
		return nil, errUnknownEncoding
	}
	body := data[1:]
	switch data[0] {
	case encodingPlain:
	case encodingDeflate:
		inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxMessageSize))
		if err != nil {
			return nil, fmt.Errorf("inflate control message: %w", err)
		}
		body = inflated
	default:
		return nil, errUnknownEncoding
	}
	message := new(control.Message)
	if err := cbor.Unmarshal(body, message); err != nil {
		return nil, fmt.Errorf("decode control message: %w", err)
	}
	return message, nil
}
