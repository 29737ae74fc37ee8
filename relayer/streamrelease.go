package relayer

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/egretflow/egretflow"
)

// cleanupTimeout is the total timeout of the calls that free what one attempt
// reserved and did not use.
const cleanupTimeout = time.Second

// release releases the assignment. In the background it frees what servers still
// reserve for the attempt.
func (g *streamAttempt) release() {
	if g.handle != "" || g.hold != "" {
		g.r.cleanups.Go(g.freeUnused)
	}
	g.r.cfg.Scheduler.Release(egretflow.Release{Attempt: g.a.Attempt, Complete: g.completed})
}

// freeUnused frees the KV cache and the memory reservation that were not used.
func (g *streamAttempt) freeUnused() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	var err error
	if g.handle != "" {
		g.reportWasted()
		err = g.r.cfg.Engines.FreePrefill(ctx, g.a.Prefill, g.handle)
	}
	if g.hold != "" {
		err = stderrors.Join(err, g.r.cfg.Engines.ReleaseHold(ctx, g.a.Decode, g.hold))
	}
	if err != nil {
		// The engines free both when their lifetime ends.
		g.r.record(egretflow.EventCleanupFailed, g.a.Work, g.a, field("error", err.Error()))
	}
}

// reportWasted reports the tokens of a prompt that was computed and not used.
func (g *streamAttempt) reportWasted() {
	if g.r.cfg.PrefillWasted != nil {
		g.r.cfg.PrefillWasted(g.a.Work, g.prefillTokens)
	}
}
