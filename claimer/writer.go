package claimer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// operation is one claim or update that waits to be written to a document.
type operation struct {
	claim egretflow.Claim
	// deadline is when the writer gives up.
	deadline time.Time
	// reply receives the result. It is buffered, so the writer never blocks on it.
	reply chan egretflow.CommitResult
	// uncertain is set when a write that included the operation failed and may
	// still take effect.
	uncertain bool
}

// writer is this instance's only writer of one claim document. It has at most
// one write in flight and commits in one batch the operations that arrive
// within batchDelay (7.5).
type writer struct {
	name  string
	store egretflow.Store
	clock egretflow.Clock
	// jitter returns a random duration between half of its argument and all of it.
	jitter func(time.Duration) time.Duration
	// queue is closed to end the writer.
	queue chan *operation

	document *document
	version  egretflow.StoreVersion
	// loaded reports whether document was in the store at version.
	loaded  bool
	wroteAt time.Time // of the last attempt to write
}

// run commits queued operations until the queue is closed or ctx ends.
func (w *writer) run(ctx context.Context) {
	for {
		batch := w.collect(ctx)
		if len(batch) == 0 {
			return
		}
		w.commit(ctx, batch)
	}
}

// collect waits for an operation and returns it with the others in the queue.
// If the last write was less than batchIdleThreshold ago, it first waits
// batchDelay for more. It returns nil when the writer must end.
func (w *writer) collect(ctx context.Context) []*operation {
	var batch []*operation
	select {
	case op, ok := <-w.queue:
		if !ok {
			return nil
		}
		batch = append(batch, op)
	case <-ctx.Done():
		return nil
	}
	if w.clock().Sub(w.wroteAt) < batchIdleThreshold {
		sleep(ctx, batchDelay)
	}
	return w.drain(batch)
}

// drain adds queued operations to the batch, up to maxQueued in total.
func (w *writer) drain(batch []*operation) []*operation {
	for len(batch) < maxQueued {
		select {
		case op, ok := <-w.queue:
			if !ok {
				return batch
			}
			batch = append(batch, op)
		default:
			return batch
		}
	}
	return batch
}

// commit writes the batch, and the operations that arrive during retries, until
// every operation has a result or has passed its deadline.
func (w *writer) commit(ctx context.Context, batch []*operation) {
	// The result of an operation must come from a version of the document that
	// was in the store after the operation arrived, unless the result is final.
	// reread reports whether the document was read during this call.
	reread := false
	for delay := initialBackoff; ; delay = min(2*delay, maxBackoff) {
		batch = w.dropExpired(ctx, batch)
		if len(batch) == 0 {
			return
		}
		err := w.load(ctx, batch, &reread)
		if err == nil {
			batch, err = w.write(ctx, batch, &reread)
		}
		if len(batch) == 0 {
			return
		}
		if err != nil {
			w.loaded = false
			sleep(ctx, min(w.jitter(delay), w.untilFirstDeadline(batch)))
		}
		batch = w.drain(batch)
	}
}

// load reads the document from the store unless it is loaded, and then sets
// reread.
func (w *writer) load(ctx context.Context, batch []*operation, reread *bool) error {
	if w.loaded {
		return nil
	}
	ctx, cancel := w.callContext(ctx, batch)
	defer cancel()
	entry, err := w.store.Get(ctx, w.name)
	switch {
	case errors.Is(err, egretflow.ErrNotFound):
		w.document, w.version = newDocument(), egretflow.StoreVersion{}
	case err != nil:
		return fmt.Errorf("read claim document: %w", err)
	default:
		if w.document, err = decodeDocument(entry.Value, w.clock()); err != nil {
			return err
		}
		w.version = entry.Modified
	}
	w.loaded, *reread = true, true
	return nil
}

// write applies the batch to the document, commits the document if it changed,
// and sends the results. It returns the whole batch if the commit failed or the
// document must be read again first; else nil.
func (w *writer) write(ctx context.Context, batch []*operation, reread *bool) ([]*operation, error) {
	results := make([]egretflow.CommitResult, len(batch))
	changed, maybeStale := false, false
	for n, op := range batch {
		inForce, wrote, err := w.document.apply(op.claim)
		results[n] = egretflow.CommitResult{Claim: inForce, Error: commitError(err)}
		changed = changed || wrote
		maybeStale = maybeStale || !wrote && !isFinal(op.claim, inForce)
	}
	if changed {
		if err := w.put(ctx, batch); err != nil {
			return batch, err
		}
	} else if maybeStale && !*reread {
		w.loaded = false
		return batch, nil
	}
	for n, op := range batch {
		op.reply <- results[n]
	}
	return nil, nil
}

// put writes the document on the condition that the store still has it at
// version. It marks the batch as uncertain unless the write certainly failed.
func (w *writer) put(ctx context.Context, batch []*operation) error {
	ctx, cancel := w.callContext(ctx, batch)
	defer cancel()
	w.wroteAt = w.clock()
	version, err := w.store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: w.name, Modified: w.version}},
		Writes:     []egretflow.StoreWrite{{Key: w.name, Value: w.document.encode()}},
	})
	if err == nil {
		w.version = version
		return nil
	}
	if !errors.Is(err, egretflow.ErrConflict) && !errors.Is(err, egretflow.ErrUnavailable) {
		for _, op := range batch {
			op.uncertain = true
		}
	}
	return fmt.Errorf("write claim document: %w", err)
}

// callContext returns a context for one store call, which ends after
// callTimeout or at the latest deadline of the batch.
func (w *writer) callContext(ctx context.Context, batch []*operation) (context.Context, context.CancelFunc) {
	last := slices.MaxFunc(batch, func(a, b *operation) int { return a.deadline.Compare(b.deadline) })
	remaining := last.deadline.Sub(w.clock())
	return context.WithTimeout(ctx, min(remaining, callTimeout))
}

// untilFirstDeadline returns the time until the earliest deadline of the batch.
func (w *writer) untilFirstDeadline(batch []*operation) time.Duration {
	first := slices.MinFunc(batch, func(a, b *operation) int { return a.deadline.Compare(b.deadline) })
	return first.deadline.Sub(w.clock())
}

// dropExpired removes the operations whose deadline has passed, or all if ctx
// has ended, and sends them an error result.
func (w *writer) dropExpired(ctx context.Context, batch []*operation) []*operation {
	now := w.clock()
	return slices.DeleteFunc(batch, func(op *operation) bool {
		if now.Before(op.deadline) && ctx.Err() == nil {
			return false
		}
		result := egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
		if op.uncertain {
			result.Error = egretflow.CommitErrorUncertain
		}
		op.reply <- result
		return true
	})
}

// isFinal reports whether inForce is a valid result of the requested operation
// even if another instance has changed the document since it was read.
func isFinal(requested, inForce egretflow.Claim) bool {
	switch inForce.State {
	case egretflow.ClaimStateDone, egretflow.ClaimStateUnknown:
		return true
	case egretflow.ClaimStateClaimed, egretflow.ClaimStateNotRun:
		return inForce.Token == requested.Token && inForce.State == requested.State
	}
	return false
}

// commitError converts an error of document.apply to its code in a
// CommitResult.
func commitError(err error) egretflow.CommitError {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errDocumentFull):
		return egretflow.CommitErrorFull
	case errors.Is(err, errNoRecord):
		return egretflow.CommitErrorNotFound
	}
	return egretflow.CommitErrorUnavailable
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
