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
	// all are the own instance and all listed ones.
	all      []egretflow.Member
	watchers map[domainKey][]egretflow.Member
	// listed says that a list of members has arrived.
	listed bool

	// stopWatch ends the watch of the store; nil for a non-watcher.
	stopWatch context.CancelFunc
	storeDown bool
	confirmed bool

	pulls pullBook
	// needFull is set when deltas of a peer did not fit the active revision.
	needFull bool
	// askOtherDomain is set when the last watcher asked could not confirm.
	askOtherDomain bool
	rounds         int

	// startupOpen counts the questions of rule 6 without an answer; asked says
	// that those to peers were sent.
	startupOpen  int
	asked        bool
	startupEnded bool
	isReady      bool
}

func newTask(d *Distributor) *task {
	return &task{Distributor: d, pulls: newPullBook()}
}

func (t *task) run(ctx context.Context) {
	startup := time.NewTimer(t.cfg.Timing.StartupTimeout)
	defer startup.Stop()
	round := time.NewTimer(t.untilNextRound())
	defer round.Stop()
	hedge := time.NewTicker(t.cfg.Timing.HedgeAfter)
	defer hedge.Stop()
	t.startupOpen = 1
	t.spawn(func() { t.readStoreOnce(ctx) })
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case list := <-t.members:
			t.setMembers(ctx, list)
		case h := <-t.hints:
			t.addHint(ctx, h)
		case r := <-t.reads:
			t.takeRead(ctx, r)
		case r := <-t.results:
			t.takeResult(ctx, r)
		case r := <-t.statuses:
			r.reply <- t.status()
		case <-hedge.C:
			t.pullFromHints(ctx)
		case <-round.C:
			t.antiEntropy(ctx)
			round.Reset(t.untilNextRound())
		case <-startup.C:
			t.startupEnded = true
			if !t.listed {
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

// setMembers takes a new list and starts or ends the own watch of the store.
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
	t.listed = true
	if !t.asked && len(t.peers) > 0 && !t.startupEnded {
		t.asked = true
		t.askStartupPeers(ctx)
	}
}

// accept activates a document if it is higher and tells some peers. from is the
// delta that made it, if any.
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

// acceptDelta activates the revision of an entry if it follows the active one.
// It reports false when the whole document is needed.
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

// takeRead handles what a read or watch of the store showed.
func (t *task) takeRead(ctx context.Context, r storeRead) {
	if r.startup {
		t.startupOpen--
	}
	if t.storeDown != (r.err != nil) {
		t.storeDown = r.err != nil
		t.recordStore(r.err)
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

// updateConfirmed records changes of RevisionConfirmed.
func (t *task) updateConfirmed() {
	s := t.active.load()
	confirmed := t.within(t.cfg.Timing.ConfirmTTL, s.confirmedAt)
	if t.confirmed && !confirmed {
		t.record(egretflow.EventRevisionUnknown,
			egretflow.EventField{Key: "revision", Value: fmt.Sprint(s.revision())})
	}
	t.confirmed = confirmed
}

// updateReady closes Ready once (rule 6).
func (t *task) updateReady() {
	if t.isReady || t.active.load().tables == nil {
		return
	}
	searched := t.startupOpen == 0 && t.pulls.idle() && t.listed
	if searched || t.startupEnded {
		t.isReady = true
		close(t.ready)
	}
}

func (t *task) record(name egretflow.EventName, fields ...egretflow.EventField) {
	t.cfg.Recorder.Record(egretflow.Event{
		Name: name, At: t.cfg.Clock(), Instance: t.cfg.Self.Name, Fields: fields,
	})
}

func (t *task) recordStore(err error) {
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
