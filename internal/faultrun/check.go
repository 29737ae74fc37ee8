package faultrun

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
)

// check checks from outside what has to hold when the fleet is at rest.
func (w *world) check(ctx context.Context) {
	w.checkFreed()
	w.checkRunStates()
	w.checkOnce()
	w.checkLeaves()
	w.checkEdits(ctx)
	for _, i := range w.instances {
		if p := i.current(); p != nil {
			i.noteChecks(p)
		}
	}
}

// held returns what a backend server still holds.
func (b *backend) held() int {
	if b.service != nil {
		return b.service.Stats().SlotsInUse
	}
	s := b.engine.Stats()
	return s.SlotsInUse + s.BlocksInUse + s.Streams
}

// checkFreed checks that nothing is held for ended requests (I1).
func (w *world) checkFreed() {
	for _, b := range w.backends {
		if b.held() == 0 {
			continue
		}
		if b.service != nil {
			w.report.violate(egretflow.InvariantMemoryFreed, "%s holds %d calls", b.server.Name, b.held())
			continue
		}
		s := b.engine.Stats()
		w.report.violate(egretflow.InvariantMemoryFreed, "%s holds %d slots, %d blocks and %d streams", b.server.Name, s.SlotsInUse, s.BlocksInUse, s.Streams)
	}
	for _, i := range w.instances {
		p := i.current()
		if p == nil {
			continue
		}
		for _, d := range p.assembled.Scheduler.Demands(time.Now()) {
			if d.InUse != 0 {
				w.report.violate(egretflow.InvariantMemoryFreed, "%s counts %d slots of %s in use", i.name(), d.InUse, d.Server)
			}
		}
	}
}

// slotsInUse returns what the instances count as in use.
func (w *world) slotsInUse() int {
	total := 0
	for _, i := range w.instances {
		if p := i.current(); p != nil {
			for _, d := range p.assembled.Scheduler.Demands(time.Now()) {
				total += d.InUse
			}
		}
	}
	return total
}

// checkRunStates checks that work whose every rejection says NotRun did not
// run (I4).
func (w *world) checkRunStates() {
	for _, rec := range w.records {
		if len(rec.exchanges) == 0 || rec.unanswered {
			continue
		}
		notRun := true
		for _, x := range rec.exchanges {
			notRun = notRun && x.status >= http.StatusBadRequest && x.runState == egretflow.RunStateNotRun
		}
		if ran := w.ledger.ran(rec.request.marker()); notRun && ran > 0 {
			w.report.violate(egretflow.InvariantNotRunTrue, "%s %s was rejected %d times as not run, but %d pieces of work reached a server: %s",
				rec.request.kind, rec.request.marker(), len(rec.exchanges), ran, rec.exchanges[len(rec.exchanges)-1].body)
		}
	}
}

// checkOnce checks that orders ran at most once and that retries got the first
// outcome (I5).
func (w *world) checkOnce() {
	for _, rec := range w.records {
		if rec.request.kind != kindOrder {
			continue
		}
		key, runs := rec.request.key(), 0
		for _, b := range w.backends {
			if b.service != nil {
				runs += b.service.Stats().Executions[key]
			}
		}
		if runs > 1 {
			w.report.violate(egretflow.InvariantAtMostOnce, "%s ran %d times", key, runs)
		}
		var first []byte
		for _, x := range rec.exchanges {
			if x.status != http.StatusOK || x.err != nil {
				continue
			}
			if first != nil && (x.altered || !bytes.Equal(first, x.body)) {
				w.report.violate(egretflow.InvariantAtMostOnce, "%s got two outcomes: %s and %s", key, first, x.body)
			}
			first = x.body
		}
		if first != nil && runs == 0 {
			w.report.violate(egretflow.InvariantAtMostOnce, "%s was answered without a run", key)
		}
	}
}

// leaveLimit is the time after which a leaving server gets no new work (9.2).
const leaveLimit = 3 * time.Second

// checkLeaves checks that leaving servers got no new work (I6). An instance that
// cannot read the list, or an engine that cannot answer, has the time of the rule
// from then on.
func (w *world) checkLeaves() {
	for _, l := range w.leaves {
		known := l.from
		for _, b := range w.blindness {
			if (b.server == "" || b.server == l.server) && b.from.Before(known.Add(leaveLimit)) && b.to.After(known) {
				known = b.to
			}
		}
		for _, a := range w.ledger.after(l.server, known.Add(leaveLimit), l.to) {
			w.report.violate(egretflow.InvariantLeavingServer, "%s got work of %s from %s %v after it began to leave",
				l.server, a.request, a.from, a.at.Sub(l.from))
		}
	}
}

