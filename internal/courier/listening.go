package courier

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Listening says what became of new connections to an address.
type Listening string

// Results of Pool.TryListening.
const (
	// ListeningOpens says that a process accepts connections.
	ListeningOpens Listening = "opens"
	// ListeningResets says that each new connection was reset. An upstream does so that has no room for more of them. The end
	// of a listener resets those that it has not accepted, but only once: the next one is refused.
	ListeningResets Listening = "resets"
	// ListeningRefused says that no process listens.
	ListeningRefused Listening = "refused"
	// ListeningUnknown says that the other end did not respond.
	ListeningUnknown Listening = "unanswered"
)

const (
	// listenTime is how long a new connection to an upstream has to stay open to show that it listens.
	listenTime = 25 * time.Millisecond
	// maxListenTries bounds the connections that are opened while each is reset, and listenInterval is the time between
	// two of them, in which a process that ends closes its listener.
	maxListenTries = 3
	listenInterval = 10 * time.Millisecond
)

// TryListening finds out whether a process listens at an address. A process that crashes closes its connections and its
// listener one after the other, within some milliseconds, so a connection that can be opened in between is watched for
// listenTime. A connection that stays open is kept for a later request. Failures are not reported to OnDial.
func (p *Pool) TryListening(ctx context.Context, address string) Listening {
	for numTries := 1; ; numTries++ {
		h, err := p.Hold(ctx, address, time.Now())
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			p.CloseIdle(address)
			return ListeningRefused
		case err != nil && !errors.Is(err, syscall.ECONNRESET):
			return ListeningUnknown
		case err == nil:
			wait(ctx, listenTime)
			if h.State() != HeldEnded {
				h.Release()
				return ListeningOpens
			}
			h.Close()
		}
		if numTries == maxListenTries {
			return ListeningResets
		}
		wait(ctx, listenInterval)
	}
}

// wait waits for a time, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
