// Package keys loads the TLS keys between the system's own processes.
//
// Each process has a certificate signed by the deployment's own authority and
// accepts only peers that have one too. Without keys the processes communicate in
// clear text, which Check allows on loopback addresses only.
//
// # Usage
//
//	var f keys.Files
//	f.Declare(&set)
//	if err := f.Check(listen); err != nil { ... }
//	server, err := f.Server()
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"verbenashift/core/plumbing/settings"
)

// Files holds the names of the PEM files of one process. The zero value means clear text.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// ClearTextError reports a listen address that is not on loopback and has no keys.
type ClearTextError struct {
	Address string
}

// Error names the address and what it needs.
func (e *ClearTextError) Error() string {
	return fmt.Sprintf("clear text is allowed on loopback only: %s needs a certificate and a key", e.Address)
}

// Declare adds the [tls] settings to s.
func (f *Files) Declare(s *settings.Set) {
	s.String("tls", "cert", &f.Cert, "", "PEM file of this process's certificate between processes; empty for clear text on loopback")
	s.String("tls", "key", &f.Key, "", "PEM file of its key")
	s.String("tls", "authority", &f.Authority, "", "PEM file of the authority that signs the processes' certificates")
}

// Set reports whether keys are configured.
func (f Files) Set() bool {
	return f.Cert != ""
}

// Check returns an error if processes would communicate in clear text on an address
// that other machines can reach.
func (f Files) Check(addr string) error {
	if f.Set() {
		return nil
	}
	return CheckClear(addr)
}

// CheckClear returns *ClearTextError if addr is not a loopback address.
func CheckClear(addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Wrap(err, "listen address")
	}
	if !ap.Addr().IsLoopback() {
		return &ClearTextError{Address: addr}
	}
	return nil
}

// Server returns the TLS configuration of a listener that requires client
// certificates, or nil without keys.
func (f Files) Server() (*tls.Config, error) {
	cfg, pool, err := f.load()
	if cfg == nil || err != nil {
		return nil, err
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs = pool
	return cfg, nil
}

// Client returns the TLS configuration of a dialer, or nil without keys.
func (f Files) Client() (*tls.Config, error) {
	cfg, pool, err := f.load()
	if cfg == nil || err != nil {
		return nil, err
	}
	cfg.RootCAs = pool
	return cfg, nil
}

func (f Files) load() (*tls.Config, *x509.CertPool, error) {
	if !f.Set() {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load [tls] cert and key")
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load [tls] authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("no certificate in [tls] authority %s", f.Authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}, pool, nil
}
