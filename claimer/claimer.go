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
	index *index
	// ctx ends the writers and the updates in the background.
	ctx  context.Context
	stop context.CancelFunc
	// settling bounds and counts the updates in the background.
	settling chan struct{}

	mu         sync.Mutex
	writers    map[string]*writerEntry
	avoidUntil map[egretflow.InstanceName]time.Time
	// open holds the tickets that were not used up, by key hash.
	open map[string]openTicket
}

type writerEntry struct {
	queue  chan *operation
	usedAt time.Time
}

type openTicket struct {
	token string
	place place
}

var _ egretflow.Claimer = (*Claimer)(nil)

// New returns a Claimer. Run must be called for its maintenance and to stop it.
func New(cfg Config) (*Claimer, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("check claimer settings: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Claimer{
		cfg: cfg, index: newIndex(), ctx: ctx, stop: stop, settling: make(chan struct{}, maxSettling),
		writers: map[string]*writerEntry{}, avoidUntil: map[egretflow.InstanceName]time.Time{},
		open: map[string]openTicket{},
	}, nil
}

// Run deletes old documents until ctx ends. Then it waits a short time for the
// updates in the background and stops the Claimer.
func (c *Claimer) Run(ctx context.Context) error {
	defer c.stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	idle := time.NewTicker(writerIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			c.drain()
			return nil
		case <-idle.C:
			c.dropIdleWriters()
		case <-sweep.C:
			c.sweep(ctx)
		}
	}
}

// drain takes all places of settling, so that no update starts any more, and
// waits for those that have one.
func (c *Claimer) drain() {
	timer := time.NewTimer(drainWait)
	defer timer.Stop()
	for range maxSettling {
		select {
		case c.settling <- struct{}{}:
		case <-timer.C:
			return
		}
	}
}

// Begin implements egretflow.Claimer. A deadline of zero means no deadline of
// the caller.
func (c *Claimer) Begin(ctx context.Context, key egretflow.ClaimKey, deadline time.Time) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	now := c.cfg.Clock()
	p, refusal := locate(key, now)
	if refusal != nil {
		return nil, nil, c.refuse(p, refusal)
	}
	if known, ok := c.index.get(p.keyHash, now); ok {
		return c.answer(p, key, known)
	}
	claim := egretflow.Claim{
		KeyHash: p.keyHash, Fingerprint: key.Fingerprint, Token: uuid.NewString(), Holder: c.cfg.Instance,
		State: egretflow.ClaimStateClaimed, ExpiresAt: now.Add(Retention),
	}
	result := c.claim(ctx, p, claim, beginDeadline(now, deadline, c.cfg.MaxWait))
	if result.Error != "" {
		if result.Error == egretflow.CommitErrorUncertain {
			c.settle(p, notRun(claim))
		}
		return nil, nil, c.refuse(p, unavailable(result.Error, c.cfg.Clock()))
	}
	c.index.put(result.Claim, c.cfg.Clock())
	if result.Claim.Token != claim.Token {
		return c.answer(p, key, result.Claim)
	}
	return c.won(ctx, p, result.Claim, runBy(now, deadline))
}

