package claimer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/store"
	"github.com/egretflow/egretflow/internal/stub/stubtest"
	"github.com/egretflow/egretflow/storeclient"
)

// keyAt returns a key of UUID version 7 with the given time.
func keyAt(at time.Time, n int) egretflow.ClaimKey {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	id[12], id[13], id[14], id[15] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
	return egretflow.ClaimKey{Caller: "desk", Route: "orders", Key: id.String(), Fingerprint: 7}
}

func ordered(body string) *egretflow.Outcome {
	return &egretflow.Outcome{Status: 201, ContentType: "application/json", Body: []byte(body)}
}

// inFleet runs a test in virtual time on a new fleet.
func inFleet(t *testing.T, instances int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		f := newFleet(t, instances)
		test(t, f)
		f.stopAll()
		synctest.Wait()
		if v := f.checker.violated(); v != "" {
			t.Errorf("violations: %s", v)
		}
	})
}

func wantRefusal(t *testing.T, err error, status int, reason egretflow.RefusalReason, state egretflow.RunState) {
	t.Helper()
	var refusal *egretflow.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got error %v, want a refusal", err)
	}
	if refusal.Status != status || refusal.Reason != reason || refusal.RunState != state {
		t.Errorf("got refusal %d %s %s, want %d %s %s", refusal.Status, refusal.Reason, refusal.RunState, status, reason, state)
	}
}

func (f *fleet) mustBegin(at int, key egretflow.ClaimKey) *egretflow.ClaimTicket {
	f.t.Helper()
	ticket, outcome, err := f.claimer(instanceName(at)).Begin(f.t.Context(), key, time.Time{})
	if err != nil || ticket == nil {
		f.t.Fatalf("begin: got outcome %v and error %v, want a ticket", outcome, err)
	}
	return ticket
}

func (f *fleet) refused(at int, key egretflow.ClaimKey) error {
	f.t.Helper()
	ticket, outcome, err := f.claimer(instanceName(at)).Begin(f.t.Context(), key, time.Time{})
	if err == nil {
		f.t.Fatalf("begin: got ticket %v and outcome %v, want a refusal", ticket, outcome)
	}
	return err
}

// A retry at any instance must get the first outcome, or 409, for every way in
// which the first try can end.
func TestRetryAfterEachEnd(t *testing.T) {
	for _, end := range []string{"Running", "Done", "Unknown", "NotRun", "HolderDied"} {
		t.Run(end, func(t *testing.T) {
			inFleet(t, 4, func(t *testing.T, f *fleet) {
				ctx, key := t.Context(), keyAt(time.Now(), 1)
				holder := f.claimer(instanceName(0))
				ticket := f.mustBegin(0, key)
				var err error
				switch end {
				case "Done":
					err = holder.Finish(ctx, ticket, ordered("first"))
				case "Unknown":
					err = holder.Unknown(ctx, ticket)
				case "NotRun":
					err = holder.NotRun(ctx, ticket)
				case "HolderDied":
					f.kill(instanceName(0))
					time.Sleep(2*RunWindow + time.Second)
				}
				if err != nil {
					t.Fatalf("end ticket: %v", err)
				}
				for n := range 4 {
					switch end {
					case "Running":
						wantRefusal(t, f.refused(n, key), 409, egretflow.RefusalInProgress, egretflow.RunStateMayHaveRun)
					case "Unknown", "HolderDied":
						wantRefusal(t, f.refused(n, key), 409, egretflow.RefusalClaimUnresolved, egretflow.RunStateMayHaveRun)
					case "Done":
						_, outcome, err := f.claimer(instanceName(n)).Begin(ctx, key, time.Time{})
						if err != nil || outcome == nil || string(outcome.Body) != "first" {
							t.Errorf("retry at %d: got %v and error %v, want the first outcome", n, outcome, err)
						}
					case "NotRun":
						again := f.mustBegin(n, key)
						if again.Claim.Epoch != uint64(n+2) {
							t.Errorf("retry at %d has epoch %d, want %d", n, again.Claim.Epoch, n+2)
						}
						if err := f.claimer(instanceName(n)).NotRun(ctx, again); err != nil {
							t.Errorf("give back: %v", err)
						}
					}
				}
			})
		})
	}
}

