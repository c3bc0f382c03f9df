package courier

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongBodyIsNotComplete guards against a body without end of a server that net/http
// talks to, and against one that is cut and taken for complete.
func TestLongBodyIsNotComplete(t *testing.T) {
	for numBytes, isComplete := range map[int]bool{0: true, 9: true, 10: true, 11: false, 1 << 20: false, -1: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for n := 0; n != numBytes; n++ {
				if _, err := w.Write([]byte("x")); err != nil {
					return
				}
			}
		}))
		client := &http.Client{Transport: LimitedTransport{RoundTripper: http.DefaultTransport, MaxBodyBytes: 10}}
		resp, err := client.Get(server.URL)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		if isComplete {
			require.NoError(t, err)
			require.Equal(t, bytes.Repeat([]byte("x"), numBytes), body)
		} else {
			require.ErrorIs(t, err, ErrLongBody)
			require.Len(t, body, 10)
		}
		server.CloseClientConnections()
		server.Close()
	}
}
