// Package certifier provides the TLS certificate, key and certificate authority of a
// host. It loads them from files and reloads changed files, or derives them from a
// shared secret.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// ServerName is the DNS name in the certificate of every host.
const ServerName = "entry.verbenastand"

// Config holds the names of the files, which are in PEM format.
type Config struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	modified    [3]time.Time
}

// Certifier holds the current certificate and certificate authorities.
type Certifier struct {
	config  Config
	current atomic.Pointer[credentials]
}

// NewCertifier loads the files.
func NewCertifier(c Config) (*Certifier, error) {
	f := &Certifier{config: c}
	creds, err := f.load()
	if err != nil {
		return nil, err
	}
	f.current.Store(creds)
	return f, nil
}

func (c *Certifier) modified() ([3]time.Time, error) {
	var times [3]time.Time
	for i, name := range []string{c.config.CertFile, c.config.KeyFile, c.config.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return times, fmt.Errorf("certifier: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (c *Certifier) load() (*credentials, error) {
	modified, err := c.modified()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(c.config.CertFile, c.config.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	pem, err := os.ReadFile(c.config.CAFile)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("certifier: the CA file contains no certificate")
	}
	return &credentials{certificate: certificate, authorities: pool, modified: modified}, nil
}

// Reload loads the files again if any of them has changed, and reports whether it
// did. If that fails, the old certificate and authorities stay in use.
func (c *Certifier) Reload() (bool, error) {
	modified, err := c.modified()
	if err != nil {
		return false, err
	}
	if modified == c.current.Load().modified {
		return false, nil
	}
	creds, err := c.load()
	if err != nil {
		return false, err
	}
	c.current.Store(creds)
	return true, nil
}

// ServerConfig returns a configuration that requires every client to present a
// certificate of the deployment's authority.
func (c *Certifier) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := c.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{creds.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    creds.authorities,
			}, nil
		},
	}
}

// ClientConfig returns a configuration for a connection to another host. It does
// not pick up later reloads.
func (c *Certifier) ClientConfig(protocols ...string) *tls.Config {
	creds := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		ServerName:   ServerName,
		Certificates: []tls.Certificate{creds.certificate},
		RootCAs:      creds.authorities,
	}
}
