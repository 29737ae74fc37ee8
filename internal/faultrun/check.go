package faultrun

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
)

// checkInvariants checks the invariants after the fleet has become idle, and
// adds the violations that the Checkers of the running instances counted.
func (cl *cluster) checkInvariants(ctx context.Context) {
	cl.checkFreed()
	cl.checkRunStates()
	cl.checkAtMostOnce()
	cl.checkLeaves()
	cl.checkEdits(ctx)
	for _, i := range cl.instances {
		if p := i.current(); p != nil {
			i.reportCheckerViolations(p)
		}
	}
}

// resourcesHeld returns the number of slots, KV blocks and streams in use at a
// backend server.
func (b *backend) resourcesHeld() int {
	if b.service != nil {
		return b.service.Stats().SlotsInUse
	}
	s := b.engine.Stats()
	return s.SlotsInUse + s.BlocksInUse + s.Streams
}

// checkFreed checks that neither backend servers nor instances hold resources
// of ended requests (I1).
func (cl *cluster) checkFreed() {
	for _, b := range cl.backends {
		if b.resourcesHeld() == 0 {
			continue
		}
		if b.service != nil {
			cl.report.violate(egretflow.InvariantMemoryFreed, "%s holds %d calls", b.server.Name, b.resourcesHeld())
			continue
		}
		s := b.engine.Stats()
		cl.report.violate(egretflow.InvariantMemoryFreed, "%s holds %d slots, %d blocks and %d streams", b.server.Name, s.SlotsInUse, s.BlocksInUse, s.Streams)
	}
	for _, i := range cl.instances {
		p := i.current()
		if p == nil {
			continue
		}
		for _, d := range p.assembled.Scheduler.Demands(time.Now()) {
			if d.InUse != 0 {
				cl.report.violate(egretflow.InvariantMemoryFreed, "%s counts %d slots of %s in use", i.name(), d.InUse, d.Server)
			}
		}
	}
}

// slotsInUse returns the number of slots that the instances count as in use.
func (cl *cluster) slotsInUse() int {
	total := 0
	for _, i := range cl.instances {
		if p := i.current(); p != nil {
			for _, d := range p.assembled.Scheduler.Demands(time.Now()) {
				total += d.InUse
			}
		}
	}
	return total
}

// checkRunStates checks that a request did not run if every response to it was
// an error that stated NotRun (I4).
func (cl *cluster) checkRunStates() {
	for _, rec := range cl.records {
		if len(rec.exchanges) == 0 || rec.unanswered {
			continue
		}
		notRun := true
		for _, x := range rec.exchanges {
			notRun = notRun && x.status >= http.StatusBadRequest && x.runState == egretflow.RunStateNotRun
		}
		if ran := cl.arrivalLog.possibleRuns(rec.request.marker()); notRun && ran > 0 {
			cl.report.violate(egretflow.InvariantNotRunTrue, "%s %s was rejected %d times as not run, but %d pieces of work reached a server: %s",
				rec.request.kind, rec.request.marker(), len(rec.exchanges), ran, rec.exchanges[len(rec.exchanges)-1].body)
		}
	}
}

// checkAtMostOnce checks that orders ran at most once and that all tries of an
// order got the same outcome (I5).
func (cl *cluster) checkAtMostOnce() {
	for _, rec := range cl.records {
		if rec.request.kind != kindOrder {
			continue
		}
		key, runs := rec.request.key(), 0
		for _, b := range cl.backends {
			if b.service != nil {
				runs += b.service.Stats().Executions[key]
			}
		}
		if runs > 1 {
			cl.report.violate(egretflow.InvariantAtMostOnce, "%s ran %d times", key, runs)
		}
		var first []byte
		for _, x := range rec.exchanges {
			if x.status != http.StatusOK || x.err != nil {
				continue
			}
			if first != nil && (x.altered || !bytes.Equal(first, x.body)) {
				cl.report.violate(egretflow.InvariantAtMostOnce, "%s got two outcomes: %s and %s", key, first, x.body)
			}
			first = x.body
		}
		if first != nil && runs == 0 {
			cl.report.violate(egretflow.InvariantAtMostOnce, "%s was answered without a run", key)
		}
	}
}

// leaveNoticeLimit is the time after which a leaving server must get no new
// work (9.2).
const leaveNoticeLimit = 3 * time.Second

// checkLeaves checks that leaving servers got no new work (I6). If an instance
// cannot read the list, or an engine cannot report that it drains,
// leaveNoticeLimit starts at the end of that period.
func (cl *cluster) checkLeaves() {
	for _, l := range cl.leaves {
		known := l.from
		for _, e := range cl.leaveExemptions {
			if (e.server == "" || e.server == l.server) && e.from.Before(known.Add(leaveNoticeLimit)) && e.to.After(known) {
				known = e.to
			}
		}
		for _, a := range cl.arrivalLog.arrivedBetween(l.server, known.Add(leaveNoticeLimit), l.to) {
			cl.report.violate(egretflow.InvariantLeavingServer, "%s got work of %s from %s %v after it began to leave",
				l.server, a.request, a.from, a.at.Sub(l.from))
		}
	}
}

