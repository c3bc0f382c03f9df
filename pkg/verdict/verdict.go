package verdict

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
)

// Ran says whether a refused request may have run.
type Ran uint8

// Values of Ran.
const (
	MayHaveRun Ran = iota
	NotRun
)

func (r Ran) String() string {
	if r == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// Reason says why a request was refused, in kebab case. The set of reasons is
// fixed, so that it can serve as a metric label.
type Reason string

// Reasons of refusals.
const (
	ReasonInvalid         Reason = "invalid"
	ReasonNoContract      Reason = "no-contract"
	ReasonUnknownTarget   Reason = "unknown-target"
	ReasonDeadline        Reason = "deadline"
	ReasonQueueFull       Reason = "queue-full"
	ReasonContractLimit   Reason = "contract-limit"
	ReasonNoUpstream      Reason = "no-upstream"
	ReasonUpstreamFailed  Reason = "upstream-failed"
	ReasonLogDown         Reason = "log-down"
	ReasonEarlierAttempt  Reason = "earlier-attempt"
	ReasonKeyTooOld       Reason = "key-too-old"
	ReasonPoison          Reason = "poison"
	ReasonStopping        Reason = "stopping"
	ReasonNotReady        Reason = "not-ready"
	ReasonCanceled        Reason = "canceled"
	ReasonIncompleteReply Reason = "incomplete-reply"
	// ReasonUnknownOrigin refuses the rest of a stream that cannot go on, because it is not
	// known which software version began it.
	ReasonUnknownOrigin Reason = "unknown-origin"
	// ReasonOverQuota refuses a request over the quota of its client account, and
	// ReasonNoLender one whose quota no other instance can be asked for.
	ReasonOverQuota Reason = "over-quota"
	ReasonNoLender  Reason = "no-lender"
)

// Refusal is the verdict on a request that was not answered. It implements
// error.
type Refusal struct {
	Ran    Ran
	Reason Reason
	// RetryAfter is the delay after which the caller may retry. Zero means never.
	RetryAfter time.Duration
	// Detail is a human-readable explanation.
	Detail string
}

// Refuse returns a refusal of a request that provably did not run.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) Refusal {
	return Refusal{Ran: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// RefuseMayHaveRun returns a refusal of a request that may have run.
func RefuseMayHaveRun(reason Reason, retryAfter time.Duration, format string, args ...any) Refusal {
	return Refusal{Ran: MayHaveRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

func (r Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Ran, r.Detail)
}

// WithRetryAfter returns the refusal with retry delay d.
func (r Refusal) WithRetryAfter(d time.Duration) Refusal {
	r.RetryAfter = d
	return r
}

// AfterAttempts returns the refusal of a request whose earlier attempts ended with
// ran. The result is NotRun only if both r and ran are NotRun.
func (r Refusal) AfterAttempts(ran Ran) Refusal {
	if ran == MayHaveRun {
		r.Ran = MayHaveRun
	}
	return r
}

// FromError returns the refusal in err. If err wraps none, it returns a refusal
// that is MayHaveRun.
func FromError(err error) Refusal {
	var r Refusal
	if errors.As(err, &r) {
		return r
	}
	return RefuseMayHaveRun(ReasonUpstreamFailed, 0, "%v", err)
}

var connectCodes = map[Reason]connect.Code{
	ReasonInvalid:        connect.CodeInvalidArgument,
	ReasonNoContract:     connect.CodePermissionDenied,
	ReasonUnknownTarget:  connect.CodeNotFound,
	ReasonDeadline:       connect.CodeDeadlineExceeded,
	ReasonQueueFull:      connect.CodeResourceExhausted,
	ReasonContractLimit:  connect.CodeResourceExhausted,
	ReasonOverQuota:      connect.CodeResourceExhausted,
	ReasonEarlierAttempt: connect.CodeAlreadyExists,
	ReasonKeyTooOld:      connect.CodeFailedPrecondition,
	ReasonPoison:         connect.CodeFailedPrecondition,
	ReasonCanceled:       connect.CodeCanceled,
}

// ToConnect returns the refusal as a Connect error that carries it as an error
// detail.
func (r Refusal) ToConnect(requestID string) *connect.Error {
	code, ok := connectCodes[r.Reason]
	if !ok {
		code = connect.CodeUnavailable
	}
	e := connect.NewError(code, errors.Newf("%s", r.Error()))
	ran := callerv1.Ran_RAN_MAY_HAVE_RUN
	if r.Ran == NotRun {
		ran = callerv1.Ran_RAN_NOT_RUN
	}
	detail, err := connect.NewErrorDetail(&callerv1.Refusal{
		Ran: ran, Reason: string(r.Reason), ComeBackMs: uint32(r.RetryAfter.Milliseconds()),
		RequestId: requestID, Detail: r.Detail,
	})
	if err == nil {
		e.AddDetail(detail)
	}
	return e
}

// IsRefusal reports whether err carries a refusal from an entry instance.
// Callers treat any other error as a broken connection.
func IsRefusal(err error) bool {
	_, ok := refusalIn(err)
	return ok
}

// FromConnect returns the refusal that an entry instance sent in err. If err
// carries none, it returns a refusal that is MayHaveRun.
func FromConnect(err error) Refusal {
	if r, ok := refusalIn(err); ok {
		return r
	}
	return RefuseMayHaveRun(ReasonUpstreamFailed, 0, "%v", err)
}

// refusalIn returns the refusal among the error details of err.
func refusalIn(err error) (Refusal, bool) {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return Refusal{}, false
	}
	for _, d := range ce.Details() {
		v, derr := d.Value()
		if derr != nil {
			continue
		}
		p, ok := v.(*callerv1.Refusal)
		if !ok {
			continue
		}
		r := Refusal{
			Reason: Reason(p.GetReason()), Detail: p.GetDetail(),
			RetryAfter: time.Duration(p.GetComeBackMs()) * time.Millisecond,
		}
		if p.GetRan() == callerv1.Ran_RAN_NOT_RUN {
			r.Ran = NotRun
		}
		return r, true
	}
	return Refusal{}, false
}
