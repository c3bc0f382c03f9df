package archiver

import (
	"math/rand/v2"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

const (
	// firstNumber is the lowest number of a slot. Holders of earlier builds share those below it.
	firstNumber = 4096
	// numNumbers is the number of slots. Each writer takes consecutive ones from a random one on, so that
	// two writers practically never have the same.
	numNumbers = 1 << 52
	// maxSlots bounds the slots that the holder of the lease keeps.
	maxSlots = 4096
	// maxDeletions bounds the slots that are deleted with one append.
	maxDeletions = 64
	// maxAppendDelay bounds how late an append without a response may be carried out.
	maxAppendDelay = 30 * time.Second
	// sharedInterval is the time between two attempts to delete slots of earlier builds.
	sharedInterval = 10 * time.Second
)

// numbers are the numbers of the slots of one writer. Each is used for a single batch: an append that got
// no response may be carried out seconds later, when a number that is in use again would have another
// batch that is reported as saved. The zero value is ready for use.
type numbers struct{ next int }

func (n *numbers) nextNumber() int {
	if n.next == 0 {
		n.next = firstNumber + rand.IntN(numNumbers)
	}
	n.next++
	return n.next - 1
}

// slot is a saved batch and when its last stream expires.
type slot struct {
	batch          Batch
	savedAt, until time.Time
}

func newSlot(b Batch, now time.Time) slot {
	longest := time.Duration(0)
	for _, o := range b {
		longest = max(longest, min(o.TTL, streamtracker.StreamMemory))
	}
	return slot{b, now, now.Add(longest)}
}

// malformedSlot returns the slot of a record that cannot be read. It counts as one with streams that have just
// been saved.
func malformedSlot(now time.Time) slot { return slot{nil, now, now.Add(streamtracker.StreamMemory)} }

// withUnknownResult returns the slot of an append without a response. It is not deleted before
// the append can no longer be carried out, since nobody would delete it after that.
func (s slot) withUnknownResult(now time.Time) slot {
	if latest := now.Add(maxAppendDelay); s.until.Before(latest) {
		s.until = latest
	}
	return s
}
