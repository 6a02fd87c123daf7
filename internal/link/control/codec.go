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

// Encodings of a message. The first byte of an encoded message is one of them.
const (
	encodingPlain byte = iota
	encodingDeflate
)

// minDeflateSize is the size from which messages are compressed, in bytes. Compression shrinks
// whole documents to a tenth of their size, and some instances have links of only 10 Mbit/s.
const minDeflateSize = 4 << 10

// errUnknownEncoding reports an empty message or one whose first byte is not an encoding.
var errUnknownEncoding = errors.New("unknown message encoding")

// errMessageTooLarge reports a message that has more than maxMessageSize bytes after decompression.
var errMessageTooLarge = fmt.Errorf("message has more than %d bytes", maxMessageSize)

// encoder encodes times to the nanosecond: an agent compares the start of its backend server with
// its own.
var encoder = mustEncoder()

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode()
	if err != nil {
		// The options are constants that the library supports.
		panic(err)
	}
	return mode
}

// Encode returns the encoded message: one byte for the encoding, then the CBOR of the message,
// compressed by DEFLATE from minDeflateSize on.
func Encode(message *control.Message) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(encodingPlain)
	if err := encoder.MarshalToBuffer(message, &buffer); err != nil {
		return nil, fmt.Errorf("encode control message: %w", err)
	}
	if buffer.Len() < minDeflateSize {
		return buffer.Bytes(), nil
	}
	return deflate(buffer.Bytes()[1:])
}

// deflate returns an encoded message whose CBOR is compressed.
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

// inflate decompresses the CBOR of a message. It fails with errMessageTooLarge beyond
// maxMessageSize.
func inflate(body []byte) ([]byte, error) {
	inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxMessageSize+1))
	if err != nil {
		return nil, fmt.Errorf("inflate control message: %w", err)
	}
	if len(inflated) > maxMessageSize {
		return nil, fmt.Errorf("inflate control message: %w", errMessageTooLarge)
	}
	return inflated, nil
}

// Decode decodes a message. It fails for a compressed message that is larger than
// maxMessageSize after decompression.
func Decode(data []byte) (*control.Message, error) {
	if len(data) == 0 {
		return nil, errUnknownEncoding
	}
	body := data[1:]
	switch data[0] {
	case encodingPlain:
	case encodingDeflate:
		inflated, err := inflate(body)
		if err != nil {
			return nil, err
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
