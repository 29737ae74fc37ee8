package admitter

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run tests the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// capacity serves one item of 1,000 tokens per 100 ms.
var capacity = Capacity{Prefill: newPrefill(0, 10_000), SlotsPerSecond: 10, FreeSlots: 1}

// newPrefill returns a prepared Prefill for pairs of readyAfter and rate.
func newPrefill(values ...float64) *Prefill {
	p := &Prefill{}
	for n := 0; n < len(values); n += 2 {
		p.Add(values[n], values[n+1])
	}
	p.Prepare(1)
	return p
}

func TestPrefillStart(t *testing.T) {
	tests := []struct {
		prefill *Prefill
		tokens  float64
		want    float64
	}{
		{newPrefill(), 1000, 0},
		{newPrefill(0.5, 1000), 0, 0.5},
		{newPrefill(0.5, 1000), 250, 0.75},
		{newPrefill(0.5, 1000, 0.1, 1000), 0, 0.1},
		{newPrefill(0.5, 1000, 0.1, 1000), 400, 0.5},
		{newPrefill(0.5, 1000, 0.1, 1000), 600, 0.6},
	}
	for _, test := range tests {
		if got := test.prefill.startAfter(test.tokens); got < test.want-1e-9 || got > test.want+1e-9 {
			t.Errorf("start(%v) of %+v = %v, want %v", test.tokens, test.prefill.servers, got, test.want)
		}
	}
}

func newItem(caller string, importance egretflow.Importance, within time.Duration) *Item {
	w := &egretflow.Work{Caller: egretflow.CallerName(caller), Importance: importance, ArrivedAt: start, FirstTokenBy: start.Add(within)}
	return &Item{Work: w, Tokens: 1000, Slots: 1, ServiceTime: 150 * time.Millisecond}
}

func takeNext(q *Queue, n int) []string {
	var order []string
	for range n {
		item := q.Next(1)[0]
		order = append(order, string(item.Work.Caller))
		q.Take(item)
	}
	return order
}