// checkEdits checks that every accepted edit is in the audit trail at its
// revision, and that all instances use the revision of the store (I8).
func (cl *cluster) checkEdits(ctx context.Context) {
	client, err := cl.storeClient(cl.network.Dialer(host(hostOperator, 0)))
	if err != nil {
		cl.report.violate(harness, "open store: %v", err)
		return
	}
	ed := editor.New(client, time.Now, func() string { return "" })
	tables, err := ed.Tables(ctx)
	if err != nil {
		cl.report.violate(harness, "read tables: %v", err)
		return
	}
	entries, err := ed.Audit(ctx, editor.MaxAuditEntries)
	if err != nil {
		cl.report.violate(harness, "read audit trail: %v", err)
	}
	trail := map[string]egretflow.Revision{}
	for _, e := range entries {
		trail[e.EditID] = e.Revision
	}
	for _, e := range cl.edits {
		if trail[e.id] != e.revision {
			cl.report.violate(egretflow.InvariantNoRevert, "accepted edit %s of revision %d is not in the audit trail", e.id, e.revision)
		}
	}
	cl.report.Edits = len(cl.edits)
	cl.checkActiveRevisions(ctx, tables)
}

func (cl *cluster) checkActiveRevisions(ctx context.Context, tables *egretflow.Tables) {
	client, end := cl.operatorClient()
	defer end()
	for _, i := range cl.instances {
		status, err := i.status(ctx, client)
		if err != nil {
			cl.report.violate(harness, "status of %s: %v", i.name(), err)
			continue
		}
		if status.Revision != tables.Revision || status.EditID != tables.EditID {
			cl.report.violate(egretflow.InvariantNoRevert, "%s has revision %d of edit %q, the store has %d of %q",
				i.name(), status.Revision, status.EditID, tables.Revision, tables.EditID)
		}
	}
}

// maxRecoveryTries is how many tries a kind of request has to succeed after the
// faults. Some may fail: a call on an idle connection that went silent is lost,
// and estimates that a fault has raised only fall with new observations.
const maxRecoveryTries = 10

// checkRecovered checks that every instance serves all kinds of requests again
// after the faults.
func (cl *cluster) checkRecovered() {
	n := firstRecoveryRequest
	for i := range cl.instances {
		for _, kind := range []requestKind{kindStream, kindPlain, kindCall, kindOrder} {
			outcome := OutcomeRefused
			for try := 0; try < maxRecoveryTries && outcome != OutcomeWhole; try++ {
				n++
				outcome = cl.send(&plannedRequest{n: n, kind: kind, instance: i, tries: 1, tokens: 5, promptBytes: 100})
				if outcome != OutcomeWhole {
					time.Sleep(time.Second)
				}
			}
			if outcome != OutcomeWhole {
				rec := cl.records[len(cl.records)-1]
				cl.report.violate(harness, "entry-%d serves no %s after the faults: %s; demands %+v", i, kind, rec.exchanges[0].body,
					cl.instances[i].current().assembled.Scheduler.Demands(time.Now()))
			}
		}
	}
}

// pollInterval is the interval at which the revisions of the instances are
// read.
const pollInterval = 500 * time.Millisecond

// pollRevisions checks that no process goes back to a lower revision (I8),
// until the returned function is called.
func (cl *cluster) pollRevisions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client, end := cl.operatorClient()
		defer end()
		for sleep(ctx, pollInterval) == nil {
			for _, i := range cl.instances {
				cl.pollRevision(ctx, client, i)
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (cl *cluster) pollRevision(ctx context.Context, client *http.Client, i *instance) {
	p := i.current()
	if p == nil {
		return
	}
	status, err := i.status(ctx, client)
	if err != nil || i.current() != p {
		return
	}
	if status.Revision < p.revision {
		cl.report.violate(egretflow.InvariantNoRevert, "%s went from revision %d to %d", i.name(), p.revision, status.Revision)
	}
	p.revision = status.Revision
}

func (cl *cluster) operatorClient() (*http.Client, func()) {
	transport := &http.Transport{DialContext: cl.network.Dialer(host(hostOperator, 9)), DisableKeepAlives: true}
	return &http.Client{Transport: transport, Timeout: 2 * time.Second}, transport.CloseIdleConnections
}

// Parameters of measureKill: its load, the delay before the kill, and how soon
// the resources must be freed (10.2).
const (
	killStreams       = 8
	killStreamTokens  = 400
	killDelay         = 1500 * time.Millisecond
	freedPollInterval = 20 * time.Millisecond
	freedLimit        = 5 * time.Second
)

// measureKill kills an instance under load and measures the time until the
// backend servers hold no resources of its requests.
func (cl *cluster) measureKill() {
	i := cl.instances[0]
	for n := range killStreams {
		r := &plannedRequest{n: firstKillRequest + n, kind: kindStream, instance: 0, tries: 1, tokens: killStreamTokens, promptBytes: 1000}
		cl.runAfter(0, func() { cl.send(r) })
	}
	time.Sleep(killDelay)
	if cl.totalResourcesHeld() == 0 {
		cl.report.violate(harness, "no backend server holds resources before the kill")
	}
	i.kill()
	killedAt := time.Now()
	for cl.totalResourcesHeld() > 0 && time.Since(killedAt) < 2*freedLimit {
		time.Sleep(freedPollInterval)
	}
	cl.report.FreedAfter = time.Since(killedAt)
	if cl.report.FreedAfter > freedLimit {
		cl.report.violate(egretflow.InvariantMemoryFreed, "backend servers hold resources %v after the kill of an instance", cl.report.FreedAfter)
	}
	cl.running.Wait()
}

// Numbers of the first requests of checkRecovered and measureKill. They are
// above those of all planned requests.
const (
	firstRecoveryRequest = 500_000
	firstKillRequest     = 1_000_000
)

func (cl *cluster) totalResourcesHeld() int {
	total := 0
	for _, b := range cl.backends {
		total += b.resourcesHeld()
	}
	return total
}
