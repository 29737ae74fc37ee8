package scheduler

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/crashdetector"
)

// withParts gives a request parts and a fingerprint that no other one has.
func (d *driver) withParts(parts ...egretflow.PartHash) func(w *egretflow.Work) {
	d.nextFingerprint++
	fingerprint := d.nextFingerprint
	return func(w *egretflow.Work) { w.Parts, w.Fingerprint = parts, fingerprint }
}

// crash lets the decode server of w crash before its answer begins.
func (d *driver) crash(w *waiter) {
	d.Helper()
	if w.assignment == nil {
		d.Fatalf("no assignment: %v", w.err)
	}
	d.pass(100 * time.Millisecond)
	d.observe(egretflow.ObservationCrashed, w.assignment.Decode.Name, w.assignment)
	d.release(w.assignment)
	d.pass(100 * time.Millisecond)
}

// complete lets the answer of an attempt end complete.
func (d *driver) complete(a *egretflow.Assignment) {
	d.task.handle(releaseMessage{release: egretflow.Release{Attempt: a.Attempt, Complete: true}})
}

func (d *driver) pass(period time.Duration) {
	d.now = d.now.Add(period)
	d.task.now = d.now
}

const sharedPart, deadlyPart = egretflow.PartHash(1), egretflow.PartHash(0xdead)

// Guards against a part that crashes one server after the other, because each request
// with it is another one, and against callers that are asked to come back before a trial
// is due.
func TestCrashingPartIsRefused(t *testing.T) {
	d := newDriver(t, 1, 4)
	d.crash(d.acquire(d.withParts(sharedPart, deadlyPart)))
	for _, trialAfter := range []time.Duration{2 * time.Second, time.Minute, crashdetector.RejectFor} {
		d.crash(d.acquire(d.withParts(sharedPart, deadlyPart)))
		w := d.acquire(d.withParts(sharedPart, deadlyPart))
		d.wantRefusal(w, egretflow.RefusalCrashSuspect, egretflow.RunStateNotRun)
		var refusal *egretflow.Refusal
		if !errors.As(w.err, &refusal) || refusal.Status != http.StatusServiceUnavailable || !strings.Contains(refusal.Message, deadlyPart.String()) {
			t.Errorf("got %v, want status 503 and the part", w.err)
		} else if wait := refusal.RetryAt.Sub(d.now); wait < trialAfter-200*time.Millisecond || wait > trialAfter+time.Second {
			t.Errorf("asked to come back after %v, want %v", wait, trialAfter)
		}
		if w := d.acquire(d.withParts(sharedPart)); w.assignment == nil {
			t.Errorf("a request that shares the other part is refused: %v", w.err)
		} else {
			d.release(w.assignment)
		}
		d.pass(trialAfter)
	}
}

// Guards against a part that stays blocked although nothing but chance spoke against it,
// and against two requests that try it at the same time.
func TestTrialFreesPart(t *testing.T) {
	d := newDriver(t, 3, 4)
	for range 2 {
		d.crash(d.acquire(d.withParts(sharedPart)))
	}
	d.wantRefusal(d.acquire(d.withParts(sharedPart)), egretflow.RefusalCrashSuspect, egretflow.RunStateNotRun)
	d.pass(2 * time.Second)
	first, second := d.acquire(d.withParts(sharedPart)), d.acquire(d.withParts(sharedPart))
	if first.assignment == nil || second.done {
		t.Fatalf("first %v, second done: %t", first.err, second.done)
	}
	d.observe(egretflow.ObservationTransferDone, first.assignment.Prefill.Name, first.assignment)
	if second.assignment == nil {
		t.Error("the second request still waits")
	}
}

// Guards against several requests with a suspected part that crash a server each, and
// against those that wait when the part is blocked and run later.
func TestSuspectedPartRunsOnce(t *testing.T) {
	d := newDriver(t, 3, 4)
	d.crash(d.acquire(d.withParts(sharedPart, deadlyPart)))
	first, second := d.acquire(d.withParts(sharedPart, deadlyPart)), d.acquire(d.withParts(sharedPart, deadlyPart))
	if first.assignment == nil || second.done {
		t.Fatalf("first %v, second done: %t", first.err, second.done)
	}
	d.crash(first)
	d.wantRefusal(second, egretflow.RefusalCrashSuspect, egretflow.RunStateNotRun)
}

