package scheduler

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/crashdetector"
	"github.com/egretflow/egretflow/picker"
)

// driver sends messages to a task in virtual time.
type driver struct {
	*testing.T
	task *task
	now  time.Time
	// nextFingerprint makes the requests of withParts differ.
	nextFingerprint uint64
}

func newDriver(t *testing.T, prefill, decode int) *driver {
	d := &driver{T: t, now: time.Unix(1000, 0)}
	d.task = newTask(Config{Instance: "i", Clock: func() time.Time { return d.now }, Rand: rand.New(rand.NewPCG(1, 2)), Recorder: fakeRecorder{}, Checker: fakeChecker{t}})
	d.task.now = d.now
	tables := testTables(prefill, decode, 20)
	tables.Routes = []egretflow.Route{{Name: "r", Pool: "letters", Idempotent: true, RetryPercent: 50, HedgePercent: 50, MaxStreams: 50}}
	d.task.handle(tablesMessage{tables: tables})
	return d
}

// acquire sends a request with a first-token target of 5 s, after change if it is
// not nil.
func (d *driver) acquire(change func(w *egretflow.Work)) *waiter {
	w := testWork("q")
	w.Idempotent, w.ArrivedAt, w.FirstTokenBy = true, d.now, d.now.Add(5*time.Second)
	if change != nil {
		change(w)
	}
	wait := newWaiter(w, "")
	d.task.handle(acquireMessage{waiter: wait})
	return wait
}

func (d *driver) observe(kind egretflow.ObservationKind, s egretflow.ServerName, a *egretflow.Assignment) {
	d.task.handle(observeMessage{observation: egretflow.Observation{Kind: kind, Server: s, Attempt: a.Attempt, StartedAt: d.now, EndedAt: d.now, Tokens: 1}})
}

func (d *driver) release(a *egretflow.Assignment) {
	d.task.handle(releaseMessage{release: egretflow.Release{Attempt: a.Attempt}})
}

func (d *driver) wantRefusal(w *waiter, reason egretflow.RefusalReason, state egretflow.RunState) {
	d.Helper()
	var r *egretflow.Refusal
	if !errors.As(w.err, &r) || r.Reason != reason || r.RunState != state {
		d.Errorf("result %v, want refusal %s with %s", w.err, reason, state)
	}
}

func withFingerprint(f uint64) func(w *egretflow.Work) {
	return func(w *egretflow.Work) { w.Fingerprint = f }
}

// Guards against a request that crashes each server that runs it and is retried
// until no server of the pool is left (5.6).
func TestCrashingRequestIsRejected(t *testing.T) {
	d := newDriver(t, 1, 3)
	lost := map[egretflow.ServerName]bool{}
	for range 2 {
		w := d.acquire(withFingerprint(7))
		if w.assignment == nil {
			t.Fatalf("no assignment: %v", w.err)
		}
		lost[w.assignment.Decode.Name] = true
		d.observe(egretflow.ObservationCrashed, w.assignment.Decode.Name, w.assignment)
		d.release(w.assignment)
	}
	if len(lost) != 2 {
		t.Errorf("crashes on %v, want two servers", lost)
	}
	d.wantRefusal(d.acquire(withFingerprint(7)), egretflow.RefusalCrashSuspect, egretflow.RunStateNotRun)
	if w := d.acquire(withFingerprint(8)); w.assignment == nil {
		t.Errorf("another request is refused as well: %v", w.err)
	}
}

// Guards against requests that are refused as crash suspects because they were
// sent to servers that were down already: they did not run there.
func TestUnsentRequestIsNotCharged(t *testing.T) {
	d := newDriver(t, 1, 3)
	for range 3 {
		w := d.acquire(withFingerprint(7))
		if w.assignment == nil {
			t.Fatalf("no assignment: %v", w.err)
		}
		d.task.observe(&egretflow.Observation{
			Kind: egretflow.ObservationCrashed, Server: w.assignment.Decode.Name, Attempt: w.assignment.Attempt, Unsent: true, StartedAt: d.now, EndedAt: d.now,
		})
		d.release(w.assignment)
	}
	if v := d.task.crashes.Verdict(7, d.now); v != crashdetector.Allow {
		t.Errorf("verdict %s for a request that reached no server", v)
	}
}

