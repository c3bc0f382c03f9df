package orderer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// TestLateCopyDoesNotConfirmTheNextOrder guards against an order that counts as done because the engine
// wrote its response to an earlier one once more.
func TestLateCopyDoesNotConfirmTheNextOrder(t *testing.T) {
	response := func(isDone bool) string {
		b, err := proto.Marshal(&upstreamv1.OrderResponse{Done: isDone})
		require.NoError(t, err)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	listen, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listen.Close() })
	isDone := make(chan bool, 2)
	go func() {
		for {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, late := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					own := response(<-isDone)
					_, _ = io.WriteString(c, late+own)
					late = own
				}
			}()
		}
	}()
	o := &Orderer{HTTP: &http.Client{Transport: &http.Transport{}}}
	task := Task{Address: listen.Addr().String(), Order: &upstreamv1.OrderRequest{Replica: "r"}}
	isDone <- true
	require.NoError(t, o.send(t.Context(), task, task.Order))
	isDone <- false
	require.ErrorIs(t, o.send(t.Context(), task, task.Order), errNotDone)
}
