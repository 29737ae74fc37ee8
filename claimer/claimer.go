package claimer

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// Claimer implements egretflow.Claimer. It is safe for concurrent use.
type Claimer struct {
	cfg   Config
	cache *recordCache
	// ctx is cancelled by stop and ends the writers and background updates.
	ctx  context.Context
	stop context.CancelFunc
	// updateSlots is a semaphore that bounds the background updates.
	updateSlots chan struct{}

	mu         sync.Mutex
	writers    map[string]*writerEntry
	avoidUntil map[egretflow.InstanceName]time.Time
	// openTickets holds the issued tickets that were not ended yet, by key hash.
	openTickets map[string]openTicket
}

// writerEntry is the queue of a running writer and the time of its last use.
type writerEntry struct {
	queue  chan *operation
	usedAt time.Time
}

// openTicket identifies a ticket and the location of its record.
type openTicket struct {
	token    string
	location location
}

var _ egretflow.Claimer = (*Claimer)(nil)

// New checks cfg and returns a Claimer. Run must be called: it maintains the
// Claimer and stops it at the end.
func New(cfg Config) (*Claimer, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("check claimer settings: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Claimer{
		cfg: cfg, cache: newRecordCache(), ctx: ctx, stop: stop, updateSlots: make(chan struct{}, maxBackgroundUpdates),
		writers: map[string]*writerEntry{}, avoidUntil: map[egretflow.InstanceName]time.Time{},
		openTickets: map[string]openTicket{},
	}, nil
}

// Run deletes old documents and ends idle writers until ctx ends. Then it waits
// up to drainTimeout for background updates, stops the Claimer and returns nil.
func (c *Claimer) Run(ctx context.Context) error {
	defer c.stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	idle := time.NewTicker(writerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			c.drainUpdates()
			return nil
		case <-idle.C:
			c.dropIdleWriters()
		case <-sweep.C:
			c.sweep(ctx)
		}
	}
}

// drainUpdates acquires all update slots, so that no further update starts. It
// returns when the running updates have ended or after drainTimeout.
func (c *Claimer) drainUpdates() {
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	for range maxBackgroundUpdates {
		select {
		case c.updateSlots <- struct{}{}:
		case <-timer.C:
			return
		}
	}
}

// Begin implements egretflow.Claimer. A zero deadline means that the caller set
// none.
func (c *Claimer) Begin(ctx context.Context, key egretflow.ClaimKey, deadline time.Time) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	now := c.cfg.Clock()
	p, refusal := locate(key, now)
	if refusal != nil {
		return nil, nil, c.refuse(p, refusal)
	}
	if known, ok := c.cache.get(p.keyHash, now); ok {
		return c.answerRetry(p, key, known)
	}
	claim := egretflow.Claim{
		KeyHash: p.keyHash, Fingerprint: key.Fingerprint, Token: uuid.NewString(), Holder: c.cfg.Instance,
		State: egretflow.ClaimStateClaimed, ExpiresAt: now.Add(Retention),
	}
	result := c.claim(ctx, p, claim, beginDeadline(now, deadline, c.cfg.BeginTimeout))
	if result.Error != "" {
		if result.Error == egretflow.CommitErrorUncertain {
			c.updateInBackground(p, notRun(claim))
		}
		return nil, nil, c.refuse(p, unavailable(result.Error, c.cfg.Clock()))
	}
	c.cache.put(result.Claim, c.cfg.Clock())
	if result.Claim.Token != claim.Token {
		return c.answerRetry(p, key, result.Claim)
	}
	return c.issueTicket(ctx, p, result.Claim, runBy(now, deadline))
}

// claim commits a claim, with retries until the deadline.
func (c *Claimer) claim(ctx context.Context, p location, claim egretflow.Claim, deadline time.Time) egretflow.CommitResult {
	remaining := deadline.Sub(c.cfg.Clock())
	if remaining <= 0 {
		return egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return c.commitWithRetries(ctx, p, claim)
}

// beginDeadline returns when Begin gives up: maxWait after now, or at the
// caller's deadline if that is earlier.
func beginDeadline(now, deadline time.Time, maxWait time.Duration) time.Time {
	limit := now.Add(maxWait)
	if deadline.IsZero() || limit.Before(deadline) {
		return limit
	}
	return deadline
}

// runBy returns the expiry of a ticket: TicketLifetime after beganAt, or the
// caller's deadline if that is earlier. beganAt is a time before the claim was
// sent, so a ticket expires at most TicketLifetime after the check of the key's
// age.
func runBy(beganAt, deadline time.Time) time.Time {
	limit := beganAt.Add(TicketLifetime)
	if deadline.IsZero() || limit.Before(deadline) {
		return limit
	}
	return deadline
}

// issueTicket returns the ticket for a committed claim. If this instance has an
// open ticket for the key, it reports a violation and refuses. If ctx has ended
// or the ticket has already expired, it gives the claim back and refuses.
func (c *Claimer) issueTicket(ctx context.Context, p location, claim egretflow.Claim, validUntil time.Time) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	c.mu.Lock()
	other, taken := c.openTickets[p.keyHash]
	if !taken {
		c.openTickets[p.keyHash] = openTicket{token: claim.Token, location: p}
	}
	c.mu.Unlock()
	c.cfg.Checker.Check(egretflow.InvariantAtMostOnce, !taken, "", "key "+p.keyHash+" is held by token "+other.token)
	if taken {
		return nil, nil, c.refuse(p, inProgress(c.cfg.Clock()))
	}
	ticket := &egretflow.ClaimTicket{Claim: claim, RunBy: validUntil}
	if !c.cfg.Clock().Before(validUntil) || ctx.Err() != nil {
		if err := c.MarkNotRun(ctx, ticket); err != nil {
			c.record(egretflow.EventStoreUnavailable, p, "Error", err.Error())
		}
		return nil, nil, c.refuse(p, deadlinePassed())
	}
	c.record(egretflow.EventClaimed, p, "Epoch", strconv.FormatUint(claim.Epoch, 10))
	return ticket, nil, nil
}

