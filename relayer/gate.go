package relayer

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// checkAccepts returns a *failure if the server gets no new work of this instance.
func (r *Relayer) checkAccepts(s *egretflow.Server) error {
	if r.cfg.Gate == nil || r.cfg.Gate.AcceptsWork(s.Name) {
		return nil
	}
	return &failure{kind: failureRefused, server: s.Name, err: errors.New("the server no longer accepts new work")}
}

// noteStatements passes what a server states of itself in a response to the gate.
func (r *Relayer) noteStatements(s *egretflow.Server, terms *egretflow.ResponseMetadata) {
	if r.cfg.Gate == nil {
		return
	}
	if terms.Leaving {
		r.cfg.Gate.MarkLeaving(s.Name)
	}
	if !terms.RetryAt.IsZero() {
		r.cfg.Gate.PauseUntil(s.Name, terms.RetryAt)
	}
}

// noteBusy passes the error of a server that wants no work for some time to the gate.
func (r *Relayer) noteBusy(s *egretflow.Server, err error) {
	var busy *egretflow.BusyError
	if r.cfg.Gate != nil && errors.As(err, &busy) {
		r.cfg.Gate.PauseUntil(s.Name, busy.RetryAt)
	}
}

// withoutClosed returns work that avoids the servers that get no new work of this
// instance, because the scheduler that decides may be that of another one. If no server
// is left, it returns the refusal that says when there is one again.
func (f *forwardState) withoutClosed(work *egretflow.Work) (*egretflow.Work, error) {
	if f.r.cfg.Gate == nil {
		return work, nil
	}
	closed := f.r.cfg.Gate.Closed(work.Pool)
	if !closed.OpensAt.IsZero() {
		return nil, &egretflow.Refusal{
			Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalOverload, RunState: egretflow.RunStateNotRun,
			Message: "all servers of the pool want no work for now", RetryAt: closed.OpensAt,
		}
	}
	if len(closed.Names) == 0 {
		return work, nil
	}
	open := *work
	open.Avoid = slices.Concat(work.Avoid, closed.Names)
	return &open, nil
}
