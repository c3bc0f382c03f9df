package orderer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// TestOrderWithoutAWholeResponseIsUnanswered guards against an order that is no longer awaited because the engine
// broke off in its response: an empty part of it says "not done", and the order may be carried out later.
func TestOrderWithoutAWholeResponseIsUnanswered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, out := range map[string]string{
		"no length": head + "\r\n", "no length, done": head + "\r\n\x08\x01", "short": head + "Content-Length: 2\r\n\r\n\x08",
		"chunks without end": head + "Transfer-Encoding: chunked\r\n\r\n2\r\n\x08\x01\r\n", "head cut": head, "length cut": head + "Content-Len",
		"refusal short": "HTTP/1.1 429 X\r\nContent-Type: application/json\r\nContent-Length: 40\r\n\r\n{\"code\":\"resource_exhausted\"}",
	} {
		t.Run(name, func(t *testing.T) {
			listen, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer listen.Close()
			go func() {
				c, err := listen.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, out)
				}
			}()
			o := &Orderer{HTTP: &http.Client{Transport: &http.Transport{}}}
			task := Task{Address: listen.Addr().String(), Order: &upstreamv1.OrderRequest{Replica: "r", Action: recordv1.DecisionAction_DECISION_ACTION_LOAD}}
			err = o.send(t.Context(), task, task.Order)
			require.Error(t, err)
			require.False(t, isRefused(err))
			require.Equal(t, 1, o.NumOpenOrders(0))
		})
	}
}
