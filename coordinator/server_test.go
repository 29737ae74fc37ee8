package coordinator

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
)

// slowToCancel is a scheduler that assigns the second request at once, and reports the
// cancellation of the first one late.
type slowToCancel struct {
	idleScheduler
	requests int
}

func (s *slowToCancel) Acquire(ctx context.Context, w *egretflow.Work) (*egretflow.Assignment, error) {
	if s.requests++; s.requests == 1 {
		<-ctx.Done()
		time.Sleep(time.Second)
		return nil, ctx.Err()
	}
	return &egretflow.Assignment{Attempt: "x", Work: w, Decode: &egretflow.Server{Name: "s"}}, nil
}

// Guards against a request that gets no answer, because it came back to a coordinator
// that had not yet ended its first wait.
func TestLateCancellationKeepsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := make(chan scheduled, 2)
		s := newServer(t.Context(), &slowToCancel{}, func(o scheduled) { outcomes <- o })
		from := netip.MustParseAddrPort("10.0.0.1:1")
		send := func(sequence uint64, waiting ...waitingWork) *response {
			m := &message{Kind: kindRequest, From: "a", Incarnation: 1, Pool: testPool, Request: &request{Sequence: sequence, Waiting: waiting}}
			return s.handle(m, from, time.Now())
		}
		work := waitingWork{ID: 7, Work: toWireWork(testWork(1), time.Now())}
		send(1, work)
		synctest.Wait()
		send(2) // The sender tries another coordinator, and comes back.
		send(3, work)
		for range 2 {
			s.finish(<-outcomes, time.Now())
		}
		if r := send(4, work); len(r.Results) != 1 || r.Results[0].Assignment == nil {
			t.Errorf("results %+v, want the assignment", r.Results)
		}
	})
}

// Guards against a request that gets no answer, because its instance shuts down and no
// other one can coordinate.
func TestLeavingInstanceSchedulesItsOwnRequests(t *testing.T) {
	runFleet(t, 1, testTables(1, 1), func(x *fleet) {
		x.all[0].Leave()
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		defer cancel()
		a, err := x.all[0].Acquire(ctx, testWork(1))
		if err != nil {
			x.t.Errorf("no assignment: %v", err)
			return
		}
		x.all[0].Release(egretflow.Release{Attempt: a.Attempt})
	})
}