// Finish implements egretflow.Claimer. A nil outcome is recorded as Unknown.
// Finish ignores the end of ctx, because a retry needs the outcome even when
// the caller has disconnected. It waits up to Config.UpdateTimeout; then the
// update continues in the background.
func (c *Claimer) Finish(ctx context.Context, ticket *egretflow.ClaimTicket, outcome *egretflow.Outcome) error {
	if outcome == nil {
		return c.MarkUnknown(ctx, ticket)
	}
	claim := ticket.Claim
	claim.State, claim.Outcome = egretflow.ClaimStateDone, boundOutcome(outcome)
	return c.endClaim(claim)
}

// MarkNotRun implements egretflow.Claimer. Like Finish, it ignores the end of
// ctx.
func (c *Claimer) MarkNotRun(_ context.Context, ticket *egretflow.ClaimTicket) error {
	return c.endClaim(notRun(ticket.Claim))
}

// MarkUnknown implements egretflow.Claimer. Like Finish, it ignores the end of
// ctx.
func (c *Claimer) MarkUnknown(_ context.Context, ticket *egretflow.ClaimTicket) error {
	claim := ticket.Claim
	claim.State = egretflow.ClaimStateUnknown
	return c.endClaim(claim)
}

// notRun returns a copy of claim in the state NotRun.
func notRun(claim egretflow.Claim) egretflow.Claim {
	claim.State = egretflow.ClaimStateNotRun
	return claim
}

// errTicketUsed means that the ticket was ended before or is not known here.
var errTicketUsed = errors.New("ticket was already ended or is not known")

// endClaim invalidates the ticket of a claim and writes the claim's final
// state. It returns ErrUncertain if the write takes longer than
// Config.UpdateTimeout.
func (c *Claimer) endClaim(claim egretflow.Claim) error {
	p, ok := c.takeTicket(claim)
	if !ok {
		return fmt.Errorf("end claim as %s: %w", claim.State, errTicketUsed)
	}
	c.cache.put(claim, c.cfg.Clock())
	c.record(egretflow.EventClaimDone, p, "State", string(claim.State))
	timer := time.NewTimer(c.cfg.UpdateTimeout)
	defer timer.Stop()
	select {
	case err := <-c.updateInBackground(p, claim):
		if err != nil {
			return fmt.Errorf("end claim as %s: %w", claim.State, err)
		}
		return nil
	case <-timer.C:
		return fmt.Errorf("end claim as %s: %w", claim.State, egretflow.ErrUncertain)
	}
}

// takeTicket removes the open ticket of a claim and returns the location of its
// record. It reports false if there is no open ticket with the claim's token.
func (c *Claimer) takeTicket(claim egretflow.Claim) (location, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, ok := c.openTickets[claim.KeyHash]
	if !ok || ticket.token != claim.Token {
		return location{}, false
	}
	delete(c.openTickets, claim.KeyHash)
	return ticket.location, true
}

// updateInBackground writes a final state in the background, with retries for
// up to backgroundUpdateTimeout. It sends one result on the returned channel.
// If maxBackgroundUpdates are running, it drops the update and sends
// ErrUnavailable; the claim then stays in the state Claimed.
func (c *Claimer) updateInBackground(p location, claim egretflow.Claim) <-chan error {
	result := make(chan error, 1)
	select {
	case c.updateSlots <- struct{}{}:
	default:
		result <- egretflow.ErrUnavailable
		return result
	}
	go func() {
		defer func() { <-c.updateSlots }()
		ctx, cancel := context.WithTimeout(c.ctx, backgroundUpdateTimeout)
		defer cancel()
		result <- c.checkUpdate(claim, c.commitWithRetries(ctx, p, claim))
	}()
	return result
}

// checkUpdate converts the result of an update to an error. It returns
// ErrConflict if the record in force is not the requested one.
func (c *Claimer) checkUpdate(requested egretflow.Claim, result egretflow.CommitResult) error {
	switch result.Error {
	case "":
	case egretflow.CommitErrorUncertain:
		return egretflow.ErrUncertain
	case egretflow.CommitErrorNotFound:
		return egretflow.ErrNotFound
	default:
		return egretflow.ErrUnavailable
	}
	inForce := result.Claim
	if requested.State != egretflow.ClaimStateNotRun {
		c.cfg.Checker.Check(egretflow.InvariantAtMostOnce, inForce.Token == requested.Token, "",
			"key "+requested.KeyHash+" ran at "+string(requested.Holder)+" and is claimed by "+string(inForce.Holder))
	}
	if inForce.Token != requested.Token || inForce.State != requested.State {
		return egretflow.ErrConflict
	}
	return nil
}

// jitter returns a random duration between d/2 and d.
func (c *Claimer) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)+1))
}

// record records an event about a key, with one additional field.
func (c *Claimer) record(name egretflow.EventName, p location, key, value string) {
	c.cfg.Recorder.Record(egretflow.Event{
		Name: name, At: c.cfg.Clock(), Instance: c.cfg.Instance,
		Fields: []egretflow.EventField{{Key: "KeyHash", Value: p.keyHash}, {Key: "Document", Value: p.document}, {Key: key, Value: value}},
	})
}
