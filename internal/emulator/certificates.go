package emulator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/verbenastand/verbenastand/certifier"
)

const certificateLifetime = 24 * time.Hour

// WriteCertificates creates a certificate authority and a host certificate and writes
// them to a directory. The private key of the authority is not written.
func WriteCertificates(directory string) (certifier.Config, error) {
	files := certifier.Config{
		CertFile: filepath.Join(directory, "host.pem"),
		KeyFile:  filepath.Join(directory, "host-key.pem"),
		CAFile:   filepath.Join(directory, "ca.pem"),
	}
	authority := newTemplate(1, "verbenastand test authority")
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("emulator: %w", err)
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return files, fmt.Errorf("emulator: %w", err)
	}
	host := newTemplate(2, certifier.ServerName)
	host.DNSNames = []string{certifier.ServerName}
	host.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	hostKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("emulator: %w", err)
	}
	hostDER, err := x509.CreateCertificate(rand.Reader, host, authority, &hostKey.PublicKey, authorityKey)
	if err != nil {
		return files, fmt.Errorf("emulator: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(hostKey)
	if err != nil {
		return files, fmt.Errorf("emulator: %w", err)
	}
	blocks := []struct {
		name, kind string
		data       []byte
	}{
		{files.CAFile, "CERTIFICATE", authorityDER},
		{files.CertFile, "CERTIFICATE", hostDER},
		{files.KeyFile, "EC PRIVATE KEY", keyDER},
	}
	for _, b := range blocks {
		text := pem.EncodeToMemory(&pem.Block{Type: b.kind, Bytes: b.data})
		if err := os.WriteFile(b.name, text, 0o600); err != nil {
			return files, fmt.Errorf("emulator: %w", err)
		}
	}
	return files, nil
}

func newTemplate(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
	}
}
