package keyring

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs certificates for tests.
type authority struct {
	t      *testing.T
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.key = a.newKey()
	der := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}, nil, &a.key.PublicKey)
	var err error
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey) []byte {
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	if parent == nil {
		parent = template
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	require.NoError(a.t, err)
	return der
}

// files writes a new certificate with its key, and the certificate of the given
// authority as the trust file.
func (a *authority) files(dir string, trust *authority) Files {
	key := a.newKey()
	der := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	f := Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	a.write(f.Certificate, "CERTIFICATE", der)
	a.write(f.Key, "EC PRIVATE KEY", keyDER)
	if trust != nil {
		f.Trust = filepath.Join(dir, "trust.pem")
		a.write(f.Trust, "CERTIFICATE", trust.cert.Raw)
	}
	return f
}

func (a *authority) write(file, kind string, der []byte) {
	require.NoError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	// Two writes may get the same modification time if the file system's timestamps
	// are too coarse.
	when := time.Now().Add(time.Duration(a.serial) * time.Second)
	require.NoError(a.t, os.Chtimes(file, when, when))
}

func serve(t *testing.T, k *Keyring) string {
	require.NoError(t, k.Load())
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Listener = tls.NewListener(s.Listener, k.Server())
	s.Start()
	t.Cleanup(s.Close)
	return "https://" + s.Listener.Addr().String()
}

func get(k *Keyring, url string) error {
	c := http.Client{Transport: &http.Transport{DialTLSContext: k.Dial, DisableKeepAlives: true}}
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// TestMutualTLS checks which pairs of client and server can connect. With a trust
// file, a peer without a certificate or with one of another authority must be
// rejected.
func TestMutualTLS(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	tests := []struct {
		name           string
		server, client func(dir string) Files
		ok             bool
	}{
		{"mutual", func(d string) Files { return trusted.files(d, trusted) }, func(d string) Files { return trusted.files(d, trusted) }, true},
		{"client of another authority", func(d string) Files { return trusted.files(d, trusted) }, func(d string) Files { return other.files(d, trusted) }, false},
		{"server of another authority", func(d string) Files { return other.files(d, trusted) }, func(d string) Files { return trusted.files(d, trusted) }, false},
		{"client without a certificate", func(d string) Files { return trusted.files(d, trusted) }, func(d string) Files { return Files{Trust: trusted.files(d, trusted).Trust} }, false},
		{"client without a certificate, no trust file", func(d string) Files { return trusted.files(d, nil) }, func(d string) Files { return Files{Trust: trusted.files(d, trusted).Trust} }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url := serve(t, &Keyring{Files: tt.server(t.TempDir())})
			client := &Keyring{Files: tt.client(t.TempDir())}
			require.NoError(t, client.Load())
			err := get(client, url)
			require.Equal(t, tt.ok, err == nil, "%v", err)
		})
	}
}

// TestChangedFilesAreReloaded replaces the server's files while it runs. In
// between, the key file is invalid, and the previous keys must stay in use.
func TestChangedFilesAreReloaded(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	serverDir := t.TempDir()
	var numErrors int
	server := &Keyring{Files: before.files(serverDir, before), OnError: func(error) { numErrors++ }}
	url := serve(t, server)
	old, fresh := &Keyring{Files: before.files(t.TempDir(), before)}, &Keyring{Files: after.files(t.TempDir(), after)}
	require.NoError(t, old.Load())
	require.NoError(t, fresh.Load())
	require.NoError(t, get(old, url))
	require.Error(t, get(fresh, url))

	require.NoError(t, os.WriteFile(server.Files.Key, []byte("half"), 0o600))
	require.NoError(t, get(old, url), "the old keys stay in use while the new files are invalid")
	server.mu.Lock()
	require.Positive(t, numErrors)
	server.mu.Unlock()

	after.serial = 100
	after.files(serverDir, after)
	require.NoError(t, get(fresh, url))
	require.Error(t, get(old, url))
}

func TestLoadErrors(t *testing.T) {
	a := newAuthority(t)
	f := a.files(t.TempDir(), a)
	noKey, noTrust, badTrust := f, f, f
	noKey.Key = "absent"
	noTrust.Trust = "absent"
	badTrust.Trust = f.Key
	for _, bad := range []Files{noKey, noTrust, badTrust} {
		require.Error(t, (&Keyring{Files: bad}).Load())
	}
}
