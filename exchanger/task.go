package exchanger

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/allocator"
	"github.com/egretflow/egretflow/slicer"
	"github.com/egretflow/egretflow/tracker"
)

// task holds the state of an Exchanger. Only the goroutine of Run accesses it.
type task struct {
	cfg      Config
	messages chan message
	calls    sync.WaitGroup
	// startedAt is the base of send times (rule 5).
	startedAt time.Time

	slicer *slicer.Slicer
	owner  *allocator.Owner
	plan   slicer.Plan
	// owners maps the servers of the slice to their owners.
	owners map[egretflow.ServerName]egretflow.InstanceName
	owned  []OwnedServer

	// view, tables and reportedSlices are the inputs of plan. reportedSlices is the
	// highest number of slices that a peer of the region has reported since the last
	// plan, adoptedSlices the highest that was tried or used for it.
	view           *tracker.View
	tables         *egretflow.Tables
	reportedSlices int
	adoptedSlices  int

	peers map[egretflow.InstanceName]*peer
	sent  map[egretflow.ServerName]sentDemand
	// selfSentAt is the send time of the last exchange with the local allocator.Owner.
	selfSentAt time.Time
	// leaving holds a channel per call of Leave, replaced by nil once it is closed.
	leaving []chan struct{}
}

func newTask(cfg Config, messages chan message) *task {
	return &task{
		cfg:       cfg,
		messages:  messages,
		startedAt: cfg.Clock(),
		slicer:    slicer.New(cfg.Self.Name, cfg.Self.Region),
		owner:     allocator.NewOwner(),
		peers:     map[egretflow.InstanceName]*peer{},
		sent:      map[egretflow.ServerName]sentDemand{},
	}
}

// receive handles messages until the next tick. It returns an error if ctx ends.
func (t *task) receive(ctx context.Context, tick <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
			return nil
		case m := <-t.messages:
			t.handle(m)
		}
	}
}

func (t *task) handle(m message) {
	switch m := m.(type) {
	case requestMessage:
		m.reply <- t.handleRequest(m.request)
	case resultMessage:
		t.handleResult(m)
	case loadMessage:
		t.owner.ObserveLoad(m.report, t.cfg.Clock())
	case leaveMessage:
		t.leave(m)
	}
}

// tick updates the plan and sends the messages that are due.
func (t *task) tick(ctx context.Context) {
	now := t.cfg.Clock()
	t.refresh(now)
	demands := t.demands(now)
	t.exchangeWithSelf(demands, now)
	load := t.cfg.State.PrefillLoad(now)
	crashes := t.cfg.State.CrashReports(now)
	for _, p := range t.sortedPeers() {
		t.exchangeWith(ctx, p, demands, &load, crashes, now)
	}
	t.finishLeave()
}

// refresh computes the plan again if the members or the tables have changed or a peer has
// reported a higher number of slices. It also updates OwnedServer.NeedsLoad.
func (t *task) refresh(now time.Time) {
	view, tables := t.cfg.Members.View(), t.cfg.Tables.Current().Tables
	if t.view == nil || view.Version != t.view.Version || tables != t.tables || t.reportedSlices > t.adoptedSlices {
		t.slicer.AdoptSliceCount(t.reportedSlices)
		t.plan = t.slicer.Plan(view.Members, tables)
		t.tables = tables
		// A reported number that the slicer does not adopt for these members is
		// tried again when the members or the tables change.
		t.adoptedSlices, t.reportedSlices = max(t.reportedSlices, t.plan.Slices), 0
		t.assignOwners(view, now)
		t.updatePeers(now)
		if t.cfg.OnPlan != nil {
			t.cfg.OnPlan(t.plan)
		}
	}
	t.view = view
	t.owned = slices.Clone(t.owned)
	for n := range t.owned {
		t.owned[n].NeedsLoad = t.owner.NeedsLoad(t.owned[n].Server.Name)
	}
}

// assignOwners chooses an owner among the reachable members for each server of the plan
// and passes the result to the allocator.Owner. Leaving members own nothing, and before
// the first list nobody does: this instance would take itself for the only member, and
// could not know which servers are leaving.
func (t *task) assignOwners(view *tracker.View, now time.Time) {
	var listed, reachable []egretflow.InstanceName
	for _, m := range t.plan.Members {
		if m.State == egretflow.MemberStateLeaving || m.Name == t.cfg.Self.Name && len(t.leaving) > 0 {
			continue
		}
		listed = append(listed, m.Name)
		if view.ListRead && view.Reachable[m.Name] {
			reachable = append(reachable, m.Name)
		}
	}
	before := len(t.owned)
	maps.DeleteFunc(t.sent, func(s egretflow.ServerName, _ sentDemand) bool {
		return !slices.ContainsFunc(t.plan.Servers, func(share slicer.ServerShare) bool { return share.Server.Name == s })
	})
	t.owners = make(map[egretflow.ServerName]egretflow.InstanceName, len(t.plan.Servers))
	t.owned = nil
	v := allocator.View{Holders: listed, Owned: map[egretflow.ServerName]bool{}}
	for _, s := range t.plan.Servers {
		name := s.Server.Name
		t.owners[name] = slicer.Owner(name, reachable)
		v.Servers = append(v.Servers, allocator.Capacity{
			Server: name, Slots: s.Slots, Shared: s.Shared,
			Group: allocator.Group{Pool: s.Pool, Role: s.Server.Role},
		})
		if t.owners[name] == t.cfg.Self.Name {
			v.Owned[name] = true
			t.owned = append(t.owned, OwnedServer{ServerShare: s})
		}
	}
	t.owner.SetView(v, now)
	if before != len(t.owned) {
		t.record(egretflow.EventOwnerChanged, now, egretflow.EventField{Key: "servers", Value: strconv.Itoa(len(t.owned))})
	}
}

// demands returns the demands of the servers of the slice.
func (t *task) demands(now time.Time) []egretflow.Demand {
	demands := t.cfg.State.Demands(now)
	return slices.DeleteFunc(demands, func(d egretflow.Demand) bool {
		_, inSlice := t.owners[d.Server]
		return !inSlice
	})
}

// sendTime returns the send time of a message: the wall clock time of the start plus the
// time elapsed on the monotonic clock (rule 5).
func (t *task) sendTime(now time.Time) time.Time {
	return t.startedAt.Add(now.Sub(t.startedAt))
}

func (t *task) record(name egretflow.EventName, now time.Time, fields ...egretflow.EventField) {
	t.cfg.Recorder.Record(egretflow.Event{Name: name, At: now, Instance: t.cfg.Self.Name, Fields: fields})
}
