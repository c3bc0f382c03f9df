package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readSteadily reads a response at a steady rate, which the sockets of the tests slow down further.
func readSteadily(c net.Conn) (body string, err error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		out.Write(buf[:n])
		if err == io.EOF {
			return out.String(), nil
		}
		if err != nil {
			return out.String(), err
		}
		time.Sleep(10 * time.Millisecond) // the rate is what is tested
	}
}

// TestWholeResponsesOutlastWhatTakesTheirRoom guards against responses of clients that read steadily and are ended because
// the bodies of new requests, or a response without an end, fill the memory for buffers.
func TestWholeResponsesOutlastWhatTakesTheirRoom(t *testing.T) {
	const maxBytes, numReaders, size = 4 << 20, 4, 600 << 10
	body := strings.Repeat("x", size)
	for name, fill := range map[string]func(t *testing.T, g *slowFixture){
		"bodies": func(t *testing.T, g *slowFixture) {
			numRefused := 0
			for range 3 {
				resp, _ := g.do(g.request("POST", "/once/upload", strings.Repeat("x", 900<<10)))
				if resp.StatusCode == http.StatusServiceUnavailable {
					numRefused++
				}
			}
			// One after the other they fit; held together they do not.
			var held []buffer
			for range 5 {
				b := buffer{of: &g.Buffers, isBody: true}
				if b.resize(1<<20) != nil {
					numRefused++
				}
				held = append(held, b)
			}
			require.Positive(t, numRefused)
			for i := range held {
				held[i].release()
			}
		},
		"response without an end": func(t *testing.T, g *slowFixture) {
			endless := g.open("/once/endless", "endless")
			_, _ = readSteadily(endless)
			require.Equal(t, 1, g.ended.Len())
			require.Equal(t, "endless", g.ended.All()[0].ContextMap()["request"])
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			up := rawUpstream(t, func(c net.Conn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				isOpen := send(c, unframedHead(r)+body)
				if !strings.HasSuffix(r.URL.Path, "endless") {
					return
				}
				time.Sleep(500 * time.Millisecond) // its client makes progress as the others do
				for isOpen {
					isOpen = send(c, body)
				}
			})
			g := newSlowFixture(t, time.Minute, up)
			g.Buffers.MaxBytes = maxBytes
			var wg sync.WaitGroup
			for range numReaders {
				c := g.open("/once/", "reader")
				wg.Go(func() {
					got, err := readSteadily(c)
					if err != nil || got != body {
						t.Errorf("%d of %d bytes: %v", len(got), size, err)
					}
				})
			}
			require.Eventually(t, func() bool { return g.Buffers.numSlow() == numReaders }, time.Minute, time.Millisecond)
			defer wg.Wait()
			fill(t, g)
		})
	}
}
