package relayer

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// originMargin is how much longer than its deadline the origin of a stream is kept.
const originMargin = 5 * time.Second

const (
	// minProofWait is how long the rest of a stream waits at least until the process that sends it is
	// known.
	minProofWait = 500 * time.Millisecond
	// otherAttemptTime is what the wait leaves of the time to the first event for an attempt at another
	// upstream.
	otherAttemptTime = 500 * time.Millisecond
)

// originState is what is known of the software version that begins a stream.
type originState struct {
	delivery     *streamtracker.Delivery // of the record of the last attempt
	last         streamtracker.Origin    // that record
	hasRecord    bool
	isCorrection bool // an earlier attempt was at another version
	// upstream and openedAt are those of the connection of the last attempt.
	upstream *registrar.Upstream
	openedAt time.Time
	// isUnproven says that the stream has begun here, at a process that may be another one than
	// the registered one.
	isUnproven bool
}

func (c *call) isResumable() bool { return c.route.IsStream && c.route.IsResumable }

// resolveOrigin restricts a request for the rest of a stream to the software version that
// began it. It waits for the proof of that for as long as the request can still start.
func (c *call) resolveOrigin(ctx context.Context) error {
	if !c.isResumable() || c.requestInfo.LastEventID == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.admission.StartBy)
	defer cancel()
	software, err := c.Streams.Resolve(ctx, c.requestInfo.Resumes, c.admission.Service, c.requestInfo.Model)
	if err != nil {
		return err
	}
	c.admission.Software = &software
	return nil
}

// recordOrigin records the software version of an upstream that may begin the stream.
func (c *call) recordOrigin(u *registrar.Upstream) {
	if !c.isResumable() || c.admission.Software != nil {
		return
	}
	o := &c.origin
	o.isCorrection = o.isCorrection || o.hasRecord && o.last.Software != u.Software
	o.last, o.hasRecord = streamtracker.Origin{
		Stream: c.requestInfo.ID, Service: c.admission.Service, Software: u.Software, Attempt: c.numSends,
		TTL: max(c.requestInfo.Deadline, time.Until(c.deadline)) + originMargin, IsUnproven: c.canVerify(),
	}, true
	o.delivery = c.Streams.Begin(o.last)
}

// startAdmission returns the request to the queue. A stream that begins while its origin cannot be saved
// begins at the default software version.
func (c *call) startAdmission(ctx context.Context) (queuer.Request, error) {
	admission := c.admission
	if !c.isResumable() || admission.Software != nil || c.requestInfo.LastEventID != "" || c.reply.hasBegun() {
		return admission, nil
	}
	software, err := c.Streams.StartVersion(ctx, admission.Service, c.requestInfo.Model)
	admission.Software = software
	return admission, err
}

// bindToOrigin restricts a stream that begins to the software version of its upstream. It returns a refusal
// if nobody could find out that version after this and other instances have ended.
func (c *call) bindToOrigin(ctx context.Context) error {
	if !c.isResumable() || c.admission.Software != nil || c.handOn.isRunning {
		return nil
	}
	// The instance that handed the request on may have recorded attempts of its own.
	mayDiffer := c.origin.isCorrection || c.handOn.isReceived
	var verify func(context.Context) bool
	if c.canVerify() {
		u, openedAt := c.origin.upstream, c.origin.openedAt
		verify = func(ctx context.Context) bool { return c.Verifier.Verify(ctx, u, openedAt) }
		c.origin.isUnproven = !c.Verifier.IsProven(u, openedAt)
	}
	c.origin.last.IsUnproven = c.origin.isUnproven
	bound := c.Streams.Bind(c.origin.last, mayDiffer, verify)
	if bound != nil {
		c.origin.delivery = bound
	}
	c.Streams.Await(ctx, c.origin.delivery, mayDiffer)
	if err := c.Streams.Commit(ctx, c.origin.last, c.requestInfo.Model); err != nil {
		return c.withEarlierAttempts(verdict.FromError(err).AfterAttempts(verdict.MayHaveRun))
	}
	c.admission.Software = &c.origin.last.Software
	return nil
}

// recordStreamEnd records that the stream has been forwarded to its end.
func (c *call) recordStreamEnd() {
	if !c.isResumable() {
		return
	}
	stream := c.requestInfo.ID
	if c.requestInfo.LastEventID != "" {
		stream = c.requestInfo.Resumes
	}
	c.Streams.Tracker.RecordEnd(stream)
}

// resolveOriginAtPeer restricts a stream that has begun at a peer to its software version.
func (c *call) resolveOriginAtPeer(ctx context.Context) error {
	if !c.reply.hasBegun() || !c.isResumable() || c.admission.Software != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.admission.StartBy)
	defer cancel()
	software, err := c.Streams.Resolve(ctx, c.requestInfo.ID, c.admission.Service, c.requestInfo.Model)
	if err != nil {
		return err
	}
	c.admission.Software = &software
	return nil
}

// canVerify reports whether upstreams of the service say when their processes started.
func (c *call) canVerify() bool {
	return c.cfg.Services[c.admission.Service].Engine != nil && c.Verifier != nil
}

// proveOrigin returns an error if a stream that has begun here cannot go on at another upstream,
// since it is not known which software version began it.
func (c *call) proveOrigin(ctx context.Context) error {
	if !c.origin.isUnproven {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.admission.StartBy)
	defer cancel()
	if c.Streams.IsAtRisk(c.admission.Service) && !c.Streams.Prove(ctx, c.requestInfo.ID) {
		return verdict.Refuse(verdict.ReasonUnknownOrigin, 0, "it is not known which version began the stream: %s", c.lastFailure)
	}
	c.origin.isUnproven = false
	return nil
}

// hasOriginVersion reports whether the process that sends the rest of a stream is known to be the
// registered one, which is of the version that began the stream. It waits for the proof of that.
func (c *call) hasOriginVersion(ctx context.Context) bool {
	if c.admission.Software == nil || c.handOn.isRunning || !c.canVerify() || !c.Streams.IsAtRisk(c.admission.Service) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, max(minProofWait, time.Until(c.admission.StartBy)-otherAttemptTime))
	defer cancel()
	return c.Verifier.Verify(ctx, c.origin.upstream, c.origin.openedAt)
}
