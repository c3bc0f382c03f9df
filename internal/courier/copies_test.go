package courier

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveCopies answers each request with status 200. Before the answer to any request but the first
// of a connection it writes the late bytes, once the request has been read.
func serveCopies(t *testing.T, late string) string {
	return serve(t, func(_ int, c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			out := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nmine", req.Header.Get("Id"))
			if n > 0 {
				out = late + out
			}
			if _, err := io.WriteString(c, out); err != nil {
				return
			}
		}
	})
}

// callWithID sends a request and returns the status and the body.
func callWithID(t *testing.T, p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id}
	if id == "" {
		req.Header = nil
	}
	resp, err := p.Do(ctx, address, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.Status, body), err
}

// TestLateCopyIsNotTakenForTheResponse guards against a second copy of an earlier response, whole or
// cut off, that arrives on a reused connection after the next request was written: a copy of a
// refusal would say that the next request did not run.
func TestLateCopyIsNotTakenForTheResponse(t *testing.T) {
	for name, tt := range map[string]struct{ copy, firstID, nextID string }{
		"of another request":                    {"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\ncopy", "1", "2"},
		"of the same request":                   {"HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\ncopy", "1", "1"},
		"without an id":                         {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\ncopy", "1", "2"},
		"without an id, for a call without one": {"HTTP/1.1 202 OK\r\nContent-Length: 4\r\n\r\ncopy", "", ""},
		"in chunks":                             {"HTTP/1.1 503 Busy\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncopy\r\n0\r\n\r\n", "1", "2"},
		"id last":                               {"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nNot-Run: 1\r\nId: 1\r\n\r\ncopy", "1", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := 1; cut <= len(tt.copy); cut++ {
				address := serveCopies(t, tt.copy[:cut])
				p := &Pool{IDHeader: "Id"}
				got, err := callWithID(t, p, address, tt.firstID)
				require.NoError(t, err)
				require.Equal(t, "200 mine", got)
				got, err = callWithID(t, p, address, tt.nextID)
				if err == nil {
					require.Equal(t, "200 mine", got, "cut after %q", tt.copy[:cut])
				}
				require.NotErrorIs(t, err, context.DeadlineExceeded, "cut after %q", tt.copy[:cut])
				if cut == len(tt.copy) {
					require.NoError(t, err, "a whole copy is skipped")
				}
			}
		})
	}
}

// TestRepeatedRefusalIsNotTakenForTheResponse guards against a refusal that an upstream writes once more
// on a kept connection, several times or behind informational responses: the next request may run, and
// its client would be told that it did not. So does a peer that sends informational responses.
func TestRepeatedRefusalIsNotTakenForTheResponse(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		without = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		info    = "HTTP/1.1 100 Continue\r\n\r\n"
		withID  = "HTTP/1.1 102 Processing\r\nId: 2\r\n\r\n"
	)
	for name, late := range map[string]string{
		"two": refusal + refusal, "three": refusal + refusal + refusal, "behind 100": info + refusal, "between 100": info + refusal + info, "two behind 102": withID + withID + refusal,
		"two without an id": without + without, "behind 100, without an id": info + without, "behind the next id": withID + without + refusal, "misdirected": strings.Replace(refusal, "503", "421", 1),
		"many behind 102": strings.Repeat(withID+refusal, 10), "HTTP/1.0": strings.Replace(refusal, "1.1", "1.0", 1),
	} {
		for _, takesProgress := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", progress ", takesProgress), func(t *testing.T) {
				address := serveCopies(t, late)
				p := &Pool{IDHeader: "Id"}
				for _, id := range []string{"1", "2", "3"} {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					resp, err := p.Do(ctx, address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id, TakesProgress: takesProgress})
					if err != nil {
						require.True(t, WasSent(err), "it may have run")
						require.NotErrorIs(t, err, context.DeadlineExceeded)
						continue
					}
					require.Equal(t, http.StatusOK, resp.Status)
					body, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.Equal(t, "mine", string(body))
				}
			})
		}
	}
}

// TestRepeatedRefusalIsTakenForTheResponseWithoutIDs shows that the ids are what tells them apart.
func TestRepeatedRefusalIsTakenForTheResponseWithoutIDs(t *testing.T) {
	address := serveCopies(t, "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	p := &Pool{}
	got, err := callWithID(t, p, address, "1")
	require.NoError(t, err)
	require.Equal(t, "200 mine", got)
	got, err = callWithID(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, "503 ", got)
}

// TestSendIsCheckedWithTheConnectionOpen guards against a permission that expires while the
// connection is opened: nothing may be sent then, and the connection stays usable.
func TestSendIsCheckedWithTheConnectionOpen(t *testing.T) {
	address := serveCopies(t, "")
	var numDials int
	p := &Pool{IDHeader: "Id", OnDial: func(string, time.Duration, error) { numDials++ }}
	expired := errors.New("expired")
	for range 2 {
		_, err := p.Do(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", ID: "1", MaySend: func() error {
			require.Equal(t, 1, numDials, "the connection is open")
			return expired
		}})
		require.ErrorIs(t, err, expired)
		require.False(t, WasSent(err))
	}
	got, err := callWithID(t, p, address, "2")
	require.NoError(t, err)
	require.Equal(t, "200 mine", got)
	require.Equal(t, 1, numDials)
}