// Guards against a caller with many requests that delays another caller of its
// class.
func TestCallersShareClassFairly(t *testing.T) {
	q := NewQueue()
	for range 6 {
		q.Offer(newItem("busy", egretflow.ImportanceNormal, time.Minute), capacity, start)
	}
	q.Offer(newItem("quiet", egretflow.ImportanceNormal, time.Minute), capacity, start)
	q.Offer(newItem("urgent", egretflow.ImportanceCritical, time.Minute), capacity, start)
	want := "[urgent busy quiet busy busy busy busy busy]"
	if got := fmt.Sprint(takeNext(q, 8)); got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

// Guards against a caller that sends nothing for a while and is then served
// before all others.
func TestIdleCallerGetsNoCredit(t *testing.T) {
	q := NewQueue()
	for range 6 {
		q.Offer(newItem("busy", egretflow.ImportanceNormal, time.Minute), capacity, start)
	}
	takeNext(q, 4)
	for range 4 {
		q.Offer(newItem("new", egretflow.ImportanceNormal, time.Minute), capacity, start)
	}
	want := "[new busy new busy]"
	if got := fmt.Sprint(takeNext(q, 4)); got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

// Guards against late requests that are admitted: they waste prefill work if they
// run, and their callers' time if they are refused after a wait.
func TestOfferRefusesLateItems(t *testing.T) {
	q := NewQueue()
	admitted := 0
	for range 50 {
		if q.Offer(newItem("a", egretflow.ImportanceNormal, time.Second), capacity, start).Admitted {
			admitted++
		}
	}
	// 150 ms of service leave 850 ms of waiting: 8 items and the one that starts.
	if admitted != 9 {
		t.Errorf("%d of 50 admitted, want 9", admitted)
	}
	v := q.Offer(newItem("a", egretflow.ImportanceNormal, time.Second), capacity, start)
	if v.Admitted || !v.FirstTokenAt.After(start.Add(time.Second)) {
		t.Errorf("verdict %+v, want a refusal with the late time", v)
	}
}

// Guards against a backlog that keeps an important request out, and against
// shedding more than the less important requests that it makes late.
func TestShedDisplacesLowestImportance(t *testing.T) {
	q := NewQueue()
	for range 9 {
		q.Offer(newItem("low", egretflow.ImportanceLow, time.Second), capacity, start)
	}
	for range 3 {
		if !q.Offer(newItem("top", egretflow.ImportanceCritical, time.Second), capacity, start).Admitted {
			t.Fatal("critical request refused behind low ones")
		}
	}
	shed := q.Shed(capacity, start)
	if len(shed) != 3 {
		t.Errorf("%d items shed, want 3", len(shed))
	}
	for _, item := range shed {
		if item.Work.Importance != egretflow.ImportanceLow {
			t.Errorf("shed an item of importance %s", item.Work.Importance)
		}
	}
}

// Guards against a queue that grows without bound when requests have no
// first-token target and are therefore never late.
func TestQueueIsBounded(t *testing.T) {
	q := NewQueue()
	for n := range 2 * MaxItems {
		item := newItem(fmt.Sprint(n), egretflow.ImportanceLow, 0)
		item.Work.FirstTokenBy = time.Time{}
		q.Offer(item, capacity, start)
	}
	if q.Len() != MaxItems {
		t.Errorf("%d items, want %d", q.Len(), MaxItems)
	}
	top := newItem("top", egretflow.ImportanceCritical, time.Second)
	if v := q.Offer(top, capacity, start); !v.Admitted || v.Displaced == nil {
		t.Errorf("critical request not admitted to a full queue: %+v", v)
	}
}

// Guards against sums, an order or a set of items that no longer agree after some
// sequence of operations, and against a Shed that leaves late items behind.
func TestQueueAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		now := start
		waiting := map[*Item]bool{}
		remove := func(item *Item) {
			if !waiting[item] {
				t.Fatal("an item left the queue twice")
			}
			delete(waiting, item)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				item := newItem(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					rapid.SampledFrom(egretflow.Importances).Draw(t, "importance"),
					time.Duration(rapid.IntRange(0, 2000).Draw(t, "target"))*time.Millisecond)
				item.Tokens = rapid.IntRange(0, 5000).Draw(t, "tokens")
				item.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
				if v := q.Offer(item, capacity, now); v.Admitted {
					waiting[item] = true
				} else if !item.late(v.FirstTokenAt) {
					t.Fatal("refused although it would be in time")
				}
			},
			"take": func(t *rapid.T) {
				if heads := q.Next(3); len(heads) > 0 {
					item := heads[rapid.IntRange(0, len(heads)-1).Draw(t, "head")]
					q.Take(item)
					remove(item)
				}
			},
			"shed": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				for _, item := range q.Shed(capacity, now) {
					remove(item)
				}
				if len(q.Shed(capacity, now)) != 0 {
					t.Fatal("a second Shed at the same time removed more")
				}
			},
			"": func(t *rapid.T) { checkQueue(t, q, waiting) },
		})
	})
}

func checkQueue(t *rapid.T, q *Queue, waiting map[*Item]bool) {
	var slots [4]int
	rank, visited := 0, 0
	q.walk(func(item *Item) bool {
		if r := item.Work.Importance.Rank(); r < rank {
			t.Fatalf("rank %d served after %d", r, rank)
		} else {
			rank = r
		}
		if !waiting[item] {
			t.Fatal("walk visits an item that left")
		}
		slots[rank] += item.Slots
		visited++
		return true
	})
	if got, _ := q.Waiting(); got != slots || visited != q.Len() || visited != len(waiting) {
		t.Fatalf("slots %v and %d items, want %v and %d", got, q.Len(), slots, len(waiting))
	}
}
