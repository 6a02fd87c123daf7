package control

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

// ErrAuthentication reports a message that no fleet key authenticates.
var ErrAuthentication = errors.New("wrong authentication code")

// Keys authenticate control messages with HMAC-SHA-256. The first key signs, and
// every one is accepted. Without keys messages carry no code. A replayed message
// does no harm: revisions and sequences only grow.
type Keys [][]byte

// NewKeys returns the keys made of shared secrets.
func NewKeys(secrets []string) Keys {
	keys := make(Keys, 0, len(secrets))
	for _, secret := range secrets {
		keys = append(keys, []byte(secret))
	}
	return keys
}

// sign returns the message followed by its code.
func (k Keys) sign(message []byte) []byte {
	if len(k) == 0 {
		return message
	}
	return append(message[:len(message):len(message)], computeMAC(k[0], message)...)
}

// verify checks the code at the end and returns the message before it.
func (k Keys) verify(sealed []byte) ([]byte, error) {
	if len(k) == 0 {
		return sealed, nil
	}
	if len(sealed) < sha256.Size {
		return nil, ErrAuthentication
	}
	message, sum := sealed[:len(sealed)-sha256.Size], sealed[len(sealed)-sha256.Size:]
	for _, key := range k {
		if hmac.Equal(sum, computeMAC(key, message)) {
			return message, nil
		}
	}
	return nil, ErrAuthentication
}

func computeMAC(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(message)
	return mac.Sum(nil)
}
