package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// minSenders and sendersPerRate bound the instances that send to a limited upstream:
	// each may send one request at any moment, so that the requests which come at once
	// exceed the limit by no more than their number.
	minSenders     = 3
	sendersPerRate = 2.0 // per request a second
	// minRequestRate takes the place of lower limits, in requests per second: only a
	// response shows that the limit is over.
	minRequestRate = 0.1
	// unknownInstances is the number of instances that is assumed until they are known.
	unknownInstances = 6
)

// share is this instance's part of the requests that a limited upstream takes.
type share struct {
	startedAtMs int64
	limit       float64 // of all instances
	version     uint64  // of the instances
	// bucket has no tokens if other instances send to the upstream.
	bucket *rate.Limiter
}

// SetInstances sets the names of this instance and of all live ones, which share the
// limits of upstreams.
func (t *Table) SetInstances(self string, all []string) {
	all = slices.Sorted(slices.Values(all))
	if t.self == self && slices.Equal(t.instances, all) {
		return
	}
	t.self, t.instances = self, all
	t.instancesVersion++
}

// bucketOf returns the token bucket of a limited upstream.
func (t *Table) bucketOf(u *registrar.Upstream, now time.Time) *rate.Limiter {
	s, ok := t.shares[u.ID]
	isSame := ok && s.startedAtMs == u.StartedAtMs
	if isSame && s.limit == u.RequestRate && s.version == t.instancesVersion {
		return s.bucket
	}
	r := rate.Limit(shareOf(u.ID, max(u.RequestRate, minRequestRate), t.self, t.instances))
	if isSame {
		s.bucket.SetLimitAt(now, r)
	} else {
		s.bucket = rate.NewLimiter(r, 1)
	}
	t.shares[u.ID] = share{u.StartedAtMs, u.RequestRate, t.instancesVersion, s.bucket}
	return s.bucket
}

// shareOf returns how many requests a second an instance may send to an upstream that takes
// limit a second from all instances, 0 if only others may. All instances choose the same
// senders.
func shareOf(upstream string, limit float64, self string, instances []string) float64 {
	n := len(instances)
	if n == 0 {
		return limit / unknownInstances
	}
	senders := minSenders + int(math.Min(sendersPerRate*limit, float64(n)))
	if n <= senders {
		return limit / float64(n)
	}
	own, rank := xxhash.Sum64String(upstream+"\x00"+self), 0
	for _, name := range instances {
		if name != self && xxhash.Sum64String(upstream+"\x00"+name) < own {
			rank++
		}
	}
	if rank >= senders {
		return 0
	}
	return limit / float64(senders)
}

// canStart reports whether this instance may send a request to the upstream now.
func (t *Table) canStart(u *registrar.Upstream, now time.Time) bool {
	if !u.IsLimited {
		return true
	}
	b := t.bucketOf(u, now)
	return b.Limit() > 0 && b.TokensAt(now) >= 1
}

// recordStart records that a request is sent to the upstream.
func (t *Table) recordStart(u *registrar.Upstream, now time.Time) {
	if u.IsLimited {
		t.bucketOf(u, now).AllowN(now, 1)
	}
}

// ahead counts the requests of a model that start before another one.
type ahead struct {
	anywhere int            // those that upstreams of any software version may run
	bound    map[string]int // those that may run at one software version only
}

// add counts a request.
func (a *ahead) add(req Request) {
	if req.Software == nil {
		a.anywhere++
		return
	}
	if a.bound == nil {
		a.bound = make(map[string]int)
	}
	a.bound[*req.Software]++
}

// limit is what the limited upstreams of a software version take from this instance.
type limit struct{ rate, tokens float64 }

// limits are the limits of the upstreams that may run a request, by software version.
type limits map[string]limit

// add adds a limited upstream.
func (l limits) add(u *registrar.Upstream, b *rate.Limiter, now time.Time) {
	x := l[u.Software]
	if b.Limit() > 0 {
		x.rate += float64(b.Limit())
		x.tokens += math.Max(0, b.TokensAt(now))
	}
	l[u.Software] = x
}

// after returns the delay of a request that is granted after some others. Those that may run at one
// version only use its tokens, and the others use what is left of any version.
func (l limits) after(a ahead) time.Duration {
	needed, free := float64(a.anywhere+1), 0.0
	var left []limit // tokens are negative where requests of the version wait
	for software, x := range l {
		x.tokens -= float64(a.bound[software])
		free += math.Max(0, x.tokens)
		if x.rate > 0 {
			left = append(left, x)
		}
	}
	if needed <= math.Floor(free+tokenTolerance) {
		return 0
	}
	// The versions with the shortest queues of their own are used first.
	slices.SortFunc(left, func(a, b limit) int { return cmp.Compare(-a.tokens/a.rate, -b.tokens/b.rate) })
	seconds, sum := maxLimitedDelay.Seconds(), limit{}
	for _, x := range left {
		if sum.rate > 0 && -x.tokens/x.rate >= seconds {
			break
		}
		sum.rate, sum.tokens = sum.rate+x.rate, sum.tokens+x.tokens
		seconds = (needed - sum.tokens) / sum.rate
	}
	return min(time.Duration(seconds*float64(time.Second)), maxLimitedDelay)
}

const (
	// maxLimitedDelay bounds the delay, which is longer only if no token comes at all.
	maxLimitedDelay = time.Minute
	// tokenTolerance is for rounding errors, in tokens.
	tokenTolerance = 1e-9
)
