package courier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessTimeout ends a call that is not cut off. It is far longer than what is read takes.
const endlessTimeout = 10 * time.Second

// serveEndless listens and answers each request with a start and then a piece without end.
func serveEndless(t *testing.T, start, piece string) string {
	return serve(t, func(_ int, c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		block := strings.Repeat(piece, 1+(32<<10)/len(piece))
		for {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	})
}

// TestEndlessHeadIsCutOff guards against a response head that fills the memory until the
// request's time is over.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, bytes := range map[string][2]string{
		"no response":             {"", "x"},
		"status line":             {"HTTP/1.1 200 ", "x"},
		"header line":             {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"informational head":      {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		"response to another":     {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"responses to others":     {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"head behind another":     {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"folded lines":            {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"line feeds":              {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, bytes[0], bytes[1])
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			_, err := (&Pool{IDHeader: "Id"}).Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1"})
			require.Error(t, err)
			require.True(t, WasSent(err))
			require.NoError(t, ctx.Err(), "cut off before its time is over")
		})
	}
}

// TestEndlessBodyOfACallIsCutOff guards against a body that is cut and taken for complete.
func TestEndlessBodyOfACallIsCutOff(t *testing.T) {
	for name, bytes := range map[string][2]string{
		"no length":       {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"great length":    {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"chunk length":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, bytes[0], bytes[1])
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			_, err := (&Pool{}).Call(ctx, address, http.MethodGet, "/", nil, nil)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "cut off before its time is over")
		})
	}
}
