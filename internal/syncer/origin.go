package syncer

import (
	"context"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/archiver"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// numHomes is the number of other instances that keep the origin of a stream.
	numHomes = 3
	// numHomesAsked is the number of instances that are asked for one. They include all
	// homes also if the asking instance lists others that have started since, and if the
	// instance that began the stream ranks among the first.
	numHomesAsked = 6
	// maxOriginsPerCall bounds the origins in one call.
	maxOriginsPerCall = 4096
	// homeProofTimeout is how long a question for an origin that began here waits for its proof. It is
	// below the time that the asking instance waits.
	homeProofTimeout = 150 * time.Millisecond
)

// originSender sends origins to other instances, one call at a time to each. Its zero value
// is ready to use.
type originSender struct {
	mu      sync.Mutex
	pending map[string][]originDelivery // by address, while a call to it runs
}

type originDelivery struct {
	origins []*peerv1.Origin
	done    func(err error)
}

// homes returns the members that keep a stream, best first, without this instance. It
// includes those that do not respond at present: instances agree on the homes only if they
// rank the same members.
func (c *Client) homes(stream string) []*peerv1.Member {
	c.mu.Lock()
	members := c.members
	c.mu.Unlock()
	byName := make(map[string]*peerv1.Member, len(members))
	cands := make([]locator.Candidate, 0, len(members))
	for _, m := range members {
		if m.GetInstance() != c.Self.GetInstance() {
			byName[m.GetInstance()] = m
			cands = append(cands, locator.Candidate{Name: m.GetInstance()})
		}
	}
	var out []*peerv1.Member
	for _, x := range locator.Rank(stream, cands) {
		out = append(out, byName[x.Name])
	}
	return out
}

// SendOrigins sends origins to the homes of their streams.
func (c *Client) SendOrigins(list []streamtracker.Origin) streamtracker.Delivery {
	byHome := make(map[string][]*peerv1.Origin)
	for _, o := range list {
		homes := c.homes(o.Stream)
		for _, m := range homes[:min(len(homes), numHomes)] {
			byHome[m.GetPeerAddress()] = append(byHome[m.GetPeerAddress()], encodeOrigin(o))
		}
	}
	first, all := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	left, isKept := len(byHome), false
	done := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		left--
		if !isKept && (err == nil || left == 0) {
			isKept = true
			close(first)
		}
		if left == 0 {
			close(all)
		}
	}
	if left == 0 {
		left = 1
		done(nil)
	}
	for address, origins := range byHome {
		c.origins.send(c, address, originDelivery{origins, done})
	}
	return streamtracker.Delivery{First: first, All: all}
}

// send starts a call, or adds to the next one if a call to the address runs.
func (s *originSender) send(c *Client, address string, d originDelivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = make(map[string][]originDelivery)
	}
	waiting, isRunning := s.pending[address]
	s.pending[address] = append(waiting, d)
	if !isRunning {
		go s.run(c, address)
	}
}

// run calls an instance until nothing is pending for it.
func (s *originSender) run(c *Client, address string) {
	for {
		s.mu.Lock()
		list := s.pending[address]
		if len(list) == 0 {
			delete(s.pending, address)
			s.mu.Unlock()
			return
		}
		s.pending[address] = []originDelivery{}
		s.mu.Unlock()
		var r peerv1.KeepOriginsRequest
		for _, d := range list {
			r.Origins = append(r.Origins, d.origins...)
		}
		err := c.keepOrigins(address, &r)
		for _, d := range list {
			d.done(err)
		}
	}
}

func (c *Client) keepOrigins(address string, r *peerv1.KeepOriginsRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := peerv1.NewFleetCommandsProtobufClient("http://"+address, c.HTTP).KeepOrigins(ctx, r)
	if err != nil {
		c.Log.Info("origins of streams not delivered", zap.String("address", address), zap.Int("streams", len(r.GetOrigins())), logger.Error(err))
	}
	return err
}

// SaveOrigins has the holder of the lease save origins in the platform's log.
func (c *Client) SaveOrigins(ctx context.Context, list []streamtracker.Origin) error {
	if c.Server.IsHolder() {
		return c.Server.Archive.Save(ctx, list)
	}
	holder := c.Lease.Newest()
	if holder.Address == "" || holder.IsReleased {
		return errNoHolder
	}
	r := &peerv1.SaveOriginsRequest{}
	for _, o := range list {
		r.Origins = append(r.Origins, encodeOrigin(o))
	}
	_, err := peerv1.NewFleetCommandsProtobufClient("http://"+holder.Address, c.HTTP).SaveOrigins(ctx, r)
	return err
}

var errNoHolder = errors.New("no holder of the lease is known")

// SaveOrigins implements peerv1.FleetCommands.
func (s *Server) SaveOrigins(ctx context.Context, r *peerv1.SaveOriginsRequest) (*peerv1.SaveOriginsResponse, error) {
	list := make([]streamtracker.Origin, 0, min(len(r.GetOrigins()), archiver.MaxBatch))
	for _, o := range r.GetOrigins()[:min(len(r.GetOrigins()), archiver.MaxBatch)] {
		list = append(list, decodeOrigin(o))
	}
	if err := s.Archive.Save(ctx, list); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerv1.SaveOriginsResponse{}, nil
}

