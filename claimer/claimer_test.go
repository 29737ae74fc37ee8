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

// createdOutcome returns an outcome with status 201 and the given body.
func createdOutcome(body string) *egretflow.Outcome {
	return &egretflow.Outcome{Status: 201, ContentType: "application/json", Body: []byte(body)}
}

// withFleet runs a test in virtual time on a new fleet. It fails the test if an
// invariant was violated.
func withFleet(t *testing.T, instances int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		f := newFleet(t, instances)
		test(t, f)
		f.stopAll()
		synctest.Wait()
		if v := f.checker.summary(); v != "" {
			t.Errorf("violations: %s", v)
		}
	})
}

// wantRefusal fails the test unless err is a refusal with the given fields.
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

// mustBegin calls Begin at an instance and returns the ticket, which it
// requires.
func (f *fleet) mustBegin(at int, key egretflow.ClaimKey) *egretflow.ClaimTicket {
	f.t.Helper()
	ticket, outcome, err := f.claimer(instanceName(at)).Begin(f.t.Context(), key, time.Time{})
	if err != nil || ticket == nil {
		f.t.Fatalf("begin: got outcome %v and error %v, want a ticket", outcome, err)
	}
	return ticket
}

// mustRefuse calls Begin at an instance and returns the error, which it
// requires.
func (f *fleet) mustRefuse(at int, key egretflow.ClaimKey) error {
	f.t.Helper()
	ticket, outcome, err := f.claimer(instanceName(at)).Begin(f.t.Context(), key, time.Time{})
	if err == nil {
		f.t.Fatalf("begin: got ticket %v and outcome %v, want a refusal", ticket, outcome)
	}
	return err
}

// Guards against a second run of a request. In each state of the first try, a
// retry at any instance must get the recorded outcome or a 409; only after
// NotRun does it get a ticket, with the next epoch.
func TestRetryGetsOutcomeOrRefusal(t *testing.T) {
	for _, end := range []string{"Running", "Done", "Unknown", "NotRun", "HolderDied"} {
		t.Run(end, func(t *testing.T) {
			withFleet(t, 4, func(t *testing.T, f *fleet) {
				ctx, key := t.Context(), keyAt(time.Now(), 1)
				holder := f.claimer(instanceName(0))
				ticket := f.mustBegin(0, key)
				var err error
				switch end {
				case "Done":
					err = holder.Finish(ctx, ticket, createdOutcome("first"))
				case "Unknown":
					err = holder.MarkUnknown(ctx, ticket)
				case "NotRun":
					err = holder.MarkNotRun(ctx, ticket)
				case "HolderDied":
					f.kill(instanceName(0))
					time.Sleep(2*TicketLifetime + time.Second)
				}
				if err != nil {
					t.Fatalf("end ticket: %v", err)
				}
				for n := range 4 {
					switch end {
					case "Running":
						wantRefusal(t, f.mustRefuse(n, key), 409, egretflow.RefusalInProgress, egretflow.RunStateMayHaveRun)
					case "Unknown", "HolderDied":
						wantRefusal(t, f.mustRefuse(n, key), 409, egretflow.RefusalClaimUnresolved, egretflow.RunStateMayHaveRun)
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
						if err := f.claimer(instanceName(n)).MarkNotRun(ctx, again); err != nil {
							t.Errorf("MarkNotRun: %v", err)
						}
					}
				}
			})
		})
	}
}

// Guards against runs with an invalid key: an expired, future, empty or too
// long key must be refused without a call of the store, and a key that was used
// with a different request must be refused after its record was read.
func TestInvalidKeysRefusedWithoutStoreCalls(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *fleet) {
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
			wantRefusal(t, f.mustRefuse(0, tt.key), tt.status, tt.reason, tt.state)
		}
		if f.store.reads+f.store.writes > 0 {
			t.Errorf("store was called %d times", f.store.reads+f.store.writes)
		}
		key := keyAt(now, 2)
		f.mustBegin(0, key)
		key.Fingerprint++
		wantRefusal(t, f.mustRefuse(1, key), 422, egretflow.RefusalKeyReused, egretflow.RunStateNotRun)
	})
}

