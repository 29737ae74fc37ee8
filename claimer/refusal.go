package claimer

import (
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
)

// retryAfter is the delay before the suggested retry of a request that is still
// running or whose claim could not be recorded.
const retryAfter = time.Second

// answerRetry returns the results of Begin for a key that already has a record:
// the recorded outcome or a refusal, never a ticket (7.4).
func (c *Claimer) answerRetry(p location, key egretflow.ClaimKey, known egretflow.Claim) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	now := c.cfg.Clock()
	switch {
	case known.Fingerprint != key.Fingerprint:
		return nil, nil, c.refuse(p, keyReused())
	case known.State == egretflow.ClaimStateDone && known.Outcome != nil && !known.Outcome.Truncated:
		return nil, known.Outcome, nil
	case known.State == egretflow.ClaimStateDone:
		return nil, nil, c.refuse(p, outcomeNotKept())
	case known.State == egretflow.ClaimStateClaimed && now.Before(claimedAt(known).Add(2*TicketLifetime)):
		return nil, nil, c.refuse(p, inProgress(now))
	}
	return nil, nil, c.refuse(p, unresolved())
}

// claimedAt returns the time of a claim by the clock of its holder.
func claimedAt(c egretflow.Claim) time.Time { return c.ExpiresAt.Add(-Retention) }

// refuse records a refusal and returns it as an error.
func (c *Claimer) refuse(p location, r *egretflow.Refusal) error {
	c.record(egretflow.EventClaimRefused, p, "Reason", string(r.Reason))
	return r
}

// keyReused is the refusal of a key with the fingerprint of a different
// request.
func keyReused() *egretflow.Refusal {
	return &egretflow.Refusal{
		Status: http.StatusUnprocessableEntity, Reason: egretflow.RefusalKeyReused, RunState: egretflow.RunStateNotRun,
		Message: "the Idempotency-Key was used with a different request",
	}
}

// inProgress is the refusal of a retry while the first request may still run.
func inProgress(now time.Time) *egretflow.Refusal {
	return &egretflow.Refusal{
		Status: http.StatusConflict, Reason: egretflow.RefusalInProgress, RunState: egretflow.RunStateMayHaveRun,
		Message: "a request with this Idempotency-Key is running", RetryAt: now.Add(retryAfter),
	}
}

// unresolved is the refusal of a retry when the outcome of the first request is
// unknown.
func unresolved() *egretflow.Refusal {
	return &egretflow.Refusal{
		Status: http.StatusConflict, Reason: egretflow.RefusalClaimUnresolved, RunState: egretflow.RunStateMayHaveRun,
		Message: "a request with this Idempotency-Key may have run; its outcome is not known",
	}
}

// outcomeNotKept is the refusal of a retry when the outcome was recorded
// without its body.
func outcomeNotKept() *egretflow.Refusal {
	return &egretflow.Refusal{
		Status: http.StatusConflict, Reason: egretflow.RefusalClaimUnresolved, RunState: egretflow.RunStateRan,
		Message: "the request ran; its outcome was too large to keep",
	}
}

// deadlinePassed is the refusal of a claim that was committed too late to run.
func deadlinePassed() *egretflow.Refusal {
	return &egretflow.Refusal{
		Status: http.StatusGatewayTimeout, Reason: egretflow.RefusalDeadline, RunState: egretflow.RunStateNotRun,
		Message: "the deadline passed while the claim was committed",
	}
}

// unavailable is the refusal of a claim that was not committed in time. The
// request does not run even if the claim takes effect later.
func unavailable(e egretflow.CommitError, now time.Time) *egretflow.Refusal {
	r := &egretflow.Refusal{
		Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalStore, RunState: egretflow.RunStateNotRun,
		Message: "claims cannot be recorded at present", RetryAt: now.Add(retryAfter),
	}
	if e == egretflow.CommitErrorFull {
		r.Reason, r.Message = egretflow.RefusalOverload, "too many claims in this period; retry with a new key"
	}
	return r
}
