package relayer

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endless returns an upstream that answers with a start and a piece without end.
func endless(t *testing.T, start func(r *http.Request) string, piece string) *upstream {
	block := strings.Repeat(piece, 1+(32<<10)/len(piece))
	return newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		return start(r) + strings.Repeat(block, 256), true // 8 MB stand for no end
	})
}

// TestEndlessResponsesStayWithinTheBuffers guards against responses without end that fill
// the memory, one for each slot, and against a cut response that looks complete.
func TestEndlessResponsesStayWithinTheBuffers(t *testing.T) {
	const numRequests, maxBytes = 40, 1 << 20
	plainHead := func(r *http.Request) string { return responseHead(r, 200, stamped) + "\r\n" }
	for name, tt := range map[string]struct {
		path  string
		start func(r *http.Request) string
		piece string
	}{
		"event without end":            {"/stream/", streamHead, chunk("data: x")},
		"event without end, no length": {"/stream/", plainHead, "data: x"},
		"event without end after one":  {"/stream/", func(r *http.Request) string { return streamHead(r) + chunk(event(1)) }, chunk("data: x")},
		"failed response":              {"/again/", func(r *http.Request) string { return responseHead(r, 500, stamped) + "\r\n" }, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			up := endless(t, tt.start, tt.piece)
			g := newFixture(t, up)
			g.Buffers.MaxBytes = maxBytes
			for _, u := range g.Upstreams.Snapshot().ByID {
				u.Slots = numRequests
			}
			var wg sync.WaitGroup
			for range numRequests {
				r := g.request("POST", tt.path, "")
				wg.Go(func() {
					resp, err := g.client.Do(r)
					if err != nil {
						return
					}
					defer resp.Body.Close()
					_, err = io.Copy(io.Discard, resp.Body)
					if resp.StatusCode == http.StatusOK {
						require.Error(t, err, "it must not look complete")
					}
				})
			}
			wg.Wait()
			require.LessOrEqual(t, g.Buffers.mostUsed.Load(), int64(maxBytes))
			require.Eventually(t, func() bool { return g.Buffers.used.Load() == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// TestLongEventIsSearchedOnce guards against a search that begins anew at each read.
func TestLongEventIsSearchedOnce(t *testing.T) {
	for name, text := range map[string]string{
		"whole":       "id: 1\ndata: x\n\n",
		"CRLF":        "id: 1\r\ndata: x\r\n\r\n",
		"two":         "data: 1\n\ndata: 2\n\nrest",
		"mixed":       "data: 1\r\n\r\ndata: 2\n\nrest\r\n\r",
		"none":        "data: 1\nrest\r\n\r",
		"only ends":   "\n\n\r\n\r\n",
		"half an end": "data: 1\n",
	} {
		for size := 1; size <= len(text); size++ {
			var f eventFinder
			ends, pending := 0, []byte{}
			for rest := []byte(text); len(rest) > 0; {
				n := min(size, len(rest))
				pending, rest = append(pending, rest[:n]...), rest[n:]
				if end := f.find(pending); end > 0 {
					ends += end
					pending = pending[end:]
				}
				require.LessOrEqual(t, len(pending)-f.searched, 0)
			}
			require.Equal(t, lastEventEnd([]byte(text)), ends, "%s in pieces of %d", name, size)
		}
	}
}
