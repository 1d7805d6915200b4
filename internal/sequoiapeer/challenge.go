package sequoiapeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/pkg/errors"
)

const nonceSize = 32

// Roles are part of a proof, so that one side's proof cannot be sent back to it as the other's.
const (
	roleServer = "server"
	roleClient = "client"
)

// challenge is the mutual authentication that opens a forwarding connection. The client sends Hello with its nonce; the
// server answers Challenge with its own nonce and its proof; the client sends Proof and a Ping, and after the Pong requests.
type challenge struct {
	key         []byte
	clientNonce [nonceSize]byte
	serverNonce [nonceSize]byte
}

// newChallenge returns a challenge in which both nonces are random. The side that learns the other's replaces it.
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

// answerHello is the server's step. It returns the payload of Challenge, or ErrFrame.
func (c *challenge) answerHello(hello []byte) ([]byte, error) {
	if len(hello) != nonceSize {
		return nil, errors.Wrapf(ErrFrame, "hello of %d bytes", len(hello))
	}
	copy(c.clientNonce[:], hello)
	return append(c.serverNonce[:], c.proof(roleServer)...), nil
}

// answerChallenge is the client's step. It returns the payload of Proof, or ErrFrame or ErrUnauthenticated.
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

// checkProof is the server's last step. It returns ErrUnauthenticated.
func (c *challenge) checkProof(payload []byte) error {
	if !hmac.Equal(payload, c.proof(roleClient)) {
		return errors.WithStack(ErrUnauthenticated)
	}
	return nil
}
