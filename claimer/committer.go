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

// committersPerShard is the number of instances to which a claim is sent before
// an instance writes the document itself. The second one commits for a shard
// whose first committer cannot reach the store.
const committersPerShard = 2

// replyMargin is how long before the deadline of a commit request the committer
// responds, so that the response arrives in time.
const replyMargin = 100 * time.Millisecond

// commitWithRetries commits a claim or update, with retries until ctx ends. The
// result is Uncertain when any attempt may still take effect.
func (c *Claimer) commitWithRetries(ctx context.Context, p location, claim egretflow.Claim) egretflow.CommitResult {
	result := egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
	for delay := initialBackoff; ctx.Err() == nil; delay = min(2*delay, maxBackoff) {
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

// commitRound sends a claim or update to the committers of the shard in turn
// until one returns a result other than Unavailable and Uncertain. If none of
// them responded, this instance writes the document (7.5).
func (c *Claimer) commitRound(ctx context.Context, p location, claim egretflow.Claim) egretflow.CommitResult {
	result := egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
	responded := false
	for _, m := range c.committers(p.shard) {
		attempt, err := c.commitAtMember(ctx, m, p, claim)
		if err != nil {
			// The request may have arrived although the response did not.
			result.Error = egretflow.CommitErrorUncertain
			continue
		}
		switch attempt.Error {
		case egretflow.CommitErrorUnavailable:
			responded = true
		case egretflow.CommitErrorUncertain:
			responded = true
			result = attempt
		default:
			return attempt
		}
	}
	if responded || ctx.Err() != nil {
		return result
	}
	local := c.commitLocally(ctx, p, claim)
	if local.Error == egretflow.CommitErrorUnavailable {
		return result
	}
	return local
}

// commitAtMember has one member commit a claim or update, without retries. An
// error means that the member did not respond correctly; it is then avoided for
// avoidFor.
func (c *Claimer) commitAtMember(ctx context.Context, m egretflow.Member, p location, claim egretflow.Claim) (egretflow.CommitResult, error) {
	if m.Name == c.cfg.Instance {
		return c.commitLocally(ctx, p, claim), nil
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+replyMargin)
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

// commitLocally commits a claim or update through this instance's writer of the
// document.
func (c *Claimer) commitLocally(ctx context.Context, p location, claim egretflow.Claim) egretflow.CommitResult {
	op := &operation{claim: claim, deadline: c.cfg.Clock().Add(attemptTimeout), reply: make(chan egretflow.CommitResult, 1)}
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

// HandleCommitClaims commits the claims of another instance and returns a
// result for each. Any instance can commit to any document, because every write
// is conditional. It returns an error for an invalid request, or when ctx or
// the Claimer ends before all results are known.
func (c *Claimer) HandleCommitClaims(ctx context.Context, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	if len(r.Documents) != len(r.Claims) {
		return nil, &egretflow.FieldError{Field: "Documents", Reason: "must have one entry per claim"}
	}
	deadline := c.cfg.Clock().Add(attemptTimeout)
	if d, ok := ctx.Deadline(); ok && d.Add(-replyMargin).Before(deadline) {
		deadline = d.Add(-replyMargin)
	}
	ops := make([]*operation, len(r.Claims))
	for n, claim := range r.Claims {
		if !strings.HasPrefix(r.Documents[n], documentPrefix) {
			return nil, &egretflow.FieldError{Field: fmt.Sprintf("Documents[%d]", n), Reason: "is not a claim document"}
		}
		op := &operation{claim: claim, deadline: deadline, reply: make(chan egretflow.CommitResult, 1)}
		if !c.enqueue(location{document: r.Documents[n]}, op) {
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

// committers returns the members that commit the claims of a shard, preferred
// one first, without those that recently did not respond.
func (c *Claimer) committers(shard int) []egretflow.Member {
	key := documentPrefix + strconv.Itoa(shard)
	top := rendezvous.Top(key, c.cfg.Members(), c.cfg.Instance, committersPerShard)
	return slices.DeleteFunc(top, func(m egretflow.Member) bool { return c.avoids(m.Name) })
}

// avoid excludes a member from the committers for avoidFor.
func (c *Claimer) avoid(name egretflow.InstanceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[name] = c.cfg.Clock().Add(avoidFor)
}

// avoids reports whether a member is excluded from the committers at present.
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

// enqueue queues an operation for the writer of its document and starts the
// writer if there is none. It reports false when the queue is full.
func (c *Claimer) enqueue(p location, op *operation) bool {
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

// dropIdleWriters ends the writers that were not used for writerIdleTimeout.
func (c *Claimer) dropIdleWriters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.cfg.Clock().Add(-writerIdleTimeout)
	for name, entry := range c.writers {
		if entry.usedAt.Before(limit) && len(entry.queue) == 0 {
			close(entry.queue)
			delete(c.writers, name)
		}
	}
}
