package claimer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// operation is one claim or update that waits for a document.
type operation struct {
	claim egretflow.Claim
	// deadline ends the attempts to write it.
	deadline time.Time
	// reply has room for the one result.
	reply chan egretflow.CommitResult
	// uncertain says that a write with the operation had no answer.
	uncertain bool
}

// writer owns one claim document. It has one write in flight, and commits
// together what arrives within batchDelay (7.5).
type writer struct {
	name  string
	store egretflow.Store
	clock egretflow.Clock
	// jitter returns a random part of a duration.
	jitter func(time.Duration) time.Duration
	// queue is closed to end the writer.
	queue chan *operation

	document *document
	revision int64
	// loaded says that document is what the store held at revision.
	loaded  bool
	wroteAt time.Time
}

// run commits operations until the queue is closed or ctx ends.
func (w *writer) run(ctx context.Context) {
	for {
		batch := w.collect(ctx)
		if len(batch) == 0 {
			return
		}
		w.commit(ctx, batch)
	}
}

// collect waits for an operation, and then for others to join it, unless the
// document is rarely written.
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
	if w.clock().Sub(w.wroteAt) < quietAfter {
		sleep(ctx, batchDelay)
	}
	return w.drain(batch)
}

// drain adds what is queued, up to maxQueued operations.
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

// commit writes the batch, and what arrives during retries, until every
// operation has a result or passed its deadline.
func (w *writer) commit(ctx context.Context, batch []*operation) {
	// An operation is decided on a document that the store held after the
	// operation arrived, unless the answer can no longer change.
	reread := false
	for delay := firstBackoff; ; delay = min(2*delay, longestBackoff) {
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
			sleep(ctx, min(w.jitter(delay), w.untilDeadline(batch)))
		}
		batch = w.drain(batch)
	}
}

// load reads the document unless it is known.
func (w *writer) load(ctx context.Context, batch []*operation, reread *bool) error {
	if w.loaded {
		return nil
	}
	ctx, cancel := w.callContext(ctx, batch)
	defer cancel()
	entry, err := w.store.Get(ctx, w.name)
	switch {
	case errors.Is(err, egretflow.ErrNotFound):
		w.document, w.revision = newDocument(), 0
	case err != nil:
		return fmt.Errorf("read claim document: %w", err)
	default:
		if w.document, err = decodeDocument(entry.Value, w.clock()); err != nil {
			return err
		}
		w.revision = entry.ModRevision
	}
	w.loaded, *reread = true, true
	return nil
}

// write applies the batch to the document, commits it if it changed, and
// returns the operations without a result.
func (w *writer) write(ctx context.Context, batch []*operation, reread *bool) ([]*operation, error) {
	results := make([]egretflow.CommitResult, len(batch))
	changed, doubtful := false, false
	for n, op := range batch {
		inForce, wrote, err := w.document.apply(op.claim)
		results[n] = egretflow.CommitResult{Claim: inForce, Error: commitError(err)}
		changed = changed || wrote
		doubtful = doubtful || !wrote && !isFinal(op.claim, inForce)
	}
	if changed {
		if err := w.put(ctx, batch); err != nil {
			return batch, err
		}
	} else if doubtful && !*reread {
		w.loaded = false
		return batch, nil
	}
	for n, op := range batch {
		op.reply <- results[n]
	}
	return nil, nil
}

// put writes the document under the condition that it did not change.
func (w *writer) put(ctx context.Context, batch []*operation) error {
	ctx, cancel := w.callContext(ctx, batch)
	defer cancel()
	w.wroteAt = w.clock()
	revision, err := w.store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: w.name, ModRevision: w.revision}},
		Writes:     []egretflow.StoreWrite{{Key: w.name, Value: w.document.encode()}},
	})
	if err == nil {
		w.revision = revision
		return nil
	}
	if !errors.Is(err, egretflow.ErrConflict) && !errors.Is(err, egretflow.ErrUnavailable) {
		for _, op := range batch {
			op.uncertain = true
		}
	}
	return fmt.Errorf("write claim document: %w", err)
}

// callContext bounds a call by its timeout and by the last deadline of the
// batch.
func (w *writer) callContext(ctx context.Context, batch []*operation) (context.Context, context.CancelFunc) {
	last := slices.MaxFunc(batch, func(a, b *operation) int { return a.deadline.Compare(b.deadline) })
	left := last.deadline.Sub(w.clock())
	return context.WithTimeout(ctx, min(left, callTimeout))
}

func (w *writer) untilDeadline(batch []*operation) time.Duration {
	first := slices.MinFunc(batch, func(a, b *operation) int { return a.deadline.Compare(b.deadline) })
	return first.deadline.Sub(w.clock())
}

// dropExpired answers the operations that have run out of time.
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

// isFinal says that inForce answers the operation for good, also if the
// document was changed elsewhere meanwhile.
func isFinal(asked, inForce egretflow.Claim) bool {
	switch inForce.State {
	case egretflow.ClaimStateDone, egretflow.ClaimStateUnknown:
		return true
	case egretflow.ClaimStateClaimed, egretflow.ClaimStateNotRun:
		return inForce.Token == asked.Token && inForce.State == asked.State
	}
	return false
}

func commitError(err error) egretflow.CommitError {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errFull):
		return egretflow.CommitErrorFull
	case errors.Is(err, errAbsent):
		return egretflow.CommitErrorNotFound
	}
	return egretflow.CommitErrorUnavailable
}

// sleep waits for d or the end of ctx.
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
