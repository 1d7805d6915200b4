package sequoiaquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request across its repeats. It is a cryptographic hash, so that no caller can make a request
// with the fingerprint of another caller's request.
type Fingerprint [16]byte

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Identity holds what the repeats of a request have in common. Identifiers and deadlines differ in each attempt, and a
// repeat may arrive at another instance.
type Identity struct {
	Method, Host string
	// Path includes the query.
	Path string
	// Key is the key that the request carries, and Caller the credentials of its caller; either may be empty.
	Key, Caller string
	Body        []byte
}

// Fingerprint returns the fingerprint of a request.
func (id Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	var length [8]byte
	write := func(b []byte) {
		// The length keeps two identities apart whose fields have the same bytes in total.
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		_, _ = h.Write(length[:]) // A hash never returns an error.
		_, _ = h.Write(b)
	}
	for _, s := range []string{id.Method, id.Host, id.Path, id.Key, id.Caller} {
		write([]byte(s))
	}
	write(id.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