// checkEdits checks that every accepted edit is in the audit trail at its
// revision, and that all instances have the revision of the store (I8).
func (w *world) checkEdits(ctx context.Context) {
	client, err := w.storeClient(w.network.Dialer(host(hostOperator, 0)))
	if err != nil {
		w.report.violate(harness, "open store: %v", err)
		return
	}
	ed := editor.New(client, time.Now, func() string { return "" })
	tables, err := ed.Tables(ctx)
	if err != nil {
		w.report.violate(harness, "read tables: %v", err)
		return
	}
	entries, err := ed.Audit(ctx, editor.MaxAuditEntries)
	if err != nil {
		w.report.violate(harness, "read audit trail: %v", err)
	}
	trail := map[string]egretflow.Revision{}
	for _, e := range entries {
		trail[e.EditID] = e.Revision
	}
	for _, e := range w.edits {
		if trail[e.id] != e.revision {
			w.report.violate(egretflow.InvariantNoRevert, "accepted edit %s of revision %d is not in the audit trail", e.id, e.revision)
		}
	}
	w.report.Edits = len(w.edits)
	w.checkActive(ctx, tables)
}

func (w *world) checkActive(ctx context.Context, tables *egretflow.Tables) {
	client, end := w.operatorClient()
	defer end()
	for _, i := range w.instances {
		status, err := i.status(ctx, client)
		if err != nil {
			w.report.violate(harness, "status of %s: %v", i.name(), err)
			continue
		}
		if status.Revision != tables.Revision || status.EditID != tables.EditID {
			w.report.violate(egretflow.InvariantNoRevert, "%s has revision %d of edit %q, the store has %d of %q",
				i.name(), status.Revision, status.EditID, tables.Revision, tables.EditID)
		}
	}
}

// recoverTries is how often a kind of request may fail after the faults: a call
// on an idle connection that went silent is lost, and estimates that a fault has
// raised need observations.
const recoverTries = 10

// checkRecovered checks that every instance serves all kinds of requests again
// after the faults.
func (w *world) checkRecovered() {
	n := recoveredFirst
	for i := range w.instances {
		for _, kind := range []requestKind{kindStream, kindPlain, kindCall, kindOrder} {
			outcome := OutcomeRefused
			for try := 0; try < recoverTries && outcome != OutcomeWhole; try++ {
				n++
				outcome = w.send(&plannedRequest{n: n, kind: kind, instance: i, tries: 1, tokens: 5, promptBytes: 100})
				if outcome != OutcomeWhole {
					time.Sleep(time.Second)
				}
			}
			if outcome != OutcomeWhole {
				rec := w.records[len(w.records)-1]
				w.report.violate(harness, "entry-%d serves no %s after the faults: %s; demands %+v", i, kind, rec.exchanges[0].body,
					w.instances[i].current().assembled.Scheduler.Demands(time.Now()))
			}
		}
	}
}

// pollInterval is how often the revisions of the instances are read.
const pollInterval = 500 * time.Millisecond

// pollRevisions checks that no process goes back to a lower revision (I8),
// until the returned function is called.
func (w *world) pollRevisions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client, end := w.operatorClient()
		defer end()
		for sleep(ctx, pollInterval) == nil {
			for _, i := range w.instances {
				w.pollRevision(ctx, client, i)
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (w *world) pollRevision(ctx context.Context, client *http.Client, i *instance) {
	p := i.current()
	if p == nil {
		return
	}
	status, err := i.status(ctx, client)
	if err != nil || i.current() != p {
		return
	}
	if status.Revision < p.revision {
		w.report.violate(egretflow.InvariantNoRevert, "%s went from revision %d to %d", i.name(), p.revision, status.Revision)
	}
	p.revision = status.Revision
}

func (w *world) operatorClient() (*http.Client, func()) {
	transport := &http.Transport{DialContext: w.network.Dialer(host(hostOperator, 9)), DisableKeepAlives: true}
	return &http.Client{Transport: transport, Timeout: 2 * time.Second}, transport.CloseIdleConnections
}

// Bounds of the measurement of a death (10.2).
const (
	deathStreams = 8
	deathTokens  = 400
	deathAfter   = 1500 * time.Millisecond
	deathPoll    = 20 * time.Millisecond
	deathLimit   = 5 * time.Second
)

// measureDeath kills an instance under load and measures when the engines hold
// nothing of it any more.
func (w *world) measureDeath() {
	i := w.instances[0]
	for n := range deathStreams {
		r := &plannedRequest{n: deathFirst + n, kind: kindStream, instance: 0, tries: 1, tokens: deathTokens, promptBytes: 1000}
		w.later(0, func() { w.send(r) })
	}
	time.Sleep(deathAfter)
	if w.heldTotal() == 0 {
		w.report.violate(harness, "no engine holds anything before the death")
	}
	i.kill()
	died := time.Now()
	for w.heldTotal() > 0 && time.Since(died) < 2*deathLimit {
		time.Sleep(deathPoll)
	}
	w.report.FreedAfter = time.Since(died)
	if w.report.FreedAfter > deathLimit {
		w.report.violate(egretflow.InvariantMemoryFreed, "engines hold memory %v after the death of an instance", w.report.FreedAfter)
	}
	w.running.Wait()
}

// Numbers of the first requests after the faults.
const (
	recoveredFirst = 500_000
	deathFirst     = 1_000_000
)

func (w *world) heldTotal() int {
	total := 0
	for _, b := range w.backends {
		total += b.held()
	}
	return total
}
