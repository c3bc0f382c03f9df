package archiver

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

const (
	// MaxBatch bounds the origins in a batch, and maxTextBytes each text of an origin. A batch
	// takes 200 kB at most, less than the platform's bound of a record.
	MaxBatch     = 512
	maxTextBytes = 96
	// maxSlots bounds the slots of the holder of the lease. Those from maxSlots on are of single processes.
	maxSlots = 4096
	// localSlots is the number of those slots. Each process uses some from a random one on.
	localSlots = 1 << 52
	// maxDeletions bounds the slots that are deleted with one append.
	maxDeletions = 64
)

// ErrNotHolder is returned by an instance that does not hold the lease.
var ErrNotHolder = errors.New("this instance does not save origins")

// Batch are the origins in one slot. Their TTLs count from when the batch was saved.
type Batch []streamtracker.Origin

// Store keeps batches in the platform's log.
type Store struct {
	// Load returns the saved batches by slot, and why some of them cannot be read.
	Load func(context.Context) (batches map[int]Batch, malformed []error, err error)
	// Save replaces the batches of slots, all or none. A slot with an empty batch is deleted.
	Save func(context.Context, map[int]Batch) error
}

func storable(list []streamtracker.Origin) (out Batch) {
	for _, o := range list {
		if isStorable(o) {
			out = append(out, o)
		}
	}
	return out
}

// isStorable reports whether an origin may be archived. Ids and versions come from outside and may
// be of any length.
func isStorable(o streamtracker.Origin) bool {
	return o.IsBound && !o.IsUnproven && o.TTL > 0 && o.Stream != "" && max(len(o.Stream), len(o.Service), len(o.Software)) <= maxTextBytes
}
