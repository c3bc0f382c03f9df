package courier

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// oddHeads are responses whose head does not follow the grammar, by what is odd.
var oddHeads = map[string]string{
	"status 000":                          "HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 099":                          "HTTP/1.1 099 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 000, its body is a response":  "HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 50\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 000 without a body":           "HTTP/1.1 000 X\r\nId: 1\r\n\r\n",
	"status 101":                          "HTTP/1.1 101 X\r\nId: 1\r\n\r\n",
	"informational with a length":         "HTTP/1.1 150 X\r\nId: 1\r\nContent-Length: 50\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 600":                          "HTTP/1.1 600 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 999":                          "HTTP/1.1 999 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in the reason":          "HTTP/1.1 200 O\x01K\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name":                     "HTTP/1.1 200 OK\r\nId: 1\r\nX Odd: v\r\nContent-Length: 4\r\n\r\nbody",
	"blank in the name of the length":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent Length: 9\r\n\r\nbody",
	"blank behind the name of the length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 9\r\n\r\nbody",
	"blank behind the name of the chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"folded line":                         "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\r\n c\r\nContent-Length: 4\r\n\r\nbody",
	"folded length":                       "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\r\n Content-Length: 9\r\n\r\nbody",
	"length and chunks":                   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"tab in a name":                       "HTTP/1.1 200 OK\r\nId: 1\r\nX\tOdd: v\r\nContent-Length: 4\r\n\r\nbody",
	"0x00 in a name":                      "HTTP/1.1 200 OK\r\nId: 1\r\nX\x00Odd: v\r\nContent-Length: 4\r\n\r\nbody",
	"0x01 in a name":                      "HTTP/1.1 200 OK\r\nId: 1\r\nX\x01Odd: v\r\nContent-Length: 4\r\n\r\nbody",
	"0x7f in a name":                      "HTTP/1.1 200 OK\r\nId: 1\r\nX\x7fOdd: v\r\nContent-Length: 4\r\n\r\nbody",
	"0xff in a name":                      "HTTP/1.1 200 OK\r\nId: 1\r\nX\xffOdd: v\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in a value":             "HTTP/1.1 200 OK\r\nId: 1\r\nX: v\x01\r\nContent-Length: 4\r\n\r\nbody",
	"no name":                             "HTTP/1.1 200 OK\r\nId: 1\r\n: v\r\nContent-Length: 4\r\n\r\nbody",
	"no colon":                            "HTTP/1.1 200 OK\r\nId: 1\r\nX\r\nContent-Length: 4\r\n\r\nbody",
	"two lengths":                         "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
	"length with a sign":                  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: +4\r\n\r\nbody",
}

// TestOddHeadIsNoResponse guards against a response of an upstream in trouble that counts as one although its head does
// not follow the grammar, with a body that is not the upstream's or a field that no other program would read so.
func TestOddHeadIsNoResponse(t *testing.T) {
	for name, out := range oddHeads {
		t.Run(name, func(t *testing.T) {
			for _, isOpen := range []bool{false, true} { // the connection stays open: the response fails at once
				done := make(chan struct{})
				address := serve(t, func(_ int, c net.Conn) {
					defer c.Close()
					if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, out)
					}
					if isOpen {
						<-done
					}
				})
				for _, takesProgress := range []bool{false, true} {
					_, err := (&Pool{IDHeader: "Id"}).Do(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1", TakesProgress: takesProgress})
					require.Error(t, err)
					require.True(t, WasSent(err))
					_, err = (&Pool{}).Call(t.Context(), address, http.MethodPost, "/order", nil, []byte("{}"))
					require.Error(t, err)
				}
				close(done)
			}
		})
	}
}

// grammar is the head of a response according to RFC 9112, with the statuses that RFC 9110 defines classes for. Lines may
// end with a bare line feed, as a recipient may take them.
var grammar = regexp.MustCompile("^HTTP/1\\.[01] [1-5][0-9][0-9](?: [\t\\x20-\\x7e\\x80-\\xff]*)?\r?\n" +
	"(?:[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\t\\x20-\\x7e\\x80-\\xff]*\r?\n)*\r?\n$")

// latin1 returns a text in which each rune is a byte, so that expressions can name bytes.
func latin1(b []byte) string {
	out := make([]rune, len(b))
	for n, x := range b {
		out[n] = rune(x)
	}
	return string(out)
}

// parse returns the head of a response as readHead sees it, and whether it was taken.
func parse(out []byte) (head []byte, ok bool) {
	l := &headLimiter{r: bytes.NewReader(out)}
	r := bufio.NewReaderSize(l, 64)
	l.begin(nil)
	_, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	head = l.end(r.Buffered())
	return head, err == nil && checkHead(head) == nil
}

// TestHeadsFollowTheGrammar compares heads that are taken with the grammar, on heads with bytes that are replaced, added
// and left out.
func TestHeadsFollowTheGrammar(t *testing.T) {
	heads := []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b c\r\n\r\n", "HTTP/1.0 404\nA:b\n\n", "HTTP/1.1 503 Not now\r\nRetry-After: 1\r\n\r\n"}
	rapid.Check(t, func(t *rapid.T) {
		head := []byte(rapid.SampledFrom(heads).Draw(t, "head"))
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			i := rapid.IntRange(0, len(head)-1).Draw(t, "at")
			b := rapid.OneOf(rapid.Byte(), rapid.SampledFrom([]byte(" \t\r\n:0169\x00"))).Draw(t, "byte")
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				head[i] = b
			case 1:
				head = append(head[:i:i], append([]byte{b}, head[i:]...)...)
			default:
				head = append(head[:i:i], head[i+1:]...)
			}
			if len(head) == 0 {
				return
			}
		}
		taken, ok := parse(append(head, "body"...))
		if ok {
			require.True(t, bytes.HasPrefix(append(head, "body"...), taken))
			require.Regexp(t, grammar, latin1(taken))
		}
	})
}

// TestSoundHeadsAreTaken guards against a check that refuses what follows the grammar.
func TestSoundHeadsAreTaken(t *testing.T) {
	for _, out := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 \r\n\r\n", "HTTP/1.0 200\r\nA:\r\n\r\n", "HTTP/1.1 599 \xe9\r\nX-A_b.c~: \xff\tb \r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n", "HTTP/1.1 204 X\r\nA: b\r\nA: c\r\n\r\n", "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 9000) + "\r\n\r\n",
		"HTTP/1.1 150 X\r\n\r\n",
	} {
		head, ok := parse([]byte(out + "body"))
		require.True(t, ok, "%.60q", out)
		require.Equal(t, out, string(head))
		require.Regexp(t, grammar, latin1(head))
	}
}