// Guards against sound requests that wait until the whole answer of another one with
// the same suspected part has ended.
func TestBegunAnswerEndsIsolation(t *testing.T) {
	d := newDriver(t, 3, 4)
	d.crash(d.acquire(d.withParts(sharedPart, deadlyPart)))
	first, second := d.acquire(d.withParts(sharedPart)), d.acquire(d.withParts(sharedPart))
	if first.assignment == nil || second.done {
		t.Fatalf("first %v, second done: %t", first.err, second.done)
	}
	d.observe(egretflow.ObservationTransferDone, first.assignment.Prefill.Name, first.assignment)
	if second.assignment == nil {
		t.Error("the second request still waits")
	}
	if n := len(d.task.isolated); n != 0 {
		t.Errorf("%d requests and parts are isolated still", n)
	}
}

// Guards against a part that crashes servers after the first event and is never found,
// because each answer with it that begins acquits it.
func TestBegunAnswerIsCharged(t *testing.T) {
	d := newDriver(t, 1, 4)
	for range 2 {
		w := d.acquire(d.withParts(sharedPart))
		d.observe(egretflow.ObservationTransferDone, w.assignment.Prefill.Name, w.assignment)
		d.crash(w)
	}
	d.wantRefusal(d.acquire(d.withParts(sharedPart)), egretflow.RefusalCrashSuspect, egretflow.RunStateNotRun)
}

// Guards against sound parts that stay suspected after losses during answers, although
// other answers with them end complete.
func TestCompleteAnswerAcquits(t *testing.T) {
	d := newDriver(t, 2, 4)
	other := d.acquire(d.withParts(sharedPart))
	w := d.acquire(d.withParts(sharedPart))
	d.observe(egretflow.ObservationTransferDone, w.assignment.Prefill.Name, w.assignment)
	d.crash(w)
	if _, v := d.task.crashes.PartVerdict([]egretflow.PartHash{sharedPart}, d.now); v != crashdetector.Isolate {
		t.Errorf("verdict %s after the loss", v)
	}
	d.complete(other.assignment)
	if _, v := d.task.crashes.PartVerdict([]egretflow.PartHash{sharedPart}, d.now); v != crashdetector.Allow {
		t.Errorf("verdict %s after a complete answer", v)
	}
}

// Guards against a coordinator that takes over a running request with a part, and does
// not count its crash.
func TestAdoptedAttemptIsCharged(t *testing.T) {
	d := newDriver(t, 1, 4)
	work := testWork("q")
	d.withParts(sharedPart, deadlyPart)(work)
	if !d.task.adopt(&egretflow.Adoption{Attempt: "a1", Work: work, Decode: "b"}) {
		t.Fatal("not adopted")
	}
	d.observe(egretflow.ObservationCrashed, "b", &egretflow.Assignment{Attempt: "a1"})
	if _, v := d.task.crashes.PartVerdict([]egretflow.PartHash{deadlyPart}, d.now); v != crashdetector.Isolate {
		t.Errorf("verdict %s", v)
	}
}

// BenchmarkCrashedServer measures what the reports of 16 requests cost that a lost server
// was running, with 400 parts each.
func BenchmarkCrashedServer(b *testing.B) {
	parts := make([]egretflow.PartHash, 400)
	for n := range parts {
		parts[n] = egretflow.PartHash(n + 1)
	}
	for b.Loop() {
		b.StopTimer()
		d := newDriver(&testing.T{}, 20, 1)
		running := make([]*waiter, 16)
		for n := range running {
			running[n] = d.acquire(d.withParts(parts...))
			if running[n].assignment == nil {
				b.Fatalf("request %d does not run: %v", n, running[n].err)
			}
		}
		b.StartTimer()
		for _, w := range running {
			d.observe(egretflow.ObservationCrashed, w.assignment.Decode.Name, w.assignment)
			d.release(w.assignment)
		}
	}
}
