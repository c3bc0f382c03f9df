package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/standin/certifier"
)

// writeCertificate writes a certificate, which is its own authority, and its key. It
// returns their directory.
func writeCertificate(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	_, err := certifier.Write(dir)
	require.NoError(t, err)
	return dir
}

func tlsSettings(kind, dir string) string {
	return fmt.Sprintf("[tls.%s]\ncertificate = %q\nkey = %q\ntrust = %q\n", kind,
		filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "cert.pem"))
}

func tlsArgs(dir string) []string {
	return []string{
		"--tls-trust", filepath.Join(dir, "cert.pem"), "--tls-certificate", filepath.Join(dir, "cert.pem"), "--tls-key", filepath.Join(dir, "key.pem"),
	}
}

// TestTLS runs two entry instances that authenticate peers, operators and callers
// by three separate certificate authorities. A certificate of one authority must
// be refused where another is required.
func TestTLS(t *testing.T) {
	f := newFleet(t)
	peers, operators, callers := writeCertificate(t), writeCertificate(t), writeCertificate(t)
	var operator, caller []string
	for _, name := range []string{"entry-1", "entry-2"} {
		e := &entryProcess{name: name, caller: freeAddress(t), peer: freeAddress(t), operator: freeAddress(t)}
		e.settings = filepath.Join(t.TempDir(), name+".toml")
		require.NoError(t, os.WriteFile(e.settings, fmt.Appendf(nil, `instance = %q
data-centre = "zaal-utr"
[listen]
caller = %q
peer = %q
operator = %q
[platform]
log = "http://%s"
instance-list = "http://%s"
%s%s%s`, name, e.caller, e.peer, e.operator, f.log, f.instanceList,
			tlsSettings("peer", peers), tlsSettings("operator", operators), tlsSettings("caller", callers)), 0o600))
		e.process = startProcess(t, name, "primrosedrift", "serve", e.settings)
		f.waitForListener(e.caller)
		f.announce(e, "live", "")
		operator, caller = append(operator, e.operator), append(caller, e.caller)
	}
	run := func(args ...string) (string, error) {
		out, err := exec.Command(filepath.Join(binDir, "primrosedrift"), args...).CombinedOutput()
		return string(out), err
	}
	// entry-1 uses entry-2 only after entry-2 has answered a status query, so the
	// peers have connected.
	require.Eventually(t, func() bool {
		out, err := run(append(tlsArgs(operators), "explain", "--entry", operator[0], "entry-2")...)
		return err == nil && strings.Contains(out, "in use entry-2")
	}, conditionTimeout, 100*time.Millisecond)
	for _, args := range [][]string{nil, tlsArgs(callers), tlsArgs(peers), tlsArgs(operators)[:2]} {
		out, err := run(append(args, "get", "--entry", operator[0])...)
		require.Error(t, err, "%s", out)
	}
	for _, tt := range []struct {
		keys       string
		isAccepted bool
	}{{callers, true}, {operators, false}} {
		out, err := run(append(tlsArgs(tt.keys), "call", "--entry", caller[0], "--customer", "nobody", "--model", "m")...)
		require.Error(t, err)
		require.Equal(t, tt.isAccepted, strings.Contains(out, "no-contract"), out)
	}
	out, err := run(append(tlsArgs(operators), "get", "--entry", operator[1])...)
	require.NoError(t, err, out)
}
