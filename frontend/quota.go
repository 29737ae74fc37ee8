package frontend

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/relayer"
)

// spendQuota takes what a request costs from the quota of its organisation, or returns
// the refusal. refundQuota must be called with the outcome of the request once it has ended.
func (f *Frontend) spendQuota(ctx context.Context, x *request, work *egretflow.Work) (egretflow.QuotaCharge, error) {
	if f.cfg.Quotas == nil || x.organisation == nil || x.organisation.Quota == nil {
		return egretflow.QuotaCharge{}, nil
	}
	charge, err := f.cfg.Quotas.Spend(ctx, x.organisation, x.organisation.Quota.Cost(work.PromptTokens, work.MaxTokens))
	if err == nil {
		return charge, nil
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return charge, err //nolint:wrapcheck // the caller has disconnected
	}
	refusal := f.quotaRefusal(ctx, err)
	f.cfg.Metrics.RequestRefused(refusal.Reason)
	return charge, refusal
}

// quotaRefusal returns the refusal for an error of a QuotaSpender.
func (f *Frontend) quotaRefusal(ctx context.Context, err error) *egretflow.Refusal {
	var refusal *egretflow.Refusal
	if !errors.As(err, &refusal) {
		if ctx.Err() != nil {
			return refuse(http.StatusServiceUnavailable, egretflow.RefusalDeadline, "the deadline passed before the quota was known", err)
		}
		refusal = refuse(http.StatusServiceUnavailable, egretflow.RefusalQuotaUnknown, "the quota of the organisation is not known at present", err)
	}
	if refusal.RetryAt.IsZero() {
		refusal.RetryAt = f.cfg.Clock().Add(f.jitter(forwardRetryAfter))
	}
	return refusal
}

// refundQuota gives back the charge of a request that has not run: its error says so, or
// nothing was sent for it, for instance because it repeats an earlier call.
func (f *Frontend) refundQuota(c egretflow.QuotaCharge, result relayer.Result, err error) {
	notRun := err != nil && asRefusal(err).RunState == egretflow.RunStateNotRun
	if c.Cost > 0 && (notRun || result.NotSent) {
		f.cfg.Quotas.Refund(c)
	}
}

// quotaFields returns the event fields of a refusal that a quota has caused.
func quotaFields(refusal *egretflow.Refusal) []egretflow.EventField {
	var e *egretflow.QuotaError
	if !errors.As(refusal.Err, &e) {
		return nil
	}
	return []egretflow.EventField{
		field("organisation", string(e.Organisation)), number("cost", e.Cost), field("left", strconv.FormatInt(e.Left, 10)),
		field("owner", string(e.Owner)),
	}
}
