package distributor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// hintQueue bounds the hints that wait for the task. Hints beyond it are
// dropped; the next exchange repeats them.
const hintQueue = 64

// Distributor is the egretflow.TablesHolder of an instance.
type Distributor struct {
	cfg    Config
	active *active

	members  chan []egretflow.Member
	hints    chan hint
	reads    chan storeRead
	results  chan pullResult
	statuses chan statusRequest
	ready    chan struct{}

	children sync.WaitGroup
}

var _ egretflow.TablesHolder = (*Distributor)(nil)

// hint says that a peer holds a revision.
type hint struct {
	from     egretflow.Member
	revision egretflow.Revision
}

// New returns a Distributor without tables. It does nothing before Run.
func New(cfg Config) *Distributor {
	cfg.Timing = cfg.Timing.withDefaults()
	cfg.Self.State = egretflow.MemberStateLive
	return &Distributor{
		cfg:      cfg,
		active:   newActive(cfg.Checker),
		members:  make(chan []egretflow.Member, 1),
		hints:    make(chan hint, hintQueue),
		reads:    make(chan storeRead),
		results:  make(chan pullResult),
		statuses: make(chan statusRequest),
		ready:    make(chan struct{}),
	}
}

// Current returns the active tables. Tables is nil until the first revision.
func (d *Distributor) Current() egretflow.TablesInForce {
	s := d.active.load()
	return egretflow.TablesInForce{
		Tables:      s.tables,
		Confirmed:   d.within(d.cfg.Timing.ConfirmTTL, s.confirmedAt),
		ConfirmedAt: s.confirmedAt,
	}
}

// Subscribe calls f with each new revision, in order, starting with the active
// one. f must not call the Distributor's Subscribe and should return quickly.
func (d *Distributor) Subscribe(f func(t *egretflow.Tables)) { d.active.subscribe(f) }

// Ready is closed when the instance holds the highest revision it could find.
func (d *Distributor) Ready() <-chan struct{} { return d.ready }

// SetMembers replaces the list of verified members. The own instance need not
// be on it. Only the newest list counts, so it never blocks.
func (d *Distributor) SetMembers(members []egretflow.Member) {
	for {
		select {
		case d.members <- members:
			return
		default:
		}
		select {
		case <-d.members:
		default:
		}
	}
}

// Hint says that a peer holds a revision, as seen in an exchange. It never
// blocks.
func (d *Distributor) Hint(from egretflow.Member, revision egretflow.Revision) {
	if revision <= d.active.load().revision() {
		return
	}
	select {
	case d.hints <- hint{from, revision}:
	default:
	}
}

// HandlePull answers the pull of a peer. A sender with a higher revision counts
// as a hint.
func (d *Distributor) HandlePull(_ context.Context, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	d.Hint(egretflow.Member{Name: r.From}, r.Revision)
	s := d.active.load()
	response := &egretflow.PullResponse{
		Confirmed: d.within(d.cfg.Timing.ConfirmTTL/2, s.storeConfirmedAt),
		Revision:  s.revision(),
		EditID:    s.editID(),
	}
	if response.Revision <= r.Above {
		return response, nil
	}
	if !r.Full {
		response.Deltas = s.deltasAbove(r.Above)
	}
	if response.Deltas == nil {
		var err error
		if response.Tables, err = s.stored(); err != nil {
			return nil, fmt.Errorf("encode tables for a peer: %w", err)
		}
	}
	return response, nil
}

// within reports whether a confirmation still counts.
func (d *Distributor) within(ttl time.Duration, confirmedAt time.Time) bool {
	return !confirmedAt.IsZero() && d.cfg.Clock().Before(confirmedAt.Add(ttl))
}

// Run distributes revisions until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	defer d.children.Wait()
	newTask(d).run(ctx)
	return fmt.Errorf("distribute tables: %w", context.Cause(ctx))
}
