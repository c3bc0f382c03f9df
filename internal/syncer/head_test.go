package syncer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// TestResponseThatAPeerBreaksOffIsNone guards against a peer that ends within its response: a part of it without a
// length says that there is no claim and that nothing was appended.
func TestResponseThatAPeerBreaksOffIsNone(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
	for name, out := range map[string]string{
		"no length": head + "\r\n", "short": head + "Content-Length: 4\r\n\r\n", "head cut": head + "Content-Length: 0\r\n", "length cut": head + "Content-Leng",
		"chunks without end": head + "Transfer-Encoding: chunked\r\n\r\n", "conflict short": "HTTP/1.1 503 X\r\nContent-Length: 99\r\n\r\n{\"code\":\"unavailable\"",
	} {
		t.Run(name, func(t *testing.T) {
			listen, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer listen.Close()
			go func() {
				for {
					c, err := listen.Accept()
					if err != nil {
						return
					}
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, out)
					}
					_ = c.Close()
				}
			}()
			c := &Client{Self: &peerv1.Member{Instance: "b"}, HTTP: NewHTTPClient(), Lease: &leaser.Lease{Log: zap.NewNop()}, Losses: &losstracker.Tracker{}, Log: zap.NewNop()}
			c.viewAt = time.Now()
			c.members = []*peerv1.Member{{Instance: "a", PeerAddress: listen.Addr().String()}}
			_, _, err = c.PeerStore().Newest(t.Context())
			require.Error(t, err)
			require.NotContains(t, err.Error(), "no peer address")
			require.Error(t, c.PeerStore().Append(t.Context(), leaser.Claim{Holder: "b"}))
			require.False(t, c.watchOnce(t.Context(), leaser.Claim{Address: listen.Addr().String()}))
		})
	}
}
