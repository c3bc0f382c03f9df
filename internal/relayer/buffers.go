package relayer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBufferBytes bounds the buffers if no bound is set.
	defaultBufferBytes = 32 << 20
	// freeBufferBytes is what each response may hold whatever the others hold. Events and
	// plain responses are usually far smaller.
	freeBufferBytes = 4 << 10
	// quietTime is how long a client must make no progress to be ended before one that holds more than its share, and
	// stalledTime to be ended for the body of a request, which may as well be refused. One that reads slowly and steadily
	// mostly acknowledges something within that time.
	quietTime, stalledTime = time.Second, 8 * time.Second
)

// errBuffersFull ends a response that would hold too much of the memory for buffers.
var errBuffersFull = errors.New("too much of responses is held")

// Buffers bounds the bytes of responses that are held until they can be forwarded, and of request
// bodies, of all requests together. Its zero value has a default bound.
type Buffers struct {
	// MaxBytes is the bound, 0 for the default.
	MaxBytes int64

	used     atomic.Int64
	mostUsed atomic.Int64

	ending sync.Mutex // held while responses are ended to make room; before mu
	mu     sync.Mutex
	// responses are those that are forwarded now. The value says whether the response is read
	// ahead. While there are any, a goroutine checks them.
	responses map[*readAhead]bool
}

// Bytes in sockets, by the sizes that are set for their buffers. The kernel doubles these.
const (
	// ClientSocketBytes is the size that is set for the buffers of connections from clients: at
	// 2 ms of latency there and back it allows 130 Mbit/s.
	ClientSocketBytes = 32 << 10
	// UpstreamSocketBytes is the size that is set for the buffers of connections to upstreams.
	UpstreamSocketBytes = 64 << 10

	clientSocketBytes   = 2 * ClientSocketBytes
	upstreamSocketBytes = 2 * UpstreamSocketBytes
)

// buffer is the part that one response holds.
type buffer struct {
	of     *Buffers
	isBody bool  // of a request
	size   int64 // beyond freeBufferBytes
}

// resize changes the number of bytes that are held. It fails if that is too much.
func (b *buffer) resize(size int) error {
	wanted := max(0, int64(size)-freeBufferBytes)
	grown := wanted - b.size
	switch {
	case grown > 0 && b.isBody:
		if err := b.of.reserveForBody(grown); err != nil {
			return err
		}
	case grown > 0:
		if err := b.of.reserve(grown); err != nil {
			return err
		}
	default:
		b.of.used.Add(grown)
	}
	b.size = wanted
	return nil
}

func (b *Buffers) limit() int64 {
	if b.MaxBytes == 0 {
		return defaultBufferBytes
	}
	return b.MaxBytes
}

// reserve reserves bytes for a response. If there are not enough, responses with slow clients are ended: the one
// without progress for the longest, but before one that has made progress within quietTime the one that holds the most, if that
// is more than an equal share of the bound. Otherwise a response without an end would end all others.
func (b *Buffers) reserve(n int64) error {
	return b.reserveFrom(n, func() *readAhead { return b.stalestSince(quietTime) }, b.largest, b.stalest)
}

// reserveForBody reserves bytes for the body of a request. It ends responses of clients that seem stalled and no others: a
// request can be refused as not run, and a response that has begun cannot be had again.
func (b *Buffers) reserveForBody(n int64) error {
	return b.reserveFrom(n, func() *readAhead { return b.stalestSince(stalledTime) })
}

// reserveFrom ends the responses that the choices name, in their order, until there is room.
func (b *Buffers) reserveFrom(n int64, choices ...func() *readAhead) error {
	if b.tryReserve(n) {
		return nil
	}
	b.ending.Lock()
	defer b.ending.Unlock()
	for !b.tryReserve(n) { // another one may have made room meanwhile
		var a *readAhead
		for _, choose := range choices {
			if a = choose(); a != nil {
				break
			}
		}
		if a == nil {
			return errBuffersFull
		}
		b.unwatch(a) // so that it is found once
		a.end(errMadeRoom)
	}
	return nil
}

func (b *Buffers) tryReserve(n int64) bool {
	used := b.used.Add(n)
	if used > b.limit() {
		b.used.Add(-n)
		return false
	}
	for most := b.mostUsed.Load(); used > most && !b.mostUsed.CompareAndSwap(most, used); most = b.mostUsed.Load() {
		continue
	}
	return true
}

// stalest returns the slow response that has made no progress for the longest.
func (b *Buffers) stalest() *readAhead {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out *readAhead
	for a, isSlow := range b.responses {
		if isSlow && (out == nil || a.progressAt.Load() < out.progressAt.Load()) {
			out = a
		}
	}
	return out
}

// stalestSince is stalest if that has made no progress for some time.
func (b *Buffers) stalestSince(d time.Duration) *readAhead {
	if a := b.stalest(); a != nil && now()-a.progressAt.Load() >= int64(d) {
		return a
	}
	return nil
}

// largest returns the slow response that holds the most, if that is more than an equal share of the bound.
func (b *Buffers) largest() *readAhead {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out *readAhead
	most, numSlow := int64(0), int64(0)
	for a, isSlow := range b.responses {
		if !isSlow {
			continue
		}
		numSlow++
		if held := a.heldBytes(); held > most {
			out, most = a, held
		}
	}
	if out == nil || most <= b.limit()/numSlow {
		return nil
	}
	return out
}

// watch adds a response to those that are checked.
func (b *Buffers) watch(a *readAhead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.responses == nil {
		b.responses = make(map[*readAhead]bool)
		go b.checkAll()
	}
	b.responses[a] = false
}

func (b *Buffers) unwatch(a *readAhead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.responses, a)
}

// markSlow records that a response is read ahead, unless it has ended.
func (b *Buffers) markSlow(a *readAhead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.responses[a]; ok {
		b.responses[a] = true
	}
}

// checkAll checks the responses at intervals until there are none.
func (b *Buffers) checkAll() {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	var list []*readAhead
	for last := now(); ; {
		<-tick.C
		b.mu.Lock()
		if len(b.responses) == 0 {
			b.responses = nil // the next one starts the checks again
			b.mu.Unlock()
			return
		}
		list = slices.AppendSeq(list[:0], maps.Keys(b.responses))
		b.mu.Unlock()
		at := now()
		checkEach(list, at, last)
		clear(list)
		last = at
	}
}

// checkEach checks responses. If the check before it is longer ago than maxCheckDelay, the process was
// paused or got no processor time, so upstreams and clients may have sent what it has not read:
// that time does not count for them.
func checkEach(list []*readAhead, at, last int64) {
	lost := at - last - int64(checkInterval)
	for _, a := range list {
		if lost > int64(maxCheckDelay) {
			a.lastEvent.Add(lost)
			a.progressAt.Add(lost)
		}
		a.check(at)
	}
}

func (b *Buffers) numSlow() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, isSlow := range b.responses {
		if isSlow {
			n++
		}
	}
	return n
}

// release returns all of it.
func (b *buffer) release() {
	b.of.used.Add(-b.size)
	b.size = 0
}

// Used returns the number of bytes that are held now, and Limit how many may be.
func (b *Buffers) Used() int64 { return b.used.Load() }

// Limit returns the bound in force.
func (b *Buffers) Limit() int64 { return b.limit() }