// Guards against crash suspects that share a server although others are free, and against
// those that are held back while none is: most of them ran beside the cause by chance.
func TestSuspectsWithOneLossDoNotWait(t *testing.T) {
	d := newDriver(t, 3, 2)
	for f := range uint64(3) {
		d.task.crashes.RecordLoss(f+1, crashdetector.Loss{Server: "x"}, d.now)
	}
	first, second, third := d.acquire(withFingerprint(1)), d.acquire(withFingerprint(2)), d.acquire(withFingerprint(3))
	if first.assignment.Decode.Name == second.assignment.Decode.Name || first.assignment.Prefill.Name == second.assignment.Prefill.Name {
		t.Error("two suspects share a server while another one is free")
	}
	if third.assignment == nil {
		t.Errorf("the third suspect waits: %v", third.err)
	}
}

// recordSharedLosses charges a request with two losses, the second of which another
// suspect may explain.
func (d *driver) recordSharedLosses(fingerprint uint64) {
	d.task.crashes.RecordLoss(fingerprint, crashdetector.Loss{Server: "x"}, d.now)
	d.task.crashes.RecordLoss(fingerprint, crashdetector.Loss{Server: "y", Shared: true}, d.now)
}

// Guards against crash suspects that share a server once more: the next crash of it
// would count against all of them.
func TestSuspectsRunOnSeparateServers(t *testing.T) {
	d := newDriver(t, 3, 2)
	for f := range uint64(3) {
		d.recordSharedLosses(f + 1)
	}
	first, second, third := d.acquire(withFingerprint(1)), d.acquire(withFingerprint(2)), d.acquire(withFingerprint(3))
	if first.assignment.Decode.Name == second.assignment.Decode.Name || first.assignment.Prefill.Name == second.assignment.Prefill.Name {
		t.Error("two suspects share a server")
	}
	if third.done {
		t.Error("a third suspect runs on two decode servers")
	}
	d.observe(egretflow.ObservationTokens, first.assignment.Decode.Name, first.assignment)
	d.release(first.assignment)
	if third.assignment == nil {
		t.Errorf("the third suspect got no assignment after the first completed: %v", third.err)
	}
	if again := d.acquire(withFingerprint(1)); again.assignment == nil {
		t.Error("a request that completed is still a suspect")
	}
}

// Guards against retries and hedges beyond their budgets: they add load to servers
// that are overloaded already (5.4, 5.5).
func TestBudgetsBoundExtraAttempts(t *testing.T) {
	tests := []struct {
		name  string
		extra func(w *egretflow.Work)
		want  int
	}{
		{"retries", func(w *egretflow.Work) { w.Retry = true }, 5},
		{"hedges", func(w *egretflow.Work) { w.Hedge = true }, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDriver(t, 8, 2)
			for range 10 {
				if w := d.acquire(nil); w.assignment != nil {
					d.release(w.assignment)
				}
			}
			got := 0
			for range 10 {
				w := d.acquire(test.extra)
				if w.assignment == nil {
					d.wantRefusal(w, egretflow.RefusalOverload, egretflow.RunStateMayHaveRun)
					continue
				}
				got++
				d.release(w.assignment)
			}
			if got != test.want {
				t.Errorf("%d extra attempts for 10 requests at 50 percent, want %d", got, test.want)
			}
		})
	}
}

// Guards against one caller that takes all slots of an instance by opening many
// streams.
func TestStreamsOfACallerAreBounded(t *testing.T) {
	d := newDriver(t, 2, 8)
	var last *waiter
	for range 51 {
		last = d.acquire(func(w *egretflow.Work) { w.PromptTokens, w.FirstTokenBy = 10, time.Time{} })
	}
	d.wantRefusal(last, egretflow.RefusalTooManyStreams, egretflow.RunStateNotRun)
}

// Guards against an attempt that loses its decode slots, or returns to the same
// prefill server, when its prefill has failed and is replaced.
func TestReplaceKeepsDecodeServer(t *testing.T) {
	d := newDriver(t, 2, 2)
	for range 2 { // First attempts add to the retry budget.
		d.release(d.acquire(nil).assignment)
	}
	a := d.acquire(nil).assignment
	d.observe(egretflow.ObservationFailed, a.Prefill.Name, a)
	w := newWaiter(a.Work, a.Attempt)
	d.task.handle(acquireMessage{waiter: w})
	switch next := w.assignment; {
	case next == nil:
		t.Fatalf("no other prefill server: %v", w.err)
	case next.Prefill.Name == a.Prefill.Name || next.Decode.Name != a.Decode.Name || next.Attempt != a.Attempt:
		t.Errorf("replacement %s/%s of attempt %s, had %s/%s of %s", next.Prefill.Name, next.Decode.Name, next.Attempt, a.Prefill.Name, a.Decode.Name, a.Attempt)
	}
	d.release(a)
}