// AskForOrigin asks the homes of a stream for its origin.
func (c *Client) AskForOrigin(ctx context.Context, stream, service string) (answers []streamtracker.Answer, numAsked int) {
	homes := c.homes(stream)
	homes = homes[:min(len(homes), numHomesAsked)]
	var mu sync.Mutex
	var wg sync.WaitGroup
	ask := func(address string, isHome bool) {
		r, err := peerv1.NewFleetQueriesProtobufClient("http://"+address, c.HTTP).FindOrigin(ctx, &peerv1.FindOriginRequest{Stream: encodeID(stream), Service: service})
		if err != nil {
			c.Log.Debug("instance not asked for a stream", zap.String("address", address), logger.Error(err))
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if a := decodeAnswer(r); isHome || a.IsKnown {
			answers = append(answers, a)
		}
	}
	isAsked := map[string]bool{"": true}
	for _, m := range homes {
		isAsked[m.GetPeerAddress()] = true
		wg.Go(func() { ask(m.GetPeerAddress(), true) })
	}
	// The holder of the lease has requested the states of all upstreams, which name what they run.
	if holder := c.Lease.Newest(); !holder.IsReleased && !isAsked[holder.Address] && holder.Holder != c.Self.GetInstance() {
		wg.Go(func() { ask(holder.Address, false) })
	}
	wg.Wait()
	return answers, len(homes)
}

// KeepOrigins implements peerv1.FleetCommands.
func (s *Server) KeepOrigins(_ context.Context, r *peerv1.KeepOriginsRequest) (*peerv1.KeepOriginsResponse, error) {
	now := time.Now()
	for i, o := range r.GetOrigins() {
		if i >= maxOriginsPerCall {
			s.Log.Warn("origins of streams dropped", zap.Int("streams", len(r.GetOrigins())-i))
			break
		}
		s.Streams.Tracker.Record(decodeOrigin(o), now)
	}
	return &peerv1.KeepOriginsResponse{}, nil
}

// FindOrigin implements peerv1.FleetQueries.
func (s *Server) FindOrigin(ctx context.Context, r *peerv1.FindOriginRequest) (*peerv1.FindOriginResponse, error) {
	pctx, cancel := context.WithTimeout(ctx, homeProofTimeout)
	s.Streams.Prove(pctx, r.GetStream()) // if it began here
	cancel()
	now := time.Now()
	out := &peerv1.FindOriginResponse{IsFresh: s.Streams.IsFresh()}
	o, ok := s.Streams.Tracker.Find(r.GetStream(), now)
	if !ok {
		o, ok = s.Streams.FindRun(r.GetStream(), r.GetService(), now)
	}
	if ok {
		out.Origin = encodeOrigin(o)
	}
	v := s.Streams.History.Versions(r.GetService(), now)
	out.CoveredMs = milliseconds(v.Covered)
	for software, age := range v.Ages {
		out.Versions = append(out.Versions, &peerv1.SeenSoftware{Software: software, AgeMs: milliseconds(age)})
	}
	return out, nil
}

// encodeID returns the id of a request for a message. Clients choose ids, and the encoder refuses a
// whole message for one string that is no UTF-8.
func encodeID(id string) string { return strings.ToValidUTF8(id, "\uFFFD") }

func encodeOrigin(o streamtracker.Origin) *peerv1.Origin {
	return &peerv1.Origin{Stream: encodeID(o.Stream), Service: o.Service, Software: o.Software, Attempt: uint32(o.Attempt), TtlMs: milliseconds(o.TTL), IsBound: o.IsBound, IsUnproven: o.IsUnproven}
}

func decodeOrigin(o *peerv1.Origin) streamtracker.Origin {
	return streamtracker.Origin{
		Stream: o.GetStream(), Service: o.GetService(), Software: o.GetSoftware(), Attempt: int(o.GetAttempt()),
		TTL: time.Duration(o.GetTtlMs()) * time.Millisecond, IsBound: o.GetIsBound(), IsUnproven: o.GetIsUnproven(),
	}
}

func decodeAnswer(r *peerv1.FindOriginResponse) streamtracker.Answer {
	a := streamtracker.Answer{IsFresh: r.GetIsFresh(), Versions: streamtracker.Versions{
		Ages: make(map[string]time.Duration), Covered: time.Duration(r.GetCoveredMs()) * time.Millisecond,
	}}
	if o := r.GetOrigin(); o != nil {
		a.Origin, a.IsKnown = decodeOrigin(o), true
	}
	for _, v := range r.GetVersions() {
		a.Versions.Ages[v.GetSoftware()] = time.Duration(v.GetAgeMs()) * time.Millisecond
	}
	return a
}

// milliseconds returns a duration as it stands in messages.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
