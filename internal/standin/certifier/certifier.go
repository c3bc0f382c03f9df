// Package certifier writes certificates for tests.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/keyring"
)

// validity is how long before and after now a certificate is valid.
const validity = time.Hour

// Write writes a certificate for 127.0.0.1, which is its own authority, and its key into
// a directory.
func Write(dir string) (keyring.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keyring.Files{}, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return keyring.Files{}, errors.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return keyring.Files{}, errors.Wrap(err, "encode key")
	}
	f := keyring.Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Trust: filepath.Join(dir, "cert.pem")}
	return f, errors.CombineErrors(writePEM(f.Certificate, "CERTIFICATE", der), writePEM(f.Key, "EC PRIVATE KEY", keyDER))
}

func writePEM(path, kind string, der []byte) error {
	return errors.Wrap(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), "write")
}
