package sequoiapeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/pkg/errors"
)

const nonceSize = 32

// The role is part of the MAC input, so that a proof cannot be reflected to the side that produced it.
const (
	roleServer = "server"
	roleClient = "client"
)

// challenge is the mutual challenge-response authentication of a forwarding connection. The client sends Hello with its
// nonce; the server replies with Challenge, its own nonce and its proof; the client sends Proof and Ping, and sends
// requests once it has received Pong.
type challenge struct {
	key         []byte
	clientNonce [nonceSize]byte
	serverNonce [nonceSize]byte
}

// newChallenge returns a challenge with two random nonces. Each side replaces the peer's nonce when it receives it.
func newChallenge(key []byte) *challenge {
	c := &challenge{key: key}
	_, _ = rand.Read(c.clientNonce[:])
	_, _ = rand.Read(c.serverNonce[:])
	return c
}

func (c *challenge) proof(role string) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write([]byte(role))
	mac.Write(c.clientNonce[:])
	mac.Write(c.serverNonce[:])
	return mac.Sum(nil)
}

// answerHello processes Hello on the server. It returns the payload of Challenge, or ErrFrame.
func (c *challenge) answerHello(hello []byte) ([]byte, error) {
	if len(hello) != nonceSize {
		return nil, errors.Wrapf(ErrFrame, "hello of %d bytes", len(hello))
	}
	copy(c.clientNonce[:], hello)
	return append(c.serverNonce[:], c.proof(roleServer)...), nil
}

// answerChallenge processes Challenge on the client. It returns the payload of Proof, ErrFrame or ErrUnauthenticated.
func (c *challenge) answerChallenge(payload []byte) ([]byte, error) {
	if len(payload) != nonceSize+sha256.Size {
		return nil, errors.Wrapf(ErrFrame, "challenge of %d bytes", len(payload))
	}
	copy(c.serverNonce[:], payload)
	if !hmac.Equal(payload[nonceSize:], c.proof(roleServer)) {
		return nil, errors.WithStack(ErrUnauthenticated)
	}
	return c.proof(roleClient), nil
}

// checkProof verifies Proof on the server. It returns ErrUnauthenticated on a mismatch.
func (c *challenge) checkProof(payload []byte) error {
	if !hmac.Equal(payload, c.proof(roleClient)) {
		return errors.WithStack(ErrUnauthenticated)
	}
	return nil
}