// Guards against a lost outcome or a claim without an end in a store outage. A
// claim must be refused as not run or wait until the store is back, within the
// timeout, and an outcome must be written after the outage.
func TestStoreOutage(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		ctx := t.Context()
		running := keyAt(time.Now(), 1)
		ticket := f.mustBegin(0, running)
		f.store.setOutage(true)
		start := time.Now()
		wantRefusal(t, f.mustRefuse(1, keyAt(start, 2)), 503, egretflow.RefusalStore, egretflow.RunStateNotRun)
		if took := time.Since(start); took > DefaultBeginTimeout {
			t.Errorf("refused after %v", took)
		}
		if err := f.claimer(instanceName(0)).Finish(ctx, ticket, createdOutcome("late")); err == nil {
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

// Guards against late runs: RunBy must be the caller's deadline if that is
// earlier, a ticket passed to MarkNotRun cannot be finished, and a claim that a
// slow store commits after the deadline must not yield a ticket.
func TestTicketEndsAtRunBy(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *fleet) {
		key := keyAt(time.Now(), 1)
		deadline := time.Now().Add(3 * time.Second)
		ticket, _, err := f.claimer(instanceName(0)).Begin(t.Context(), key, deadline)
		if err != nil || !ticket.RunBy.Equal(deadline) {
			t.Fatalf("got ticket %v and error %v, want RunBy at the caller's deadline", ticket, err)
		}
		if err := f.claimer(instanceName(0)).MarkNotRun(t.Context(), ticket); err != nil {
			t.Fatalf("MarkNotRun: %v", err)
		}
		if err := f.claimer(instanceName(0)).Finish(t.Context(), ticket, createdOutcome("x")); !errors.Is(err, errTicketUsed) {
			t.Errorf("finish of a ticket after MarkNotRun: got %v, want %v", err, errTicketUsed)
		}
		f.store.latency = time.Second
		_, _, err = f.claimer(instanceName(1)).Begin(t.Context(), keyAt(time.Now(), 2), time.Now().Add(1500*time.Millisecond))
		wantRefusal(t, err, 503, egretflow.RefusalStore, egretflow.RunStateNotRun)
	})
}

// Guards against refusing the holder of a claim when the store's responses to
// every other write are lost, with an immediate or a late effect of the write.
// The token in the record must show that the claim was committed.
func TestLostStoreResponses(t *testing.T) {
	for _, late := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			withFleet(t, 3, func(t *testing.T, f *fleet) {
				lost := 0
				f.store.loseResponse = func() (bool, time.Duration) { lost++; return lost%2 == 1, late }
				key := keyAt(time.Now(), 1)
				ticket := f.mustBegin(0, key)
				wantRefusal(t, f.mustRefuse(1, key), 409, egretflow.RefusalInProgress, egretflow.RunStateMayHaveRun)
				if err := f.claimer(instanceName(0)).Finish(t.Context(), ticket, createdOutcome("first")); err != nil {
					t.Errorf("finish: %v", err)
				}
			})
		})
	}
}

// Guards against claims that fail over the store's HTTP protocol when the stub
// store loses responses, fails, slows down or stalls. Retries of a finished
// request must get its outcome, after the third without calls of the store.
func TestClaimsOverHTTPStore(t *testing.T) {
	withFleet(t, 0, func(t *testing.T, f *fleet) {
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
			if err := f.claimer(instanceName(n%3)).Finish(t.Context(), ticket, createdOutcome("first")); err != nil {
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

// Guards against refused or duplicate claims when three of six instances do not
// respond as committers and consider only themselves members, so that different
// instances commit to the same document.
func TestUnreachableAndConcurrentCommitters(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		for n := range 3 {
			f.losesResponses[instanceName(n)] = true
			f.views[instanceName(n)] = []egretflow.InstanceName{instanceName(n)}
		}
		for n := range 20 {
			key := keyAt(time.Now(), n)
			f.mustBegin(n%6, key)
			for at := range 6 {
				_ = f.mustRefuse(at, key)
			}
		}
	})
}

// Guards against a document that exceeds the largest value of the store: claims
// must be refused once it is full. The claims in it can still be finished, and
// the document accepts claims again after its records have expired.
func TestFullDocument(t *testing.T) {
	const document, claims = "Claims/0/Plain-0", 2500
	withFleet(t, 1, func(t *testing.T, f *fleet) {
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
				if err := c.Finish(context.Background(), ticket, createdOutcome(strings.Repeat("x", MaxOutcomeBytes))); err != nil {
					t.Errorf("finish in a full document: %v", err)
				}
			})
		}
		done.Wait()
		if value, _ := f.store.value(document); len(value) > egretflow.MaxStoreValueBytes {
			t.Errorf("document has %d bytes", len(value))
		}
		t.Logf("%d claims fit", len(tickets))
		// The records have expired, so the document accepts claims again.
		time.Sleep(Retention + RetentionMargin + time.Minute)
		if _, _, err := c.Begin(t.Context(), egretflow.ClaimKey{Caller: "desk", Route: "orders", Key: "plain-0"}, time.Time{}); err != nil {
			t.Errorf("begin after the retention: %v", err)
		}
	})
}

// Guards against old documents that stay in the store or are deleted before the
// retention ends. A key whose document was deleted must still be refused.
func TestSweepDeletesOldDocuments(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		key := keyAt(time.Now(), 1)
		ticket := f.mustBegin(0, key)
		if err := f.claimer(instanceName(0)).Finish(t.Context(), ticket, createdOutcome("first")); err != nil {
			t.Fatalf("finish: %v", err)
		}
		p, _ := locate(key, time.Now())
		time.Sleep(Retention - time.Minute)
		if _, ok := f.store.value(p.document); !ok {
			t.Error("document was deleted before the retention ended")
		}
		time.Sleep(RetentionMargin + 5*time.Minute)
		if _, ok := f.store.value(p.document); ok {
			t.Error("document was not deleted")
		}
		wantRefusal(t, f.mustRefuse(1, key), 409, egretflow.RefusalClaimUnresolved, egretflow.RunStateMayHaveRun)
	})
}
