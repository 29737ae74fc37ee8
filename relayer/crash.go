package relayer

import (
	"context"
	"fmt"
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
	// crashCheckTimeout bounds all of them. A process that has ended on a running host
	// refuses a connection at once.
	crashCheckTimeout = 300 * time.Millisecond
)

// confirmCrash changes a failure that came with the end of a connection to
// failureCrashed if the process of the server has ended. A broken connection alone may
// have another cause. Every failed attempt passes it, whatever the server was running.
func (r *Relayer) confirmCrash(f *failure, a *egretflow.Assignment, pool *egretflow.Pool) {
	server := serverOf(a, f.server)
	if f.kind != failureBroken || f.status != 0 || server == nil {
		return
	}
	// The requests that break together share one check.
	ended, _, _ := r.crashes.Do(string(server.Name), func() (any, error) {
		return r.hasEnded(server, pool), nil
	})
	if ended == true {
		f.kind = failureCrashed
	}
}

// serverOf returns the server of a with the name, or nil.
func serverOf(a *egretflow.Assignment, name egretflow.ServerName) *egretflow.Server {
	for _, s := range []*egretflow.Server{a.Decode, a.Prefill} {
		if s != nil && s.Name == name {
			return s
		}
	}
	return nil
}

// hasEnded reports whether the process of a server has ended. One whose address refuses
// connections or belongs to another server has. Engines of the own interface respond to
// a probe at any time, so that one which does not has ended, too.
func (r *Relayer) hasEnded(s *egretflow.Server, pool *egretflow.Pool) bool {
	switch {
	case pool.Kind != egretflow.PoolKindModel:
		return isGone(func(ctx context.Context) error { return r.connect(ctx, s) })
	case r.cfg.Engines != nil:
		return isGone(func(ctx context.Context) error {
			_, err := r.cfg.Engines.Load(ctx, s)
			return err //nolint:wrapcheck // only its kind matters
		})
	}
	return r.probe(s, pool.ServerTLS) != nil
}

// isGone calls check until it says whether a server is there, at most crashChecks times.
func isGone(check func(ctx context.Context) error) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	for n := range crashChecks {
		if n > 0 {
			wait(ctx, crashCheckPause)
		}
		err := check(ctx)
		switch {
		case err == nil || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
			return false
		case connector.IsConnRefused(err) || errors.Is(err, egretflow.ErrNotFound):
			return true
		}
	}
	return false
}

// connect opens a connection to a server and closes it.
func (r *Relayer) connect(ctx context.Context, s *egretflow.Server) error {
	conn, err := r.cfg.Dial(ctx, "tcp", s.Address.String())
	if err != nil {
		return fmt.Errorf("connect to %s: %w", s.Name, err)
	}
	conn.Close()
	return nil
}