// claim commits a claim within the deadline.
func (c *Claimer) claim(ctx context.Context, p place, claim egretflow.Claim, deadline time.Time) egretflow.CommitResult {
	left := deadline.Sub(c.cfg.Clock())
	if left <= 0 {
		return egretflow.CommitResult{Error: egretflow.CommitErrorUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return c.commitAt(ctx, p, claim)
}

// beginDeadline is when Begin gives up.
func beginDeadline(now, deadline time.Time, maxWait time.Duration) time.Time {
	limit := now.Add(maxWait)
	if deadline.IsZero() || limit.Before(deadline) {
		return limit
	}
	return deadline
}

// runBy counts from before the claim was sent, so that a ticket ends RunWindow
// after the check of the key's age at the latest.
func runBy(began, deadline time.Time) time.Time {
	limit := began.Add(RunWindow)
	if deadline.IsZero() || limit.Before(deadline) {
		return limit
	}
	return deadline
}

// won issues the ticket of a claim in force.
func (c *Claimer) won(ctx context.Context, p place, claim egretflow.Claim, by time.Time) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	c.mu.Lock()
	other, taken := c.open[p.keyHash]
	if !taken {
		c.open[p.keyHash] = openTicket{token: claim.Token, place: p}
	}
	c.mu.Unlock()
	c.cfg.Checker.Check(egretflow.InvariantAtMostOnce, !taken, "", "key "+p.keyHash+" is held by token "+other.token)
	if taken {
		return nil, nil, c.refuse(p, inProgress(c.cfg.Clock()))
	}
	ticket := &egretflow.ClaimTicket{Claim: claim, RunBy: by}
	if !c.cfg.Clock().Before(by) || ctx.Err() != nil {
		if err := c.NotRun(ctx, ticket); err != nil {
			c.record(egretflow.EventStoreUnavailable, p, "Error", err.Error())
		}
		return nil, nil, c.refuse(p, tooLate())
	}
	c.record(egretflow.EventClaimed, p, "Epoch", strconv.FormatUint(claim.Epoch, 10))
	return ticket, nil, nil
}

// Finish implements egretflow.Claimer. It does not end with ctx, because the
// outcome is needed when the caller has gone; it waits for Config.UpdateWait,
// and then the update goes on in the background.
func (c *Claimer) Finish(ctx context.Context, ticket *egretflow.ClaimTicket, outcome *egretflow.Outcome) error {
	if outcome == nil {
		return c.Unknown(ctx, ticket)
	}
	claim := ticket.Claim
	claim.State, claim.Outcome = egretflow.ClaimStateDone, boundOutcome(outcome)
	return c.end(claim)
}

// NotRun implements egretflow.Claimer. Like Finish, it does not end with ctx.
func (c *Claimer) NotRun(_ context.Context, ticket *egretflow.ClaimTicket) error {
	return c.end(notRun(ticket.Claim))
}

// Unknown implements egretflow.Claimer. Like Finish, it does not end with ctx.
func (c *Claimer) Unknown(_ context.Context, ticket *egretflow.ClaimTicket) error {
	claim := ticket.Claim
	claim.State = egretflow.ClaimStateUnknown
	return c.end(claim)
}

func notRun(claim egretflow.Claim) egretflow.Claim {
	claim.State = egretflow.ClaimStateNotRun
	return claim
}

// errTicketUsed means that a ticket was ended before.
var errTicketUsed = errors.New("ticket is used up")

// end uses up a ticket and writes the final state of its claim.
func (c *Claimer) end(claim egretflow.Claim) error {
	p, ok := c.takeTicket(claim)
	if !ok {
		return fmt.Errorf("end claim as %s: %w", claim.State, errTicketUsed)
	}
	c.index.put(claim, c.cfg.Clock())
	c.record(egretflow.EventClaimDone, p, "State", string(claim.State))
	timer := time.NewTimer(c.cfg.UpdateWait)
	defer timer.Stop()
	select {
	case err := <-c.settle(p, claim):
		if err != nil {
			return fmt.Errorf("end claim as %s: %w", claim.State, err)
		}
		return nil
	case <-timer.C:
		return fmt.Errorf("end claim as %s: %w", claim.State, egretflow.ErrUncertain)
	}
}

func (c *Claimer) takeTicket(claim egretflow.Claim) (place, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, ok := c.open[claim.KeyHash]
	if !ok || ticket.token != claim.Token {
		return place{}, false
	}
	delete(c.open, claim.KeyHash)
	return ticket.place, true
}

// settle writes a final state in the background, with retries up to
// settleWait. The result is sent once; an update beyond maxSettling is dropped,
// which leaves the claim in the state Claimed.
func (c *Claimer) settle(p place, claim egretflow.Claim) <-chan error {
	result := make(chan error, 1)
	select {
	case c.settling <- struct{}{}:
	default:
		result <- egretflow.ErrUnavailable
		return result
	}
	go func() {
		defer func() { <-c.settling }()
		ctx, cancel := context.WithTimeout(c.ctx, settleWait)
		defer cancel()
		result <- c.checkUpdate(claim, c.commitAt(ctx, p, claim))
	}()
	return result
}

// checkUpdate compares the record in force with the one that was asked for.
func (c *Claimer) checkUpdate(asked egretflow.Claim, result egretflow.CommitResult) error {
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
	if asked.State != egretflow.ClaimStateNotRun {
		c.cfg.Checker.Check(egretflow.InvariantAtMostOnce, inForce.Token == asked.Token, "",
			"key "+asked.KeyHash+" ran at "+string(asked.Holder)+" and is claimed by "+string(inForce.Holder))
	}
	if inForce.Token != asked.Token || inForce.State != asked.State {
		return egretflow.ErrConflict
	}
	return nil
}

func (c *Claimer) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.cfg.Rand.Int64N(int64(d/2)+1))
}

func (c *Claimer) record(name egretflow.EventName, p place, key, value string) {
	c.cfg.Recorder.Record(egretflow.Event{
		Name: name, At: c.cfg.Clock(), Instance: c.cfg.Instance,
		Fields: []egretflow.EventField{{Key: "KeyHash", Value: p.keyHash}, {Key: "Document", Value: p.document}, {Key: key, Value: value}},
	})
}
