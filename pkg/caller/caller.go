// Package caller is a client for callers of primrosedrift.
//
// It locates the entry instances for a target through any entry instance,
// caches their addresses for the time that the response allows, connects to
// them itself, and tries the next address when a request provably did not run.
// A request that may have run is never sent again.
package caller

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// locateTimeout bounds one Locate request to one entry instance.
const locateTimeout = time.Second

// Client calls primrosedrift. Entries must be set. Its methods are safe for
// concurrent use.
type Client struct {
	// Entries are the addresses, as host:port, of entry instances to which
	// Locate requests go while no address of the target is cached, and if the
	// cached ones fail.
	Entries []string
	// Customer is the customer on whose behalf requests are made.
	Customer   string
	DataCentre string
	// MaxResumptions is the maximum number of times that Generate resumes an
	// interrupted stream through another entry instance. Zero means
	// DefaultMaxResumptions, a negative value means never.
	MaxResumptions int
	// HTTP is the HTTP client. Nil means http.DefaultClient.
	HTTP *http.Client
	// TLS makes the client use https. HTTP must then be configured with the
	// certificate authorities to trust.
	TLS bool

	mu    sync.Mutex
	cache map[string]location
}

type location struct {
	addresses []string
	expiresAt time.Time
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return courier.FramedClient(c.HTTP)
	}
	return courier.FramedClient(http.DefaultClient)
}

func (c *Client) scheme() string {
	if c.TLS {
		return "https://"
	}
	return "http://"
}

// Locate returns the addresses of the entry instances for a target, best
// first. It returns cached addresses until they expire.
func (c *Client) Locate(ctx context.Context, target string) ([]string, error) {
	c.mu.Lock()
	l, ok := c.cache[target]
	c.mu.Unlock()
	if ok && time.Now().Before(l.expiresAt) {
		return l.addresses, nil
	}
	addresses := append(append([]string(nil), l.addresses...), c.Entries...)
	var last error
	for _, a := range addresses {
		resp, err := c.locate(ctx, a, target)
		if err != nil {
			last = err
			continue
		}
		l = location{resp.GetAddresses(), time.Now().Add(time.Duration(resp.GetKeepMs()) * time.Millisecond)}
		c.mu.Lock()
		if c.cache == nil {
			c.cache = make(map[string]location)
		}
		c.cache[target] = l
		c.mu.Unlock()
		return l.addresses, nil
	}
	if last == nil {
		return nil, errors.New("no address of an entry instance is known")
	}
	return nil, errors.Wrap(last, "no entry instance answered")
}

func (c *Client) locate(ctx context.Context, address, target string) (*callerv1.LocateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	resp, err := callerv1connect.NewCallerQueriesClient(c.http(), c.scheme()+address).
		Locate(ctx, connect.NewRequest(&callerv1.LocateRequest{Customer: c.Customer, Target: target, DataCentre: c.DataCentre}))
	if err != nil {
		return nil, errors.Wrap(err, "locate")
	}
	return resp.Msg, nil
}

// forget expires the cached addresses of a target.
func (c *Client) forget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.cache[target]; ok {
		l.expiresAt = time.Time{}
		c.cache[target] = l
	}
}

// tryEach calls try with the addresses of a target in turn. It stops when an
// attempt succeeds, when the request may have run, or when every entry instance
// would refuse it alike.
func (c *Client) tryEach(ctx context.Context, target string, try func(ctx context.Context, address string) error) error {
	addresses, err := c.Locate(ctx, target)
	if err != nil {
		return verdict.Refuse(verdict.ReasonNotReady, time.Second, "%v", err)
	}
	last := verdict.Refuse(verdict.ReasonNotReady, time.Second, "no address")
	for _, a := range addresses {
		tctx, connected := traceConnection(ctx)
		err := try(tctx, a)
		if err == nil {
			return nil
		}
		last = toRefusal(err, connected.Load())
		last.Detail += " (through " + a + ")"
		if last.Ran != verdict.NotRun || !isLocal(last.Reason) || ctx.Err() != nil {
			return last
		}
		c.forget(target)
	}
	return last
}

// isLocal reports whether the reason concerns only the entry instance that
// refused, so that another one may accept the request.
func isLocal(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonNotReady, verdict.ReasonStopping, verdict.ReasonLogDown, verdict.ReasonUpstreamFailed:
		return true
	}
	return false
}

// traceConnection returns a context for one attempt, and whether the attempt
// has obtained a connection.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	var connected atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), &connected
}

// toRefusal returns the refusal for a failed attempt. Without a connection the
// request was not sent.
func toRefusal(err error, connected bool) verdict.Refusal {
	if !connected {
		return verdict.Refuse(verdict.ReasonNotReady, time.Second, "no connection: %v", err)
	}
	return verdict.FromConnect(err)
}

// Call calls a plain service. The error is a verdict.Refusal.
func (c *Client) Call(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	req.Customer = c.Customer
	var out *callerv1.CallResponse
	err := c.tryEach(ctx, req.GetService(), func(ctx context.Context, address string) error {
		resp, err := callerv1connect.NewCallerCommandsClient(c.http(), c.scheme()+address).Call(ctx, connect.NewRequest(req))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// DefaultMaxResumptions is the default of Client.MaxResumptions.
const DefaultMaxResumptions = 2

// Generate calls emit for every token of a model's answer, in order, and
// returns nil after the end mark. If the connection breaks, it resumes the
// stream at the next token through another entry instance. The error is a
// verdict.Refusal.
func (c *Client) Generate(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error {
	req.Customer = c.Customer
	next := req.GetFromToken()
	maxResumptions := cmp.Or(c.MaxResumptions, DefaultMaxResumptions)
	for numResumed := 0; ; numResumed++ {
		req.FromToken = next
		isBroken := false
		err := c.tryEach(ctx, req.GetModel(), func(ctx context.Context, address string) error {
			err := c.stream(ctx, address, req, &next, emit)
			isBroken = err != nil && !verdict.IsRefusal(err)
			return err
		})
		if err == nil || !isBroken || numResumed >= maxResumptions || ctx.Err() != nil {
			return err
		}
		c.forget(req.GetModel())
	}
}

// stream receives tokens from index *next on and advances *next. It sets the software version of
// the request to the one that wrote them, so that the rest comes from the same.
func (c *Client) stream(ctx context.Context, address string, req *callerv1.GenerateRequest, next *uint32, emit func(token string)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := callerv1connect.NewCallerCommandsClient(c.http(), c.scheme()+address).Generate(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		m := stream.Msg()
		if m.GetEnd() {
			if m.GetCount() != *next {
				return errors.Newf("end mark counts %d tokens, %d came", m.GetCount(), *next)
			}
			return nil
		}
		if m.GetIndex() != *next {
			return errors.Newf("token %d came, %d was next", m.GetIndex(), *next)
		}
		*next++
		req.Software = m.GetSoftware()
		emit(m.GetToken())
	}
	if stream.Err() == nil {
		return errors.New("stream ended without an end mark")
	}
	return stream.Err()
}
