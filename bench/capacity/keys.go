package capacity

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/bench/figure"
	"verbenashift/core/peer"
)

// measureMutualTLS measures the first heartbeat on a connection with mutual TLS.
// Most heartbeats to a random agent are the first on their connection.
func measureMutualTLS(ctx context.Context) ([]figure.Figure, error) {
	cert, pool, err := selfSignedCert()
	if err != nil {
		return nil, err
	}
	server := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}
	var t traffic
	s, addr, err := listenTLS(&stubAgent{name: "server-0670"}, "127.0.59.1:0", &t, server)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	const rounds = 100
	cpu, bytes := cpuTime(), t.bytes.Load()
	for range rounds {
		d := peer.NewDialer(peer.DialConfig{TLS: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool,
		}})
		if err := exchange(ctx, d, addr, heartbeat()); err != nil {
			return nil, err
		}
		d.Close()
	}
	spent := cpuTime() - cpu
	return []figure.Figure{
		{
			Name: "capacity-exchange-first-bytes-with-keys", Value: float64(t.bytes.Load()-bytes) / rounds, Unit: "bytes",
			Note: "on a new connection with TLS 1.3 and ECDSA P-256 keys at both ends, both directions, above TCP",
		},
		{
			Name: "capacity-exchange-first-cpu-with-keys", Value: spent.Seconds() * 1e6 / rounds / 2, Unit: "us",
			Note: "of one end, with the making of the client",
		},
	}, nil
}

// selfSignedCert returns a self-signed certificate for 127.0.59.1, and a pool
// that contains it.
func selfSignedCert() (tls.Certificate, *x509.CertPool, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "verbenashift"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 59, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "sign certificate")
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "parse certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool, nil
}
