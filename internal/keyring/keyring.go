// Package keyring provides TLS configurations whose certificate, key and trusted
// authorities come from files.
//
// Before every handshake the files are checked for changes and reloaded if
// needed, so that keys can be rotated without a restart. If the new files are
// inconsistent, as in the middle of a rotation, the previous keys stay in use.
//
// With a trust file, both ends of a connection must present a certificate signed
// by one of its authorities (mutual TLS). Without one, a server accepts every
// client.
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

// Files holds the names of the files of a Keyring. All files are in PEM format.
type Files struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Trust contains the certificates of the authorities that must have signed
	// the peer's certificate.
	Trust string `toml:"trust"`
}

// IsZero reports whether no file is set.
func (f Files) IsZero() bool {
	return f == Files{}
}

// Keyring holds the keys and certificates from its files. Files must be set.
type Keyring struct {
	Files Files
	// OnError, if set, is called with the error when changed files could not be
	// loaded.
	OnError func(error)

	mu      sync.Mutex
	stamps  [3]stamp
	current keys
}

type keys struct {
	certificates []tls.Certificate
	trust        *x509.CertPool // nil for none
}

// stamp is the state of a file, compared to detect changes.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files. Without it they are read before the first handshake, and
// errors are passed only to OnError.
func (k *Keyring) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readLocked()
}

func (k *Keyring) readLocked() error {
	stamps := k.statFiles()
	fresh, err := k.Files.read()
	if err != nil {
		return err
	}
	k.current, k.stamps = fresh, stamps
	return nil
}

func (k *Keyring) statFiles() [3]stamp {
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
		return keys{}, errors.Wrap(err, "read trust file")
	}
	out.trust = x509.NewCertPool()
	if !out.trust.AppendCertsFromPEM(pem) {
		return keys{}, errors.Newf("%s contains no PEM certificate", f.Trust)
	}
	return out, nil
}

// currentKeys returns the current keys, after reloading changed files.
func (k *Keyring) currentKeys() keys {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.statFiles() == k.stamps {
		return k.current
	}
	if err := k.readLocked(); err != nil && k.OnError != nil {
		k.OnError(err)
	}
	return k.current
}

// Server returns the TLS configuration of a server. It follows changes of the
// files.
func (k *Keyring) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.currentKeys().server(), nil
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

// Dial opens a TLS connection as a client, for use as
// http.Transport.DialTLSContext.
func (k *Keyring) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	s := k.currentKeys()
	d := tls.Dialer{Config: &tls.Config{MinVersion: tls.VersionTLS12, Certificates: s.certificates, RootCAs: s.trust}}
	conn, err := d.DialContext(ctx, network, address)
	return conn, errors.Wrap(err, "dial")
}
