// Package sequoiapeer carries messages between processes: control messages over QUIC and forwarded requests over
// pooled TCP connections. Both ends of every connection prove that they hold the deployment's shared key.
package sequoiapeer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// MinKeyLength is the minimum length of the shared key in bytes.
const MinKeyLength = 16

// Authentication errors.
var (
	// ErrKey reports a shared key that is too short.
	ErrKey = errors.New("the shared key has fewer than 16 bytes")
	// ErrUnauthenticated reports a peer that did not prove that it holds the shared key.
	ErrUnauthenticated = errors.New("the peer did not prove that it holds the shared key")
)

// HKDF labels, one per purpose, so that a proof made for one purpose is not valid for another.
const (
	labelAuthority = "sequoiaspring control certificate authority"
	labelReset     = "sequoiaspring control stateless reset"
	labelForward   = "sequoiaspring forward challenge"
)

// serverName is the DNS name in every certificate. Certificates contain no addresses, since those of instances change.
const serverName = "peer.sequoiaspring.invalid"

// controlProtocol is the ALPN protocol identifier. Its version changes with the format of control messages.
const controlProtocol = "sequoiaspring-control/1"

// Certificates have a fixed validity period, so that an instance with a wrong wall clock can still reach its peers.
var (
	validFrom  = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

func deriveKey(shared []byte, label string) ([]byte, error) {
	if len(shared) < MinKeyLength {
		return nil, errors.WithStack(ErrKey)
	}
	return hkdf.Key(sha256.New, shared, nil, label, sha256.Size)
}

// credentials are a process's certificate and the roots that it verifies peer certificates against.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// newCredentials derives the certificate authority's key, which is the same in every process, and issues a certificate
// for this process.
func newCredentials(shared []byte) (credentials, error) {
	seed, err := deriveKey(shared, labelAuthority)
	if err != nil {
		return credentials{}, err
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	authority, err := issueAuthority(authorityKey)
	if err != nil {
		return credentials{}, err
	}
	certificate, err := issueCertificate(authority, authorityKey)
	if err != nil {
		return credentials{}, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority)
	return credentials{certificate: certificate, roots: roots}, nil
}

func issueAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "sequoiaspring authority"},
		NotBefore:             validFrom,
		NotAfter:              validUntil,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "issue the authority's certificate")
	}
	return x509.ParseCertificate(der)
}

func issueCertificate(authority *x509.Certificate, authorityKey ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate the process's key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "choose a serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		DNSNames:     []string{serverName},
		NotBefore:    validFrom,
		NotAfter:     validUntil,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, authorityKey)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "issue the process's certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

func (c credentials) serverConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		ClientCAs:    c.roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{controlProtocol},
		// A session ticket adds a packet to each connection and saves little with Ed25519 certificates.
		SessionTicketsDisabled: true,
	}
}

func (c credentials) clientConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.roots,
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{controlProtocol},
	}
}
