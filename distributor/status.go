package distributor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/egretflow/egretflow"
)

type statusRequest struct {
	reply chan<- egretflow.InstanceStatus
}

// Status returns the state of this instance for operators. It blocks until Run
// answers or ctx ends.
func (d *Distributor) Status(ctx context.Context) (egretflow.InstanceStatus, error) {
	reply := make(chan egretflow.InstanceStatus, 1)
	select {
	case d.statuses <- statusRequest{reply}:
	case <-ctx.Done():
		return egretflow.InstanceStatus{}, fmt.Errorf("read status: %w", ctx.Err())
	}
	return <-reply, nil
}

func (t *task) status() egretflow.InstanceStatus {
	current := t.Current()
	s := egretflow.InstanceStatus{
		Name:                t.cfg.Self.Name,
		FailureDomain:       t.cfg.Self.FailureDomain,
		Region:              t.cfg.Self.Region,
		Revision:            t.active.load().revision(),
		EditID:              t.active.load().editID(),
		RevisionConfirmed:   current.Confirmed,
		RevisionConfirmedAt: current.ConfirmedAt,
		WatchesStore:        t.stopWatch != nil,
		Ready:               t.isReady,
		Members:             make([]egretflow.MemberStatus, len(t.all)),
	}
	for n, m := range t.all {
		s.Members[n] = egretflow.MemberStatus{
			Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, State: m.State, HeardAt: m.HeardAt,
		}
	}
	return s
}

// StatusHandler returns the handler of GET egretflow.StatusPath. It does not
// authenticate requests: the operator listener checks the credential first.
func (d *Distributor) StatusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
			return
		}
		status, err := d.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if d.cfg.Quotas != nil {
			status.Quotas = d.cfg.Quotas()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status)
	})
}
