package distributor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// hintQueueSize is the number of hints that may wait for the task. Further hints
// are dropped; the next exchange with the peer repeats them.
const hintQueueSize = 64

// Distributor implements egretflow.TablesSource: it holds the active tables of
// an instance and keeps them up to date while Run runs.
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

var _ egretflow.TablesSource = (*Distributor)(nil)

// hint is the revision that a peer reported to hold.
type hint struct {
	from     egretflow.Member
	revision egretflow.Revision
}

// New returns a Distributor without tables. It calls neither the store nor peers
// before Run.
func New(cfg Config) *Distributor {
	cfg.Timing = cfg.Timing.withDefaults()
	cfg.Self.State = egretflow.MemberStateLive
	return &Distributor{
		cfg:      cfg,
		active:   newActive(cfg.Checker),
		members:  make(chan []egretflow.Member, 1),
		hints:    make(chan hint, hintQueueSize),
		reads:    make(chan storeRead),
		results:  make(chan pullResult),
		statuses: make(chan statusRequest),
		ready:    make(chan struct{}),
	}
}

// Current returns the active tables and whether they are confirmed (rule 5).
// Tables is nil until the first revision is activated.
func (d *Distributor) Current() egretflow.ActiveTables {
	s := d.active.load()
	return egretflow.ActiveTables{
		Tables:      s.tables,
		Confirmed:   d.confirmedWithin(d.cfg.Timing.ConfirmTTL, s.confirmedAt),
		ConfirmedAt: s.confirmedAt,
	}
}

// Subscribe calls f with the active tables, if any, and then with each new
// revision in ascending order. f must not call the Distributor's Subscribe, which
// would deadlock, and should return quickly, because activation waits for it.
func (d *Distributor) Subscribe(f func(t *egretflow.Tables)) { d.active.subscribe(f) }

// Ready returns a channel that is closed once the startup of rule 6 has ended.
func (d *Distributor) Ready() <-chan struct{} { return d.ready }

// SetMembers replaces the list of verified members, which need not contain this
// instance. It never blocks: a list that Run has not yet taken is replaced.
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

// Hint reports the revision that a peer holds, as seen in an exchange. It never
// blocks; a revision that is not higher than the active one is ignored.
func (d *Distributor) Hint(from egretflow.Member, revision egretflow.Revision) {
	if revision <= d.active.load().revision() {
		return
	}
	select {
	case d.hints <- hint{from, revision}:
	default:
	}
}

// HandlePull answers the pull request of a peer with the deltas above r.Above, or
// with the whole document if r.Full is set or the deltas are missing or larger.
// The sender's revision is treated as a hint.
func (d *Distributor) HandlePull(_ context.Context, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	d.Hint(egretflow.Member{Name: r.From}, r.Revision)
	s := d.active.load()
	response := &egretflow.PullResponse{
		Confirmed: d.confirmedWithin(d.cfg.Timing.ConfirmTTL/2, s.storeConfirmedAt),
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

// confirmedWithin reports whether less than ttl has passed since confirmedAt. It
// is false for the zero time.
func (d *Distributor) confirmedWithin(ttl time.Duration, confirmedAt time.Time) bool {
	return !confirmedAt.IsZero() && d.cfg.Clock().Before(confirmedAt.Add(ttl))
}

// Run distributes revisions until ctx ends and its goroutines have returned. The
// error wraps the cause of ctx.
func (d *Distributor) Run(ctx context.Context) error {
	defer d.children.Wait()
	newTask(d).run(ctx)
	return fmt.Errorf("distribute tables: %w", context.Cause(ctx))
}
