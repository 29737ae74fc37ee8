package distributor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

// task is the state owned by the goroutine of Run.
type task struct {
	*Distributor
	// peers are the other live members.
	peers []egretflow.Member
	// all holds this instance and all others of the list, in any state.
	all      []egretflow.Member
	watchers map[domainKey][]egretflow.Member
	// membersKnown is set when a list of members has arrived or StartupTimeout
	// has passed without one.
	membersKnown bool

	// stopWatch ends this instance's watch of the store; nil for a non-watcher.
	stopWatch context.CancelFunc
	// storeDown is true if the last call to the store failed.
	storeDown bool
	// confirmed is the state that updateConfirmed saw last.
	confirmed bool

	pulls pendingPulls
	// needFull is set when a peer's deltas did not apply to the active revision.
	// Pull requests then ask for the whole document.
	needFull bool
	// askOtherDomain is set when the last watcher asked could not confirm its
	// revision or did not respond.
	askOtherDomain bool
	// rounds counts the calls of antiEntropy.
	rounds int

	// startupPending counts the calls of rule 6 that have not ended;
	// startupPeersAsked is set once those to peers were started.
	startupPending    int
	startupPeersAsked bool
	startupTimedOut   bool
	isReady           bool
}

func newTask(d *Distributor) *task {
	return &task{Distributor: d, pulls: newPendingPulls()}
}

func (t *task) run(ctx context.Context) {
	startup := time.NewTimer(t.cfg.Timing.StartupTimeout)
	defer startup.Stop()
	round := time.NewTimer(t.untilNextRound())
	defer round.Stop()
	hedge := time.NewTicker(t.cfg.Timing.HedgeAfter)
	defer hedge.Stop()
	t.startupPending = 1
	t.spawn(func() { t.readStoreOnce(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case list := <-t.members:
			t.setMembers(ctx, list)
		case h := <-t.hints:
			t.addHint(ctx, h)
		case r := <-t.reads:
			t.handleRead(ctx, r)
		case r := <-t.results:
			t.handleResult(ctx, r)
		case r := <-t.statuses:
			r.reply <- t.status()
		case <-hedge.C:
			t.pullFromHints(ctx)
		case <-round.C:
			t.antiEntropy(ctx)
			round.Reset(t.untilNextRound())
		case <-startup.C:
			t.startupTimedOut = true
			if !t.membersKnown {
				t.setMembers(ctx, nil)
			}
		}
		t.updateConfirmed()
		t.updateReady()
	}
	if t.stopWatch != nil {
		t.stopWatch()
	}
}

func (t *task) spawn(f func()) { t.children.Go(f) }

// setMembers applies a new list of members and starts or ends this instance's
// watch of the store. The first list with peers also starts the startup pulls,
// unless StartupTimeout has passed.
func (t *task) setMembers(ctx context.Context, list []egretflow.Member) {
	t.all, t.peers = []egretflow.Member{t.cfg.Self}, nil
	for _, m := range list {
		if m.Name == t.cfg.Self.Name {
			continue
		}
		t.all = append(t.all, m)
		if m.State == egretflow.MemberStateLive {
			t.peers = append(t.peers, m)
		}
	}
	t.watchers = pickWatchers(t.all)
	watches := contains(t.watchers[domainOf(t.cfg.Self)], t.cfg.Self.Name)
	switch {
	case watches && t.stopWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		t.stopWatch = cancel
		f := &storeFollower{Distributor: t.Distributor, rand: rand.New(rand.NewPCG(t.cfg.Rand.Uint64(), 0))}
		t.spawn(func() { f.run(watchCtx) })
	case !watches && t.stopWatch != nil:
		t.stopWatch()
		t.stopWatch = nil
	}
	t.membersKnown = true
	if !t.startupPeersAsked && len(t.peers) > 0 && !t.startupTimedOut {
		t.startupPeersAsked = true
		t.pullFromStartupPeers(ctx)
	}
}

// accept activates doc if its revision is higher than the active one, and
// announces it to peers. from is as in activate; source is the sender for the
// event log: "Store" or the name of a peer.
func (t *task) accept(ctx context.Context, doc document, from *delta, source string) {
	if doc.tables.Revision <= t.active.load().revision() || !t.active.activate(doc, from, t.cfg.Clock()) {
		return
	}
	t.needFull = false
	t.record(egretflow.EventRevisionInForce,
		egretflow.EventField{Key: "revision", Value: fmt.Sprint(doc.tables.Revision)},
		egretflow.EventField{Key: "edit", Value: doc.tables.EditID},
		egretflow.EventField{Key: "source", Value: source})
	t.pushHints(ctx)
}

// acceptDelta applies e to the active tables and activates the result. It does
// nothing if e's revision is not higher than the active one, and returns false if
// e does not apply and the whole document is needed.
func (t *task) acceptDelta(ctx context.Context, e *entry, source string) bool {
	s := t.active.load()
	if e.Revision <= s.revision() {
		return true
	}
	if s.tables == nil {
		return false
	}
	tables, data, err := e.Next(s.tables)
	if err != nil {
		return false
	}
	t.accept(ctx, newDocument(tables, data), &delta{e.Revision, e.data}, source)
	return true
}

// handleRead handles a read of the store or an event of its watch.
func (t *task) handleRead(ctx context.Context, r storeRead) {
	if r.startup {
		t.startupPending--
	}
	if t.storeDown != (r.err != nil) {
		t.storeDown = r.err != nil
		t.recordStoreState(r.err)
	}
	if r.err != nil {
		return
	}
	if r.document.tables != nil {
		t.accept(ctx, r.document, nil, "Store")
	}
	if r.entry != nil && !t.acceptDelta(ctx, r.entry, "Store") {
		t.spawn(func() {
			whole, _ := t.readDocument(ctx)
			t.sendRead(ctx, whole)
		})
	}
	s := t.active.load()
	switch {
	case s.tables == nil || r.head.Revision > s.revision():
	case r.head.Revision == s.revision() && r.head.EditID == s.editID():
		t.active.confirm(r.readAt, true)
	case !r.fromWatch && s.activatedAt.Before(r.readAt):
		t.active.contradict()
	}
}

// updateConfirmed records an event when the active revision stops being
// confirmed.
func (t *task) updateConfirmed() {
	s := t.active.load()
	confirmed := t.confirmedWithin(t.cfg.Timing.ConfirmTTL, s.confirmedAt)
	if t.confirmed && !confirmed {
		t.record(egretflow.EventRevisionUnconfirmed,
			egretflow.EventField{Key: "revision", Value: fmt.Sprint(s.revision())})
	}
	t.confirmed = confirmed
}

// updateReady closes the Ready channel when the condition of rule 6 first holds.
func (t *task) updateReady() {
	if t.isReady || t.active.load().tables == nil {
		return
	}
	startupDone := t.startupPending == 0 && t.pulls.idle() && t.membersKnown
	if startupDone || t.startupTimedOut {
		t.isReady = true
		close(t.ready)
	}
}

func (t *task) record(name egretflow.EventName, fields ...egretflow.EventField) {
	t.cfg.Recorder.Record(egretflow.Event{
		Name: name, At: t.cfg.Clock(), Instance: t.cfg.Self.Name, Fields: fields,
	})
}

func (t *task) recordStoreState(err error) {
	if err == nil {
		t.record(egretflow.EventStoreAvailable)
		return
	}
	t.record(egretflow.EventStoreUnavailable, egretflow.EventField{Key: "error", Value: err.Error()})
}

func contains(members []egretflow.Member, name egretflow.InstanceName) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}