// Keys that must not run are refused before anything is written.
func TestRefusedKeys(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		now := time.Now()
		long := egretflow.ClaimKey{Caller: "desk", Route: "orders", Key: strings.Repeat("k", MaxKeyBytes+1)}
		for _, tt := range []struct {
			key    egretflow.ClaimKey
			status int
			reason egretflow.RefusalReason
			state  egretflow.RunState
		}{
			{keyAt(now.Add(-Retention-time.Second), 1), 409, egretflow.RefusalClaimUnresolved, egretflow.RunStateMayHaveRun},
			{keyAt(now.Add(MaxClockSkew+time.Second), 1), 400, egretflow.RefusalBadRequest, egretflow.RunStateNotRun},
			{egretflow.ClaimKey{Caller: "desk", Route: "orders"}, 400, egretflow.RefusalBadRequest, egretflow.RunStateNotRun},
			{long, 400, egretflow.RefusalBadRequest, egretflow.RunStateNotRun},
		} {
			wantRefusal(t, f.refused(0, tt.key), tt.status, tt.reason, tt.state)
		}
		if f.store.reads+f.store.writes > 0 {
			t.Errorf("store was called %d times", f.store.reads+f.store.writes)
		}
		key := keyAt(now, 2)
		f.mustBegin(0, key)
		key.Fingerprint++
		wantRefusal(t, f.refused(1, key), 422, egretflow.RefusalKeyReused, egretflow.RunStateNotRun)
	})
}

// In an outage a claim is refused as not run or waits within its deadline, and
// an outcome reaches the store after the outage.
func TestOutage(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		ctx := t.Context()
		running := keyAt(time.Now(), 1)
		ticket := f.mustBegin(0, running)
		f.store.setOutage(true)
		start := time.Now()
		wantRefusal(t, f.refused(1, keyAt(start, 2)), 503, egretflow.RefusalStore, egretflow.RunStateNotRun)
		if took := time.Since(start); took > DefaultMaxWait {
			t.Errorf("refused after %v", took)
		}
		if err := f.claimer(instanceName(0)).Finish(ctx, ticket, ordered("late")); err == nil {
			t.Error("finish during the outage: want an error")
		}
		time.AfterFunc(time.Second, func() { f.store.setOutage(false) })
		f.mustBegin(2, keyAt(time.Now(), 3))
		time.Sleep(3 * time.Second)
		_, outcome, err := f.claimer(instanceName(2)).Begin(ctx, running, time.Time{})
		if err != nil || outcome == nil || string(outcome.Body) != "late" {
			t.Errorf("got %v and error %v, want the outcome of the run during the outage", outcome, err)
		}
		f.mustBegin(1, keyAt(start, 2))
	})
}

// A holder that is paused past RunBy must not get or use a ticket.
func TestTicketEndsAtRunBy(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		key := keyAt(time.Now(), 1)
		deadline := time.Now().Add(3 * time.Second)
		ticket, _, err := f.claimer(instanceName(0)).Begin(t.Context(), key, deadline)
		if err != nil || !ticket.RunBy.Equal(deadline) {
			t.Fatalf("got ticket %v and error %v, want RunBy at the caller's deadline", ticket, err)
		}
		if err := f.claimer(instanceName(0)).NotRun(t.Context(), ticket); err != nil {
			t.Fatalf("give back: %v", err)
		}
		if err := f.claimer(instanceName(0)).Finish(t.Context(), ticket, ordered("x")); !errors.Is(err, errTicketUsed) {
			t.Errorf("finish of a ticket that was given back: got %v, want %v", err, errTicketUsed)
		}
		f.store.latency = time.Second
		_, _, err = f.claimer(instanceName(1)).Begin(t.Context(), keyAt(time.Now(), 2), time.Now().Add(1500*time.Millisecond))
		wantRefusal(t, err, 503, egretflow.RefusalStore, egretflow.RunStateNotRun)
	})
}

// When the answer to every write is lost, the own token in the record shows
// that the claim won.
func TestLostAnswers(t *testing.T) {
	for _, late := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			inFleet(t, 3, func(t *testing.T, f *fleet) {
				lost := 0
				f.store.lose = func() (bool, time.Duration) { lost++; return lost%2 == 1, late }
				key := keyAt(time.Now(), 1)
				ticket := f.mustBegin(0, key)
				wantRefusal(t, f.refused(1, key), 409, egretflow.RefusalInProgress, egretflow.RunStateMayHaveRun)
				if err := f.claimer(instanceName(0)).Finish(t.Context(), ticket, ordered("first")); err != nil {
					t.Errorf("finish: %v", err)
				}
			})
		})
	}
}

