package claimer

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
	"github.com/pkg/errors"
)

// committersPerShard is how many members are asked to commit before an
// instance writes a document itself. The second one serves a shard whose first
// committer cannot reach the store.
const committersPerShard = 2

// replyMargin is how long before the deadline of a request the committer
// answers it.
const replyMargin = 100 * time.Millisecond

// commitAt has a claim or update committed until ctx ends. The result is
// Uncertain when any attempt may still take effect.
func (c *Claimer) commitAt(ctx context.Context, p place, claim egretflow.Claim) egretflow.CommitResult {
	result := egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
	for delay := firstBackoff; ctx.Err() == nil; delay = min(2*delay, longestBackoff) {
		attempt := c.commitRound(ctx, p, claim)
		switch attempt.Error {
		case egretflow.CommitErrorUnavailable:
		case egretflow.CommitErrorUncertain:
			result = attempt
		default:
			return attempt
		}
		sleep(ctx, c.jitter(delay))
	}
	return result
}

// commitRound asks the committers of the shard, and writes the document itself
// when none of them can be reached (7.5).
func (c *Claimer) commitRound(ctx context.Context, p place, claim egretflow.Claim) egretflow.CommitResult {
	result := egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
	reached := false
	for _, m := range c.committers(p.shard) {
		attempt, err := c.commitOnce(ctx, m, p, claim)
		if err != nil {
			// The request may have arrived although there is no answer.
			result.Error = egretflow.CommitErrorUncertain
			continue
		}
		switch attempt.Error {
		case egretflow.CommitErrorUnavailable:
			reached = true
		case egretflow.CommitErrorUncertain:
			reached = true
			result = attempt
		default:
			return attempt
		}
	}
	if reached || ctx.Err() != nil {
		return result
	}
	own := c.commitHere(ctx, p, claim)
	if own.Error == egretflow.CommitErrorUnavailable {
		return result
	}
	return own
}

// commitOnce asks one member. An error means that the member did not answer.
func (c *Claimer) commitOnce(ctx context.Context, m egretflow.Member, p place, claim egretflow.Claim) (egretflow.CommitResult, error) {
	if m.Name == c.cfg.Instance {
		return c.commitHere(ctx, p, claim), nil
	}
	ctx, cancel := context.WithTimeout(ctx, attemptWait+replyMargin)
	defer cancel()
	resp, err := c.cfg.Peers.CommitClaims(ctx, m, &egretflow.CommitRequest{
		From: c.cfg.Instance, Claims: []egretflow.Claim{claim}, Documents: []string{p.document},
	})
	if err == nil && len(resp.Results) != 1 {
		err = fmt.Errorf("got %d results for 1 claim", len(resp.Results))
	}
	if err != nil {
		c.avoid(m.Name)
		return egretflow.CommitResult{}, fmt.Errorf("commit claim at %s: %w", m.Name, err)
	}
	return resp.Results[0], nil
}

// commitHere writes the document from this instance.
func (c *Claimer) commitHere(ctx context.Context, p place, claim egretflow.Claim) egretflow.CommitResult {
	op := &operation{claim: claim, deadline: c.cfg.Clock().Add(attemptWait), reply: make(chan egretflow.CommitResult, 1)}
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(op.deadline) {
		op.deadline = deadline
	}
	if !c.enqueue(p, op) {
		return egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
	}
	select {
	case result := <-op.reply:
		return result
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return egretflow.CommitResult{Error: egretflow.CommitErrorUncertain}
}

// HandleCommitClaims commits the claims of another instance. Any instance does
// so for any document, because every write is conditional.
func (c *Claimer) HandleCommitClaims(ctx context.Context, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	if len(r.Documents) != len(r.Claims) {
		return nil, &egretflow.FieldError{Field: "Documents", Reason: "must have one entry per claim"}
	}
	deadline := c.cfg.Clock().Add(attemptWait)
	if d, ok := ctx.Deadline(); ok && d.Add(-replyMargin).Before(deadline) {
		deadline = d.Add(-replyMargin)
	}
	ops := make([]*operation, len(r.Claims))
	for n, claim := range r.Claims {
		if !strings.HasPrefix(r.Documents[n], documentPrefix) {
			return nil, &egretflow.FieldError{Field: fmt.Sprintf("Documents[%d]", n), Reason: "is not a claim document"}
		}
		op := &operation{claim: claim, deadline: deadline, reply: make(chan egretflow.CommitResult, 1)}
		if !c.enqueue(place{document: r.Documents[n]}, op) {
			op.reply <- egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
		}
		ops[n] = op
	}
	resp := &egretflow.CommitResponse{Results: make([]egretflow.CommitResult, len(ops))}
	for n, op := range ops {
		select {
		case resp.Results[n] = <-op.reply:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for commit: %w", ctx.Err())
		case <-c.ctx.Done():
			return nil, errors.New("claimer has stopped")
		}
	}
	return resp, nil
}

// committers returns the members that commit a shard, first choice first,
// without those that did not answer lately.
func (c *Claimer) committers(shard int) []egretflow.Member {
	key := documentPrefix + strconv.Itoa(shard)
	top := rendezvous.Top(key, c.cfg.Members(), c.cfg.Instance, committersPerShard)
	return slices.DeleteFunc(top, func(m egretflow.Member) bool { return c.avoids(m.Name) })
}

func (c *Claimer) avoid(name egretflow.InstanceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[name] = c.cfg.Clock().Add(avoidFor)
}

func (c *Claimer) avoids(name egretflow.InstanceName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.avoidUntil[name]
	if !ok {
		return false
	}
	if c.cfg.Clock().Before(until) {
		return true
	}
	delete(c.avoidUntil, name)
	return false
}

// enqueue hands an operation to the writer of its document. It reports false
// when too many operations wait already.
func (c *Claimer) enqueue(p place, op *operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.writers[p.document]
	if !ok {
		entry = &writerEntry{queue: make(chan *operation, maxQueued)}
		c.writers[p.document] = entry
		w := &writer{
			name: p.document, store: c.cfg.Store, clock: c.cfg.Clock, jitter: c.jitter, queue: entry.queue,
		}
		go w.run(c.ctx)
	}
	entry.usedAt = c.cfg.Clock()
	select {
	case entry.queue <- op:
		return true
	default:
		return false
	}
}

// dropIdleWriters ends the writers that were not used lately.
func (c *Claimer) dropIdleWriters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.cfg.Clock().Add(-writerIdle)
	for name, entry := range c.writers {
		if entry.usedAt.Before(limit) && len(entry.queue) == 0 {
			close(entry.queue)
			delete(c.writers, name)
		}
	}
}
