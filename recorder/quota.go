package recorder

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretflow/egretflow"
)

const (
	// maxOrganisations bounds the organisations that have labels of their own.
	maxOrganisations = 64
	// otherOrganisations is the label of all others.
	otherOrganisations = "Other"
)

// organisationLabels chooses the organisations that have labels of their own: the first
// that are seen.
type organisationLabels struct {
	mu    sync.Mutex
	named map[egretflow.CallerName]bool
}

func (l *organisationLabels) label(o egretflow.CallerName) attribute.KeyValue {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.named[o] {
		if len(l.named) >= maxOrganisations {
			return attribute.String("organisation", otherOrganisations)
		}
		if l.named == nil {
			l.named = map[egretflow.CallerName]bool{}
		}
		l.named[o] = true
	}
	return attribute.String("organisation", string(o))
}

// QuotaAsked counts a request of an organisation with a quota.
func (m *Metrics) QuotaAsked(o egretflow.CallerName, cost int, granted bool) {
	ctx, label, result := context.Background(), m.organisations.label(o), "Refused"
	if granted {
		result = "Granted"
		m.quotaCharged.Add(ctx, int64(cost), metric.WithAttributes(label))
	}
	m.quotaRequests.Add(ctx, 1, metric.WithAttributes(label, attribute.String("result", result)))
}

// observeQuotas reports the quotas that this instance counts for the fleet. Organisations
// without a label of their own are left out, because their states have no sum.
func (m *Metrics) observeQuotas(to metric.Observer, o *observables, quotas []egretflow.QuotaStatus) {
	for n := range quotas {
		q := &quotas[n]
		label := m.organisations.label(q.Organisation)
		if label.Value.AsString() == otherOrganisations {
			continue
		}
		reached := 0.0
		if q.Reached {
			reached = 1
		}
		to.ObserveFloat64(o.quotaLeft, q.Left, metric.WithAttributes(label))
		to.ObserveFloat64(o.quotaShare, q.Share, metric.WithAttributes(label))
		to.ObserveFloat64(o.quotaReached, reached, metric.WithAttributes(label))
	}
}
