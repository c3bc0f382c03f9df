package queuer

import (
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

// limitedDelay is the delay until limited upstreams take another request of this instance.
type limitedDelay struct {
	rate, tokens float64
	count        int // upstreams
}

func (d *limitedDelay) add(b *rate.Limiter, now time.Time) {
	d.count++
	if b.Limit() > 0 {
		d.rate += float64(b.Limit())
		d.tokens += math.Max(0, b.TokensAt(now))
	}
}

// after returns the delay of a request that is granted after some others.
func (d *limitedDelay) after(ahead int) time.Duration {
	missing := float64(ahead+1) - math.Floor(d.tokens+tokenTolerance)
	switch {
	case missing <= 0:
		return 0
	case d.rate == 0:
		return maxLimitedDelay
	}
	missing = float64(ahead+1) - d.tokens
	return min(time.Duration(missing/d.rate*float64(time.Second)), maxLimitedDelay)
}

const (
	// maxLimitedDelay bounds the delay, which is longer only if no token comes at all.
	maxLimitedDelay = time.Minute
	// tokenTolerance is for rounding errors, in tokens.
	tokenTolerance = 1e-9
)
