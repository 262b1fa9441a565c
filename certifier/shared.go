package certifier

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"
)

// Validity period of derived certificates. It is long because the clocks of hosts
// may be wrong by any amount; trust is based on the secret alone.
var (
	certificateNotBefore = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	certificateNotAfter  = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// authorityKeyContext makes the derived key differ from keys that are derived from
// the same secret for other purposes.
const authorityKeyContext = "verbenastand deployment authority 1\x00"

// NewSharedCertifier derives the certificate authority of a deployment from a secret
// that all its hosts share, and issues a certificate for this host in memory. Anyone
// who knows the secret can join the deployment.
func NewSharedCertifier(secret string) (*Certifier, error) {
	seed := sha256.Sum256([]byte(authorityKeyContext + secret))
	authorityKey := ed25519.NewKeyFromSeed(seed[:])
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "verbenastand"},
		NotBefore: certificateNotBefore, NotAfter: certificateNotAfter, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	root, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	hostPublic, hostKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	host := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: ServerName}, DNSNames: []string{ServerName},
		NotBefore: certificateNotBefore, NotAfter: certificateNotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	hostDER, err := x509.CreateCertificate(rand.Reader, host, root, hostPublic, authorityKey)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	c := &Certifier{}
	c.current.Store(&credentials{
		certificate: tls.Certificate{Certificate: [][]byte{hostDER}, PrivateKey: hostKey}, authorities: pool,
	})
	return c, nil
}
