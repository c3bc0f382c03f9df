package relayer

import (
	"strconv"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// suspectRetryAfter is the retry delay of a request with suspected losses: within about
// that time it is known whether the upstreams have ended.
const suspectRetryAfter = time.Second

// refusePoison returns a refusal if the request is a poison request, nil otherwise.
func (c *call) refusePoison() error {
	f, isPoison := c.Losses.Find(c.fingerprint, c.parts, c.mayTry(), time.Now())
	if !isPoison {
		return nil
	}
	return c.refuseFinding(f)
}

func (c *call) mayTry() bool { return c.MayTry != nil && c.MayTry() }

func (c *call) refuseFinding(f losstracker.Finding) error {
	retryAfter := suspectRetryAfter
	if f.IsCertain {
		retryAfter = maxRetryAfter
	}
	if f.IsPart {
		return c.refuse(verdict.ReasonPoison, retryAfter, "upstreams ended or broke off %d times in succession before they began a response with part %s of the prompt, %d times for sure; content %s",
			f.Counted, c.requestInfo.Parts[f.Part], f.Confirmed, FormatFingerprint(f.Fingerprint))
	}
	return c.refuse(verdict.ReasonPoison, retryAfter, "%d upstreams ended or broke off while they ran this request, %d of them ended for sure; content %s",
		f.Counted, f.Confirmed, FormatFingerprint(f.Fingerprint))
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

// FormatFingerprint returns the fingerprint of a request as it stands in logs.
func FormatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }
