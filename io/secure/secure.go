// Package secure provides mutual TLS between daemons.
//
// # Usage
//
//	id, err := secure.Load(cfg.Security)     // nil if no files are set
//	ln = id.Listen(ln)
//	conn, err := id.Dial(ctx, dialer, "10.0.0.7:8082")
//	err = id.Reload()                        // reads the files again
//
// Both sides present a certificate of the same authority; a server's certificate
// must name the IP address that the client dialled. Connections opened after a
// reload use the new files. A peer without a valid certificate is refused and
// counted.
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync/atomic"

	"chicorymast/config"
	"chicorymast/core/fault"
)

// ErrUntrustedPeer is returned for a peer without a valid certificate.
var ErrUntrustedPeer = errors.New("the peer has no valid certificate of this fleet")

// Identity is this daemon's certificate and the authority that it trusts.
type Identity struct {
	cfg     config.Security
	current atomic.Pointer[certificates]
	// Refused counts peers without a valid certificate.
	Refused atomic.Int64
}

type certificates struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Load reads the files named in the settings; it returns nil if none are named.
func Load(cfg config.Security) (id *Identity, err error) {
	if !cfg.TLS() {
		return nil, nil
	}
	id = &Identity{cfg: cfg}
	return id, id.Reload()
}

// Reload reads the files again. If one is not valid, the earlier certificates
// stay in use.
func (id *Identity) Reload() (err error) {
	defer fault.Note(&err, "load certificates")
	cert, err := tls.LoadX509KeyPair(id.cfg.CertFile, id.cfg.KeyFile)
	if err != nil {
		return err
	}
	authority, err := os.ReadFile(id.cfg.CAFile)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New(id.cfg.CAFile + " contains no certificate")
	}
	id.current.Store(&certificates{cert: cert, pool: pool})
	return nil
}

// Listen returns a listener that requires TLS with a client certificate. For a
// nil identity it returns ln.
func (id *Identity) Listen(ln net.Listener) net.Listener {
	if id == nil {
		return ln
	}
	return tls.NewListener(ln, &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &id.current.Load().cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return id.verify(cs, "", x509.ExtKeyUsageClientAuth)
		},
	})
}

// Dial connects to an address, with TLS unless the identity is nil.
func (id *Identity) Dial(ctx context.Context, d *net.Dialer, address string) (conn net.Conn, err error) {
	conn, err = d.DialContext(ctx, "tcp", address)
	if err != nil || id == nil {
		return conn, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Client(conn, id.clientConfig(host))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// clientConfig verifies the server in VerifyConnection, so that the authority
// loaded last is used. The check of crypto/tls would use a fixed one.
func (id *Identity) clientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &id.current.Load().cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return id.verify(cs, host, x509.ExtKeyUsageServerAuth)
		},
	}
}

func (id *Identity) verify(cs tls.ConnectionState, host string, use x509.ExtKeyUsage) error {
	if len(cs.PeerCertificates) == 0 {
		id.Refused.Add(1)
		return ErrUntrustedPeer
	}
	options := x509.VerifyOptions{
		Roots: id.current.Load().pool, DNSName: host, KeyUsages: []x509.ExtKeyUsage{use}, Intermediates: x509.NewCertPool(),
	}
	for _, c := range cs.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := cs.PeerCertificates[0].Verify(options); err != nil {
		id.Refused.Add(1)
		return errors.Join(ErrUntrustedPeer, err)
	}
	return nil
}
