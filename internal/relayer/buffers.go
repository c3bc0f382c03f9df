package relayer

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBufferBytes bounds the buffers if no bound is set.
	defaultBufferBytes = 32 << 20
	// freeBufferBytes is what each response may hold whatever the others hold. Events and
	// plain responses are usually far smaller.
	freeBufferBytes = 4 << 10
)

// errBuffersFull ends a response that would hold too much of the memory for buffers.
var errBuffersFull = errors.New("too much of responses is held")

// Buffers bounds the bytes of responses that are held until they can be forwarded, of all
// requests together. Its zero value has a default bound.
type Buffers struct {
	MaxBytes int64

	used     atomic.Int64
	mostUsed atomic.Int64
}

// buffer is the part that one response holds.
type buffer struct {
	of   *Buffers
	size int64 // beyond freeBufferBytes
}

// resize changes the number of bytes that are held. It fails if that is too much.
func (b *buffer) resize(size int) error {
	wanted := max(0, int64(size)-freeBufferBytes)
	limit := b.of.MaxBytes
	if limit == 0 {
		limit = defaultBufferBytes
	}
	grown := wanted - b.size
	if grown == 0 {
		return nil
	}
	used := b.of.used.Add(grown)
	if grown > 0 && used > limit {
		b.of.used.Add(-grown)
		return errBuffersFull
	}
	b.size = wanted
	for most := b.of.mostUsed.Load(); used > most && !b.of.mostUsed.CompareAndSwap(most, used); most = b.of.mostUsed.Load() {
		continue
	}
	return nil
}

// release returns all of it.
func (b *buffer) release() {
	b.of.used.Add(-b.size)
	b.size = 0
}
