package relayer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
)

const (
	// crashChecks is the maximum number of calls that find out whether a process has
	// ended. The first may reach the socket of a process that is ending.
	crashChecks = 3
	// crashCheckPause is the time between two of them.
	crashCheckPause = 20 * time.Millisecond
)

// confirmCrash changes the failure of an attempt whose connection broke before the
// first event to failureCrashed if the process of the decode server has ended. A
// broken connection alone may have another cause.
func (g *streamAttempt) confirmCrash(ctx context.Context, err error) error {
	var f *failure
	if !errors.As(err, &f) || f.kind != failureBroken || f.server != g.a.Decode.Name || g.events > 0 {
		return err
	}
	if g.r.hasEnded(context.WithoutCancel(ctx), g.a.Decode) {
		f.kind = failureCrashed
	}
	return err
}

// hasEnded reports whether the process of an engine has ended: no process listens at
// its address, or that of another server does. The calls of EngineClient have a
// timeout.
func (r *Relayer) hasEnded(ctx context.Context, s *egretflow.Server) bool {
	for n := range crashChecks {
		if n > 0 {
			wait(ctx, crashCheckPause)
		}
		_, err := r.cfg.Engines.Load(ctx, s)
		switch {
		case err == nil || errors.Is(err, context.DeadlineExceeded):
			return false
		case connector.IsConnRefused(err) || errors.Is(err, egretflow.ErrNotFound):
			return true
		}
	}
	return false
}
