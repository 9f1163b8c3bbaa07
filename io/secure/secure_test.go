package secure

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chicorymast/config"

	"gotest.tools/v3/assert"
)

// authority issues certificates for tests.
type authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t), next: 2}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Unix(0, 0),
		NotAfter: time.Unix(1<<33, 0), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return a
}

// issue writes a new certificate, its key and the authority's certificate to dir.
func (a *authority) issue(dir string, ip net.IP) config.Security {
	a.t.Helper()
	key := newKey(a.t)
	a.next++
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0), IPAddresses: []net.IP{ip},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	root, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	cfg := config.Security{
		CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca"),
	}
	for path, block := range map[string]*pem.Block{
		cfg.CertFile: {Type: "CERTIFICATE", Bytes: der},
		cfg.KeyFile:  {Type: "PRIVATE KEY", Bytes: keyDER},
		cfg.CAFile:   {Type: "CERTIFICATE", Bytes: root},
	} {
		assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
	return cfg
}

func (a *authority) identity(ip string) *Identity {
	a.t.Helper()
	id, err := Load(a.issue(a.t.TempDir(), net.ParseIP(ip)))
	assert.NilError(a.t, err)
	return id
}

// serve writes one byte to every connection with a valid certificate.
func serve(t testing.TB, id *Identity) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	tlsListener := id.Listen(ln)
	go func() {
		for {
			conn, err := tlsListener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Write([]byte("x"))
				_ = conn.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// connect dials and reads to the end; either step can be refused.
func connect(id *Identity, address string) error {
	conn, err := id.Dial(context.Background(), &net.Dialer{}, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = io.ReadAll(conn)
	return err
}

func TestPeersOfOneAuthorityConnect(t *testing.T) {
	a := newAuthority(t)
	assert.NilError(t, connect(a.identity("127.0.0.2"), serve(t, a.identity("127.0.0.1"))))
}

func TestUntrustedPeersAreRefusedAndCounted(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	server := a.identity("127.0.0.1")
	address := serve(t, server)
	t.Run("client of another authority", func(t *testing.T) {
		assert.Assert(t, connect(other.identity("127.0.0.1"), address) != nil)
	})
	t.Run("no TLS", func(t *testing.T) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		_, _ = conn.Write([]byte("hello, I speak no TLS\n"))
		got, _ := io.ReadAll(conn)
		assert.Assert(t, string(got) != "x")
	})
	t.Run("server under another IP", func(t *testing.T) {
		client := a.identity("127.0.0.1")
		assert.ErrorIs(t, connect(client, serve(t, a.identity("127.0.0.9"))), ErrUntrustedPeer)
		assert.Equal(t, client.Refused.Load(), int64(1))
	})
}

func TestReloadWithoutRestart(t *testing.T) {
	old, replacement := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	server, err := Load(old.issue(dir, net.ParseIP("127.0.0.1")))
	assert.NilError(t, err)
	address := serve(t, server)
	assert.NilError(t, connect(old.identity("127.0.0.1"), address))
	replacement.issue(dir, net.ParseIP("127.0.0.1"))
	assert.NilError(t, server.Reload())
	assert.NilError(t, connect(replacement.identity("127.0.0.1"), address))
	assert.Assert(t, connect(old.identity("127.0.0.1"), address) != nil)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "key"), []byte("broken"), 0o600))
	assert.Assert(t, server.Reload() != nil)
	assert.NilError(t, connect(replacement.identity("127.0.0.1"), address), "invalid files must change nothing")
}

func TestNoTLSWithoutCertificates(t *testing.T) {
	id, err := Load(config.Security{})
	assert.NilError(t, err)
	assert.NilError(t, connect(id, serve(t, id)))
}
