package editor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/fakestore"
)

func contextWithTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}

// slowStore delays each call randomly before and after its effect, so that the
// calls of different clients interleave in many ways.
type slowStore struct {
	*fakestore.Store
	r *rand.Rand
}

func (s *slowStore) wait() { time.Sleep(time.Duration(s.r.IntN(20)) * time.Millisecond) }

func (s *slowStore) Get(ctx context.Context, key string) (egretflow.StoreEntry, error) {
	s.wait()
	defer s.wait()
	return s.Store.Get(ctx, key)
}

func (s *slowStore) Commit(ctx context.Context, txn egretflow.StoreTxn) (egretflow.StoreVersion, error) {
	s.wait()
	defer s.wait()
	return s.Store.Commit(ctx, txn)
}

// operation is a write of slots, based on a revision, or a read.
type operation struct {
	write bool
	slots int
	base  egretflow.Revision
}

type outcome struct {
	revision egretflow.Revision
	slots    int
	err      error
}

type tablesState struct {
	revision egretflow.Revision
	slots    int
}

// tablesModel is a register with compare-and-swap on its revision.
var tablesModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{tablesState{1, 20}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(tablesState), input.(operation), output.(outcome)
		if !in.write {
			if out.err == nil && out.revision == s.revision && out.slots == s.slots {
				return []any{s}
			}
			return nil
		}
		written := tablesState{s.revision + 1, in.slots}
		fits := in.base == 0 || in.base == s.revision
		switch {
		case errors.Is(out.err, egretflow.ErrUncertain) && fits:
			return []any{s, written}
		case out.err != nil:
			return []any{s}
		case fits && out.revision == written.revision:
			return []any{written}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// Guards against lost, duplicated or reordered edits when operators edit
// concurrently while responses are lost and writes are delayed.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withTables(t, func(t *testing.T, store *fakestore.Store, _ *Editor) {
				history := runClients(t, store, seed)
				if result := porcupine.CheckOperationsTimeout(tablesModel, history, 0); result != porcupine.Ok {
					t.Errorf("history of seed %d is %v", seed, result)
				}
			})
		})
	}
}

func runClients(t *testing.T, store *fakestore.Store, seed uint64) []porcupine.Operation {
	const clients, opsPerClient = 4, 12
	start := time.Now()
	histories := make([][]porcupine.Operation, clients)
	var wg sync.WaitGroup
	for id := range clients {
		r := rand.New(rand.NewPCG(seed, uint64(id)))
		ed := New(&slowStore{store, r}, time.Now, func() string { return fmt.Sprintf("%d-%d", id, r.Uint64()) })
		wg.Go(func() {
			var seen egretflow.Revision
			for n := range opsPerClient {
				if r.IntN(4) == 0 {
					store.SetFaults(fakestore.Faults{
						LostResponses: r.IntN(3), DelayedWrites: r.IntN(2), DelayedBy: time.Duration(r.IntN(400)) * time.Millisecond,
					})
				}
				in := operation{write: r.IntN(3) > 0, slots: 100*id + n + 30}
				if r.IntN(2) == 0 {
					in.base = seen
				}
				call := time.Since(start).Nanoseconds()
				out := runOperation(t, ed, in)
				seen = max(seen, out.revision)
				end := time.Since(start).Nanoseconds()
				// An edit of unknown outcome may take effect at any later time.
				if errors.Is(out.err, egretflow.ErrUncertain) {
					end = time.Hour.Nanoseconds()
				}
				histories[id] = append(histories[id], porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
			}
		})
	}
	wg.Wait()
	var all []porcupine.Operation
	for _, h := range histories {
		all = append(all, h...)
	}
	return all
}

func runOperation(t *testing.T, ed *Editor, in operation) outcome {
	if !in.write {
		tables, err := ed.Tables(t.Context())
		if err != nil {
			return outcome{err: err}
		}
		return outcome{revision: tables.Revision, slots: tables.Pools[0].Servers[1].Slots}
	}
	ctx, cancel := contextWithTimeout(t, 300*time.Millisecond)
	defer cancel()
	r := request("client", slotsPath, fmt.Sprint(in.slots))
	r.Base = in.base
	result, err := ed.Edit(ctx, r)
	if err != nil {
		return outcome{err: err}
	}
	return outcome{revision: result.Revision}
}
