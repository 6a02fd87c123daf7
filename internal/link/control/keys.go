package control

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

// ErrAuthentication reports a message whose authentication code matches none of the keys.
var ErrAuthentication = errors.New("message authentication code matches no fleet key")

// Keys are the fleet's keys for the authentication of control messages by HMAC-SHA-256. The
// first key authenticates sent messages, and received ones may match any key, so that keys
// can be rotated. Without keys messages carry no authentication code and are not checked.
// There is no replay protection: a replayed message has no effect, since receivers ignore
// revisions and sequence numbers that are not higher than those they have.
type Keys [][]byte

// NewKeys returns the keys for shared secrets.
func NewKeys(secrets []string) Keys {
	keys := make(Keys, 0, len(secrets))
	for _, secret := range secrets {
		keys = append(keys, []byte(secret))
	}
	return keys
}

// sign returns the message followed by its authentication code.
func (k Keys) sign(message []byte) []byte {
	if len(k) == 0 {
		return message
	}
	return append(message[:len(message):len(message)], computeMAC(k[0], message)...)
}

// verify checks the authentication code at the end of signed and returns the message before
// it. The error is ErrAuthentication.
func (k Keys) verify(signed []byte) ([]byte, error) {
	if len(k) == 0 {
		return signed, nil
	}
	if len(signed) < sha256.Size {
		return nil, ErrAuthentication
	}
	message, sum := signed[:len(signed)-sha256.Size], signed[len(signed)-sha256.Size:]
	for _, key := range k {
		if hmac.Equal(sum, computeMAC(key, message)) {
			return message, nil
		}
	}
	return nil, ErrAuthentication
}

// computeMAC returns the HMAC-SHA-256 of a message.
func computeMAC(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(message)
	return mac.Sum(nil)
}
