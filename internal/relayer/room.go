package relayer

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// roomTimeout bounds how long a failed attempt waits until it is known whether its upstream lives.
const roomTimeout = 150 * time.Millisecond

// hasNoRoom reports whether an attempt failed since the upstream takes no new connections: it resets them, also after
// it has accepted them. So does one that crashes, but then no process listens any more, which the next attempt shows if
// no byte of this one was sent. Otherwise whether the request has run is not known.
func (c *call) hasNoRoom(u *registrar.Upstream, err error) bool {
	var e *courier.Error
	if !errors.As(err, &e) || !e.IsNew || !errors.Is(err, syscall.ECONNRESET) || c.Links.IsDoubtful() {
		return false
	}
	if !e.IsSent {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), roomTimeout) // also if the client leaves now
	defer cancel()
	l := c.Pool.TryListening(ctx, u.Address)
	return l == courier.ListeningOpens || l == courier.ListeningResets
}
