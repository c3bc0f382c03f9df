package follower

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
)

// errNeverRead means that the topic was not listed yet.
var errNeverRead = errors.New("the topic was never read")

// ReadCurrent reads the log directly until every record is known that was appended before the call.
// Calls at the same time share their reads.
func (f *Follower) ReadCurrent(ctx context.Context) error {
	calledAt := clocker.SinceStart()
	f.mu.Lock()
	if f.currentRead == nil {
		f.currentRead = make(chan struct{}, 1)
	}
	reading := f.currentRead
	f.mu.Unlock()
	select {
	case reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-reading }()
	for {
		f.mu.Lock()
		hasRead, from, isCurrent := f.hasRead, f.next, f.isKnown && f.knownAt >= calledAt
		f.mu.Unlock()
		switch {
		case isCurrent:
			return nil
		case !hasRead:
			return errNeverRead
		}
		if err := f.read(ctx, from, 0); err != nil {
			return err
		}
	}
}
