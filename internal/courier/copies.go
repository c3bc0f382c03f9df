package courier

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxRequestsPerConn bounds the requests on one connection, and with them the ids that are kept
// to recognize a late copy of a response. A connection for 256 requests costs one round trip more
// for each 256.
const maxRequestsPerConn = 256

// errMixedHead is returned for a head that begins with a part of another response.
var errMixedHead = errors.New("head of the response holds a part of another one")

// canMatch reports whether the response to a request with the id can be told from late copies of
// the responses to all earlier requests on the connection. It cannot if the request has no id, or
// if one of them had the same: a request may be repeated after a refusal, and a copy of that
// refusal would count for the repetition.
func (c *conn) canMatch(id string) bool {
	if c.numRequests == 0 {
		return true
	}
	return id != "" && c.numRequests < maxRequestsPerConn && !slices.Contains(c.ids, xxhash.Sum64String(id))
}

// recordRequest records a request that is about to be written.
func (c *conn) recordRequest(id string) {
	c.numRequests++
	if id != "" {
		c.ids = append(c.ids, xxhash.Sum64String(id))
	}
}

// statusLine matches the status line of a response. A Via header may hold a protocol, but no
// status after it.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// holdsStatusLine reports whether the head holds a second status line. That happens if a copy of
// an earlier response was cut off within a line of its head: the next response continues the
// line, so the status is the copy's and the id that of the next response.
func holdsStatusLine(r *http.Response) bool {
	if isStatusLineIn(r.Status) {
		return true
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, isStatusLineIn) {
			return true
		}
	}
	return false
}

func isStatusLineIn(s string) bool {
	return strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s)
}