// Guards against waiting requests that are missing from the demand: the owner of a
// server grants only the slots that instances ask for (5.3).
func TestDemandsIncludeWaitingRequests(t *testing.T) {
	d := newDriver(t, 2, 2)
	d.task.cfg.Sharing = picker.SharingGrants
	d.task.pools = map[egretflow.PoolName]*pool{}
	d.task.handle(tablesMessage{tables: testTables(2, 2, 20)})
	for range 4 {
		d.acquire(func(w *egretflow.Work) { w.Importance = egretflow.ImportanceHigh })
	}
	total := map[egretflow.ServerName]int{}
	for _, demand := range d.task.demands(d.now) {
		total[demand.Server] = demand.Wanted[egretflow.ImportanceHigh.Rank()]
	}
	if total["a"]+total["b"] != 4 || total["c"]+total["d"] != 4 {
		t.Errorf("wanted %v, want four slots of prefill and of decode servers", total)
	}
}

// Guards against a long prompt that needs several slots and never starts, because
// short requests take each slot that becomes free.
func TestLongPromptIsNotStarved(t *testing.T) {
	d := newDriver(t, 30, 1)
	var running []*egretflow.Assignment
	short := func(w *egretflow.Work) { w.PromptTokens, w.FirstTokenBy = 100, time.Time{} }
	for range 20 {
		running = append(running, d.acquire(short).assignment)
	}
	long := d.acquire(func(w *egretflow.Work) { w.PromptTokens, w.FirstTokenBy = 10_000, time.Time{} })
	waiting := d.acquire(func(w *egretflow.Work) { short(w); w.Importance = egretflow.ImportanceLow })
	for n, a := range running[:4] {
		if long.done || waiting.done {
			t.Fatalf("after %d of 4 slots: long prompt started %v, short one behind it %v", n, long.done, waiting.done)
		}
		d.release(a)
	}
	if long.assignment == nil {
		t.Errorf("the long prompt did not start with 4 free slots: %v", long.err)
	}
}

// Guards against requests that are rejected together with a crashing one, because they
// shared the servers that it crashed, and against a crashing one that goes on because of
// them (5.6).
func TestOnlyCrashingRequestIsRejected(t *testing.T) {
	const requests, decode, crashing = 10, 4, uint64(1)
	d := newDriver(t, 12, decode)
	for f := range uint64(requests) {
		d.task.crashes.RecordLoss(f+1, crashdetector.Loss{Server: "lost"}, d.now)
	}
	var running []*egretflow.Assignment
	for f := range uint64(requests) {
		w := d.acquire(withFingerprint(f + 1))
		if w.assignment == nil {
			t.Fatalf("suspect %d waits: %v", f+1, w.err)
		}
		running = append(running, w.assignment)
	}
	d.crashAll(running, running[0].Decode.Name)
	if v := d.task.crashes.Verdict(crashing, d.now); v == crashdetector.Allow || v == crashdetector.Separate {
		t.Errorf("verdict %s after two crashes", v)
	}
	// All requests come again until the crashing one has crashed a third server.
	running = nil
	for f := range uint64(requests) {
		if w := d.acquire(withFingerprint(f + 1)); w.assignment != nil {
			running = append(running, w.assignment)
		}
	}
	if running[0].Work.Fingerprint != crashing {
		t.Fatal("the crashing request does not run")
	}
	d.crashAll(running, running[0].Decode.Name)
	for f := range uint64(requests) {
		if v := d.task.crashes.Verdict(f+1, d.now); (v == crashdetector.Reject) != (f+1 == crashing) {
			t.Errorf("verdict %s on request %d, want %s only for request %d", v, f+1, crashdetector.Reject, crashing)
		}
	}
}

// crashAll lets a server crash that some of the attempts run on. The others go on and
// are released.
func (d *driver) crashAll(running []*egretflow.Assignment, lost egretflow.ServerName) {
	d.Helper()
	for _, a := range running {
		if a.Decode.Name == lost {
			d.observe(egretflow.ObservationCrashed, lost, a)
		}
		d.release(a)
	}
	d.pass(crashSitePeriod)
}

// eventNames is a Recorder that keeps the names of the recorded events.
type eventNames struct{ list []egretflow.EventName }

func (r *eventNames) Record(e egretflow.Event) { r.list = append(r.list, e.Name) }