// Over the protocol of the store, with the faults of its stand-in: the claims
// hold, and retries of a finished request do not call the store again.
func TestOverStoreProtocol(t *testing.T) {
	inFleet(t, 0, func(t *testing.T, f *fleet) {
		hosts := stubtest.New(t)
		backend := store.New(store.Config{Latency: 2 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000})
		hosts.Serve("10.0.9.9:80", backend, backend.Faults)
		client, err := storeclient.New(storeclient.Config{BaseURL: "http://10.0.9.9:80", Client: hosts.Client("10.0.0.1"), Clock: time.Now})
		if err != nil {
			t.Fatal(err)
		}
		f.backend = client
		for n := range 3 {
			f.start(instanceName(n))
		}
		for n, kind := range []fault.Kind{fault.LostAnswer, fault.Outage, fault.Slow, fault.Stall} {
			backend.Faults.Add(fault.Fault{Kind: kind, Factor: 300, Count: 2, Until: time.Now().Add(2 * time.Second)})
			key := keyAt(time.Now(), n)
			ticket := f.mustBegin(n%3, key)
			if err := f.claimer(instanceName(n%3)).Finish(t.Context(), ticket, ordered("first")); err != nil {
				t.Fatalf("%s: finish: %v", kind, err)
			}
			for try := range 30 {
				calls := backend.Stats().Total
				_, outcome, err := f.claimer(instanceName(try%3)).Begin(t.Context(), key, time.Time{})
				if err != nil || outcome == nil {
					t.Errorf("%s: retry %d: got outcome %v and error %v", kind, try, outcome, err)
				}
				if more := backend.Stats().Total - calls; try >= 3 && more > 0 {
					t.Errorf("%s: retry %d called the store %d times", kind, try, more)
				}
			}
		}
	})
}

// A committer that cannot be reached, and two committers at once, must not
// stop claims or let two of them win.
func TestCommitterChange(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *fleet) {
		for n := range 3 {
			f.cut[instanceName(n)] = true
			f.views[instanceName(n)] = []egretflow.InstanceName{instanceName(n)}
		}
		for n := range 20 {
			key := keyAt(time.Now(), n)
			f.mustBegin(n%6, key)
			for at := range 6 {
				_ = f.refused(at, key)
			}
		}
	})
}

// A document is full before it exceeds the largest value of the store, and
// claims in it can still be ended.
func TestFullDocument(t *testing.T) {
	const document, claims = "Claims/0/Plain-0", 2500
	inFleet(t, 1, func(t *testing.T, f *fleet) {
		c := f.claimer(instanceName(0))
		var mu sync.Mutex
		var tickets []*egretflow.ClaimTicket
		var refusal error
		var done sync.WaitGroup
		for n, begun := 0, 0; begun < claims; n++ {
			key := egretflow.ClaimKey{Caller: "desk", Route: "orders", Key: fmt.Sprint("plain-", n)}
			if p, _ := locate(key, time.Now()); p.document != document {
				continue
			}
			if begun++; begun%100 == 0 {
				done.Wait()
			}
			done.Go(func() {
				ticket, _, err := c.Begin(context.Background(), key, time.Time{})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					refusal = err
					return
				}
				tickets = append(tickets, ticket)
			})
		}
		done.Wait()
		wantRefusal(t, refusal, 503, egretflow.RefusalOverload, egretflow.RunStateNotRun)
		for n, ticket := range tickets {
			if n%100 == 0 {
				done.Wait()
			}
			done.Go(func() {
				if err := c.Finish(context.Background(), ticket, ordered(strings.Repeat("x", MaxOutcomeBytes))); err != nil {
					t.Errorf("finish in a full document: %v", err)
				}
			})
		}
		done.Wait()
		if value, _ := f.store.value(document); len(value) > egretflow.MaxStoreValueBytes {
			t.Errorf("document has %d bytes", len(value))
		}
		t.Logf("%d claims fit", len(tickets))
		// The records expire after the retention, and there is room again.
		time.Sleep(Retention + KeepMargin + time.Minute)
		if _, _, err := c.Begin(t.Context(), egretflow.ClaimKey{Caller: "desk", Route: "orders", Key: "plain-0"}, time.Time{}); err != nil {
			t.Errorf("begin after the retention: %v", err)
		}
	})
}

// Old documents are deleted, and their keys are refused although no record is
// left.
func TestSweep(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		key := keyAt(time.Now(), 1)
		ticket := f.mustBegin(0, key)
		if err := f.claimer(instanceName(0)).Finish(t.Context(), ticket, ordered("first")); err != nil {
			t.Fatalf("finish: %v", err)
		}
		p, _ := locate(key, time.Now())
		time.Sleep(Retention - time.Minute)
		if _, ok := f.store.value(p.document); !ok {
			t.Error("document was deleted before the retention ended")
		}
		time.Sleep(KeepMargin + 5*time.Minute)
		if _, ok := f.store.value(p.document); ok {
			t.Error("document was not deleted")
		}
		wantRefusal(t, f.refused(1, key), 409, egretflow.RefusalClaimUnresolved, egretflow.RunStateMayHaveRun)
	})
}
