package archiver

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

const (
	// MaxBatch bounds the origins in a batch, and maxTextBytes each text of an origin. A batch
	// takes 200 kB at most, less than the platform's bound of a record.
	MaxBatch     = 512
	maxTextBytes = 96
)

// ErrNotHolder is returned by an instance that does not hold the lease.
var ErrNotHolder = errors.New("this instance does not save origins")

// MalformedError is the error of a slot that cannot be read, or not all of it.
type MalformedError struct {
	Slot  int
	Cause error
}

func (e MalformedError) Error() string { return fmt.Sprintf("origins in slot %d: %v", e.Slot, e.Cause) }

// Unwrap returns the cause.
func (e MalformedError) Unwrap() error { return e.Cause }

// ErrConflict is returned by Store.Delete if the log has changed since it was read.
var ErrConflict = errors.New("other origins have been saved")

// Batch are the origins in one slot. Their TTLs count from when the batch was saved.
type Batch []streamtracker.Origin

// Store keeps batches in the platform's log.
type Store struct {
	// Load returns the saved batches by slot, why some of them cannot be read, and the end of the log.
	Load func(context.Context) (batches map[int]Batch, malformed []error, end sequencer.Position, err error)
	// Save replaces the batches of slots, all or none. A slot with an empty batch is deleted. After an error it
	// may still be done seconds later.
	Save func(context.Context, map[int]Batch) error
	// Delete deletes slots if the log still ends at a position. Otherwise it returns ErrConflict.
	Delete func(ctx context.Context, slots []int, end sequencer.Position) error
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
