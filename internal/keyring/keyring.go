// Package keyring keeps the keys and the trust of one kind of connection, read
// from files.
//
// The files are looked at before every handshake and read again when they have
// changed, so that keys are replaced without a restart. While the new files do
// not fit together, as in the middle of a replacement, the old keys stay.
//
// With a trust file, both ends of a connection must show a certificate that it
// vouches for (mutual TLS). Without one, a server accepts every client.
package keyring

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files names the files of a Keyring, in PEM.
type Files struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Trust holds the certificates of the authorities that the other end needs.
	Trust string `toml:"trust"`
}

// IsZero reports whether no file is named.
func (f Files) IsZero() bool {
	return f == Files{}
}

// Keyring holds the keys of its files. Files must be set.
type Keyring struct {
	Files Files
	// OnError, if set, hears why changed files were not taken over.
	OnError func(error)

	mu      sync.Mutex
	stamps  [3]stamp
	current keys
}

type keys struct {
	certificates []tls.Certificate
	trust        *x509.CertPool // nil for none
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files for the first time.
func (k *Keyring) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readLocked()
}

func (k *Keyring) readLocked() error {
	stamps := k.stat()
	fresh, err := k.Files.read()
	if err != nil {
		return err
	}
	k.current, k.stamps = fresh, stamps
	return nil
}

func (k *Keyring) stat() [3]stamp {
	var out [3]stamp
	for i, f := range []string{k.Files.Certificate, k.Files.Key, k.Files.Trust} {
		if info, err := os.Stat(f); err == nil {
			out[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return out
}

func (f Files) read() (keys, error) {
	var out keys
	if f.Certificate != "" || f.Key != "" {
		c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return keys{}, errors.Wrapf(err, "read %s and %s", f.Certificate, f.Key)
		}
		out.certificates = []tls.Certificate{c}
	}
	if f.Trust == "" {
		return out, nil
	}
	pem, err := os.ReadFile(f.Trust)
	if err != nil {
		return keys{}, errors.Wrap(err, "read trust")
	}
	out.trust = x509.NewCertPool()
	if !out.trust.AppendCertsFromPEM(pem) {
		return keys{}, errors.Newf("%s holds no certificate", f.Trust)
	}
	return out, nil
}

// now returns the keys in force.
func (k *Keyring) now() keys {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stat() == k.stamps {
		return k.current
	}
	if err := k.readLocked(); err != nil && k.OnError != nil {
		k.OnError(err)
	}
	return k.current
}

// Server returns the configuration of a server.
func (k *Keyring) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.now().server(), nil
		},
	}
}

func (s keys) server() *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: s.certificates, NextProtos: []string{"http/1.1"}}
	if s.trust != nil {
		c.ClientCAs, c.ClientAuth = s.trust, tls.RequireAndVerifyClientCert
	}
	return c
}

// Dial opens a connection as a client. It fits http.Transport.DialTLSContext.
func (k *Keyring) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	s := k.now()
	d := tls.Dialer{Config: &tls.Config{MinVersion: tls.VersionTLS12, Certificates: s.certificates, RootCAs: s.trust}}
	conn, err := d.DialContext(ctx, network, address)
	return conn, errors.Wrap(err, "dial")
}
