package attempter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// TestResponseWithoutALengthIsIncomplete guards against an upstream that stops after a head without a length: a part of the message is a message as well, with an empty body.
func TestResponseWithoutALengthIsIncomplete(t *testing.T) {
	for name, part := range map[string]func(attempt string) *upstreamv1.CallResponse{
		"nothing": func(string) *upstreamv1.CallResponse { return &upstreamv1.CallResponse{} },
		"no body": func(attempt string) *upstreamv1.CallResponse { return &upstreamv1.CallResponse{Attempt: attempt} },
		"seems to end": func(attempt string) *upstreamv1.CallResponse {
			return &upstreamv1.CallResponse{Attempt: attempt, Body: []byte("x")}
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveConns(t, func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				b, _ := io.ReadAll(r.Body)
				var req upstreamv1.CallRequest
				_ = proto.Unmarshal(b, &req)
				out, _ := proto.Marshal(part(req.GetAttempt()))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"+string(out))
			})
			body, err := (&Attempter{HTTP: &http.Client{Transport: &http.Transport{}}}).Call(t.Context(), address, &upstreamv1.CallRequest{})
			require.Error(t, err)
			require.Empty(t, body)
			require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Ran)
		})
	}
}
