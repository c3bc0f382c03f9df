// Package caller is a client for callers of primrosedrift.
//
// It asks any entry instance which ones to use, keeps the answer as long as it
// may, connects there itself, and tries the next address when a request
// provably did not run. A request that may have run is never sent again.
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

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// locateTimeout bounds one question to one entry instance.
const locateTimeout = time.Second

// Client calls primrosedrift. Entries must be set; its methods may be used by
// several goroutines at once.
type Client struct {
	// Entries are addresses of entry instances to ask first, as host:port.
	Entries []string
	// Customer makes the requests.
	Customer   string
	DataCentre string
	// Resumptions is how often an answer that broke off goes on elsewhere;
	// zero means DefaultResumptions, below zero never.
	Resumptions int
	// HTTP is http.DefaultClient unless set.
	HTTP *http.Client
	// TLS makes the client use https; HTTP must then hold the trust.
	TLS bool

	mu    sync.Mutex
	cache map[string]located
}

type located struct {
	addresses []string
	until     time.Time
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) scheme() string {
	if c.TLS {
		return "https://"
	}
	return "http://"
}

// Locate returns the addresses for a target, best first.
func (c *Client) Locate(ctx context.Context, target string) ([]string, error) {
	c.mu.Lock()
	l, ok := c.cache[target]
	c.mu.Unlock()
	if ok && time.Now().Before(l.until) {
		return l.addresses, nil
	}
	ask := append(append([]string(nil), l.addresses...), c.Entries...)
	var last error
	for _, a := range ask {
		resp, err := c.locate(ctx, a, target)
		if err != nil {
			last = err
			continue
		}
		l = located{resp.GetAddresses(), time.Now().Add(time.Duration(resp.GetKeepMs()) * time.Millisecond)}
		c.mu.Lock()
		if c.cache == nil {
			c.cache = make(map[string]located)
		}
		c.cache[target] = l
		c.mu.Unlock()
		return l.addresses, nil
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

// forget drops a kept answer.
func (c *Client) forget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.cache[target]; ok {
		l.until = time.Time{}
		c.cache[target] = l
	}
}

// each tries the addresses of a target until one answers, or the request may
// have run, or the refusal would be the same elsewhere.
func (c *Client) each(ctx context.Context, target string, try func(ctx context.Context, address string) error) error {
	addresses, err := c.Locate(ctx, target)
	if err != nil {
		return verdict.Refuse(verdict.ReasonNotReady, time.Second, "%v", err)
	}
	last := verdict.Refuse(verdict.ReasonNotReady, time.Second, "no address")
	for _, a := range addresses {
		tctx, connected := traced(ctx)
		err := try(tctx, a)
		if err == nil {
			return nil
		}
		last = judge(err, connected.Load())
		last.Detail += " (through " + a + ")"
		if last.Ran != verdict.NotRun || !isLocal(last.Reason) || ctx.Err() != nil {
			return last
		}
		c.forget(target)
	}
	return last
}

// isLocal reports whether another entry instance may decide otherwise.
func isLocal(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonNotReady, verdict.ReasonStopping, verdict.ReasonLogDown, verdict.ReasonUpstreamFailed:
		return true
	}
	return false
}

func traced(ctx context.Context) (context.Context, *atomic.Bool) {
	var connected atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), &connected
}

func judge(err error, connected bool) verdict.Refusal {
	if !connected {
		return verdict.Refuse(verdict.ReasonNotReady, time.Second, "no connection: %v", err)
	}
	return verdict.FromConnect(err)
}

// Call calls a plain service. The error is a verdict.Refusal.
func (c *Client) Call(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	req.Customer = c.Customer
	var out *callerv1.CallResponse
	err := c.each(ctx, req.GetService(), func(ctx context.Context, address string) error {
		resp, err := callerv1connect.NewCallerCommandsClient(c.http(), c.scheme()+address).Call(ctx, connect.NewRequest(req))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// DefaultResumptions is how often an answer that broke off goes on elsewhere.
const DefaultResumptions = 2

// Generate calls emit for every token of a model's answer, in order, and
// returns nil after the end mark. An answer whose connection broke off goes on
// at its token through another entry instance. The error is a verdict.Refusal.
func (c *Client) Generate(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error {
	req.Customer = c.Customer
	next := req.GetFromToken()
	most := cmp.Or(c.Resumptions, DefaultResumptions)
	for resumed := 0; ; resumed++ {
		req.FromToken = next
		broke := false
		err := c.each(ctx, req.GetModel(), func(ctx context.Context, address string) error {
			err := c.stream(ctx, address, req, &next, emit)
			broke = err != nil && !verdict.IsRefusal(err)
			return err
		})
		if err == nil || !broke || resumed >= most || ctx.Err() != nil {
			return err
		}
		c.forget(req.GetModel())
	}
}

// stream receives the tokens from next on, and moves next.
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
		emit(m.GetToken())
	}
	if stream.Err() == nil {
		return errors.New("stream ended without an end mark")
	}
	return stream.Err()
}
