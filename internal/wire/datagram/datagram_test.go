package datagram

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// encode returns the datagram of a header and a body.
func encode(tb testing.TB, header *Header, body []byte, keys ...Key) []byte {
	codec, err := NewCodec(keys...)
	require.NoError(tb, err)
	var buffer bytes.Buffer
	require.NoError(tb, codec.AppendTo(&buffer, header, body))
	return buffer.Bytes()
}

// decode decodes a datagram with a codec of its own.
func decode(tb testing.TB, data []byte, keys ...Key) (*Header, []byte, error) {
	codec, err := NewCodec(keys...)
	require.NoError(tb, err)
	header := new(Header)
	body, err := codec.Decode(data, header)
	return header, body, err
}

// sample returns the header of a packet that has visited two candidates.
func sample() *Header {
	return &Header{Kind: Packet, To: 1, ToIncarnation: 2, From: 3, Service: 4, Revision: 5, Visited: []uint64{6, 7}}
}

func TestDecodeRestoresEncodedDatagram(t *testing.T) {
	body := []byte("a packet")
	header, got, err := decode(t, encode(t, sample(), body))
	require.NoError(t, err)
	require.Equal(t, body, got)
	require.Equal(t, sample().Visited, header.Visited)
}

// Datagrams with a shared prefix must equal those whose header is encoded each time.
func TestPrefixEncodesSameBytesAsHeader(t *testing.T) {
	key := NewKey("a shared secret of the fleet")
	codec, err := NewCodec(key)
	require.NoError(t, err)
	prefix, err := codec.NewPrefix(sample())
	require.NoError(t, err)
	var buffer bytes.Buffer
	require.NoError(t, codec.AppendPrefixed(&buffer, prefix, []byte("body")))
	require.Equal(t, encode(t, sample(), []byte("body"), key), buffer.Bytes())
}

func TestDecodeRejectsInvalidDatagrams(t *testing.T) {
	old, current, foreign := NewKey("old key of the fleet"), NewKey("new key of the fleet"), NewKey("key of another fleet")
	body := []byte("a packet with headers")
	changed := encode(t, sample(), body, current)
	changed[len(changed)-1] ^= 1
	otherVersion := encode(t, sample(), body)
	otherVersion[1] = 9
	long := sample()
	long.Visited = make([]uint64, MaxVisited+1)
	tests := []struct {
		name string
		data []byte
		keys []Key
		want error
	}{
		{"current key", encode(t, sample(), body, current), []Key{current, old}, nil},
		{"old key during rotation", encode(t, sample(), body, old), []Key{current, old}, nil},
		{"foreign key", encode(t, sample(), body, foreign), []Key{current, old}, ErrTag},
		{"no key", encode(t, sample(), body), []Key{current}, ErrTag},
		{"key where none is set", encode(t, sample(), body, current), nil, ErrTag},
		{"changed body", changed, []Key{current}, ErrTag},
		{"empty", nil, nil, ErrDecode},
		{"truncated", encode(t, sample(), body)[:10], nil, ErrDecode},
		{"oversized", make([]byte, MaxSize+1), nil, ErrSize},
		{"other version", otherVersion, nil, ErrVersion},
		{"too many visited", encode(t, long, body), nil, ErrVisited},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := decode(t, test.data, test.keys...)
			require.Equal(t, test.want, err)
		})
	}
}

// Guards against datagrams that every receiver rejects.
func TestOversizedDatagramIsNotEncoded(t *testing.T) {
	codec, err := NewCodec()
	require.NoError(t, err)
	require.ErrorIs(t, codec.AppendTo(new(bytes.Buffer), sample(), make([]byte, MaxSize)), ErrSize)
	prefix, err := codec.NewPrefix(sample())
	require.NoError(t, err)
	require.ErrorIs(t, codec.AppendPrefixed(new(bytes.Buffer), prefix, make([]byte, MaxSize)), ErrSize)
	require.NoError(t, codec.AppendTo(new(bytes.Buffer), sample(), make([]byte, MaxSize/2)))
}

// Decode must not panic on arbitrary bytes, and must reject every header version but Version.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, sample(), []byte("a packet")))
	f.Add([]byte{})
	f.Add([]byte{0x8b, 0x01})
	codec, err := NewCodec()
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		header := new(Header)
		body, err := codec.Decode(data, header)
		if err == nil {
			require.LessOrEqual(t, len(body), len(data))
			require.EqualValues(t, Version, header.Version)
		}
	})
}