// Guards against a refused hedge that is recorded as a refused request: operators
// would see an outage that no caller has noticed.
func TestRefusedHedgeHasItsOwnEvent(t *testing.T) {
	for _, hedge := range []bool{false, true} {
		d, events := newDriver(t, 1, 1), &eventNames{}
		d.task.cfg.Recorder = events
		d.acquire(func(w *egretflow.Work) { w.Hedge, w.FirstTokenBy = hedge, d.now.Add(time.Millisecond) })
		want := egretflow.EventPlaceRefused
		if hedge {
			want = egretflow.EventHedgeRefused
		}
		if !slices.Equal(events.list, []egretflow.EventName{want}) {
			t.Errorf("hedge %t: events %v, want only %s", hedge, events.list, want)
		}
	}
}

// Guards against requests that are admitted although more important ones that wait
// at peers will make them late.
func TestWorkWaitingAtPeersCountsByClass(t *testing.T) {
	d := newDriver(t, 1, 1)
	p := d.task.pools["letters"]
	d.task.handle(peerLoadMessage{from: "b", load: egretflow.PrefillLoad{Queues: []egretflow.Queue{{Pool: "letters", Tokens: [4]int{100, 200, 0, 400}}}}})
	if got, want := p.waitingAtPeers(d.now), [4]float64{50, 200, 300, 500}; got != want {
		t.Errorf("ahead %v, want %v", got, want)
	}
	d.now = d.now.Add(2 * peerLoadLifetime)
	if got := p.waitingAtPeers(d.now); got != [4]float64{} {
		t.Errorf("ahead %v of a peer that has stopped reporting, want none", got)
	}
}

// Guards against a burst of unimportant requests that takes all slots, so that an
// important one cannot start (5.1).
func TestSlotsAreKeptForImportantRequests(t *testing.T) {
	d := newDriver(t, 30, 1)
	for range 30 {
		d.acquire(func(w *egretflow.Work) {
			w.PromptTokens, w.FirstTokenBy, w.Importance = 100, time.Time{}, egretflow.ImportanceLow
		})
	}
	w := d.acquire(func(w *egretflow.Work) { w.PromptTokens, w.Importance = 4000, egretflow.ImportanceCritical })
	if w.assignment == nil || w.assignment.Slots != 2 {
		t.Errorf("critical request of two slots got %+v behind a burst of low ones", w.assignment)
	}
}

// Guards against a service whose calls are all refused after a fault is over: the
// mean response time exceeds the target, and only another call can lower it.
func TestServiceIsMeasuredAgain(t *testing.T) {
	d := newDriver(t, 1, 1)
	d.task.handle(tablesMessage{tables: &egretflow.Tables{Revision: 2,
		Routes: []egretflow.Route{{Name: "r", Pool: "desk", Idempotent: true, RetryPercent: 50, MaxStreams: 50}},
		Pools: []egretflow.Pool{{Name: "desk", Kind: egretflow.PoolKindService, Servers: []egretflow.Server{
			{Name: "s", Role: egretflow.RoleService, Slots: 4},
		}}},
	}})
	call := func(took time.Duration) bool {
		w := d.acquire(func(w *egretflow.Work) {
			w.Pool, w.PromptTokens, w.MaxTokens, w.FirstTokenBy = "desk", 0, 0, d.now.Add(time.Second)
		})
		if w.assignment == nil {
			return false
		}
		started := d.now
		d.now = d.now.Add(took)
		d.task.now = d.now
		d.task.handle(observeMessage{observation: egretflow.Observation{
			Kind: egretflow.ObservationServed, Server: "s", Attempt: w.assignment.Attempt, StartedAt: started, EndedAt: d.now,
		}})
		d.release(w.assignment)
		return true
	}
	for range 20 {
		call(10 * time.Second)
	}
	for n := range 20 {
		if !call(10 * time.Millisecond) {
			t.Fatalf("call %d after the fault was refused", n)
		}
	}
}

// Guards against the statement that a request was running on servers that crashed,
// which is false if only too many other suspects wait.
func TestFullSuspectQueueSaysSo(t *testing.T) {
	d := newDriver(t, 1, 1)
	p := d.task.pools["letters"]
	for range maxCrashSuspects {
		p.crashSuspects = append(p.crashSuspects, newWaiter(&egretflow.Work{}, ""))
	}
	d.recordSharedLosses(2)
	w := newWaiter(&egretflow.Work{Fingerprint: 2, Pool: "letters"}, "")
	w.pool = p
	d.task.moveSuspect(w)
	var refusal *egretflow.Refusal
	if !errors.As(w.err, &refusal) || refusal.Status != http.StatusServiceUnavailable {
		t.Errorf("got %v, want status 503", w.err)
	}
}
