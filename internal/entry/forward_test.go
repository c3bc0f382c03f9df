package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/keyring"
	"github.com/primrosedrift/primrosedrift/internal/settings"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
)

// writeKeys writes a certificate that is its own authority, and its key.
func writeKeys(t *testing.T) keyring.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	files := keyring.Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Trust: filepath.Join(dir, "cert.pem")}
	require.NoError(t, os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return files
}

// echo answers calls with their body.
type echo struct {
	callerv1connect.UnimplementedCallerCommandsHandler
}

func (echo) Call(_ context.Context, r *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	return connect.NewResponse(&callerv1.CallResponse{Body: r.Msg.GetBody()}), nil
}

// Instances whose callers use TLS forward requests to each other over TLS, with the
// same keys.
func TestForwardingUsesTheKeysOfCallers(t *testing.T) {
	files := writeKeys(t)
	e := New(settings.Settings{Instance: "entry-1", TLS: settings.TLS{Caller: files}}, zap.NewNop())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerCommandsHandler(echo{}))
	s, err := e.serve(address, mux, files)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	resp, err := e.forwarder.call(t.Context(), address, &callerv1.CallRequest{Body: []byte("x")}, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "x", string(resp.GetBody()))
}
