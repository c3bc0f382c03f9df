package relayer

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// suspectRetryAfter is the retry delay of a request with suspected losses: within about
// that time it is known whether the upstreams have ended.
const suspectRetryAfter = time.Second

// refusePoison returns a refusal if the request is a poison request and not a trial, nil otherwise.
func (c *call) refusePoison(ctx context.Context) error {
	f, isPoison := c.Losses.Find(c.fingerprint, c.parts, c.mayTry(), time.Now())
	if !isPoison || !f.IsPart && (c.trial.CanSend() || c.claimTrial(ctx)) {
		return nil
	}
	return c.refuseFinding(f)
}

// claimTrial makes the request a trial of its content if one is due and this instance reaches the
// upstreams.
func (c *call) claimTrial(ctx context.Context) bool {
	if c.ClaimTrial == nil || c.trial != nil || c.numSends > 0 || len(c.peersToTry()) > 0 {
		return false
	}
	delay := c.TrialDelay
	if c.mayTry() {
		delay = 0
	}
	trial, mustClaim, known := c.Losses.BeginTrial(c.fingerprint, c.parts, c.mayTry(), delay, time.Now())
	if trial == nil {
		return false
	}
	if mustClaim && !trial.SetClaim(c.ClaimTrial(ctx, c.fingerprint, known), time.Now()) {
		trial.End()
		return false
	}
	c.trial = trial
	return true
}

func (c *call) mayTry() bool { return c.MayTry != nil && c.MayTry() }

func (c *call) refuseFinding(f losstracker.Finding) error {
	retryAfter := suspectRetryAfter
	if f.IsCertain {
		retryAfter = maxRetryAfter
	}
	if f.IsPart {
		return c.refuse(verdict.ReasonPoison, retryAfter, "upstreams ended or broke off %d times in succession before they began a response with part %s of the prompt, %d times for sure; content %s",
			f.Counted, c.requestInfo.Parts[f.Part], f.Confirmed, losstracker.FormatFingerprint(f.Fingerprint))
	}
	retryAfter = min(retryAfter, max(f.UntilTrial, suspectRetryAfter))
	return c.refuse(verdict.ReasonPoison, retryAfter, "%d upstreams ended or broke off while they ran this request, %d of them ended for sure; content %s",
		f.Counted, f.Confirmed, losstracker.FormatFingerprint(f.Fingerprint))
}

// fingerprint identifies the content of a request, independent of its id, its client and
// its headers: a caller may state other headers when it sends the same content again.
func fingerprint(c *call) uint64 {
	return quarantiner.Fingerprint(c.req.Method, c.req.Host, c.req.Target, string(c.req.Body))
}

// partFingerprints identifies parts of a prompt, whatever model they are sent to.
func partFingerprints(ids []string) []uint64 {
	out := make([]uint64, 0, len(ids))
	for _, id := range ids {
		out = append(out, quarantiner.Fingerprint("part", id))
	}
	return out
}

// maxLoggedParts bounds the parts of a prompt in a line of the log.
const maxLoggedParts = 8

// loggedParts returns the first parts of the prompt.
func (c *call) loggedParts() []string {
	return c.requestInfo.Parts[:min(len(c.requestInfo.Parts), maxLoggedParts)]
}
