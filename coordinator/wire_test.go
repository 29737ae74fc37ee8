package coordinator

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against fields of a request that the coordinator does not learn, such as the
// parts by which it refuses, and against a datagram that lists parts without end.
func TestWorkKeepsItsFields(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := &egretflow.Work{
		Request: "r", Caller: "c", Route: "o", Pool: "p", Importance: egretflow.ImportanceNormal, Idempotent: true, PromptTokens: 1, MaxTokens: 2,
		ExpectedTokens: 3, Prefix: []egretflow.PrefixHash{4}, PrefixEnds: []int{9}, Parts: []egretflow.PartHash{5, 6}, Fingerprint: 7, ArrivedAt: now, FirstTokenBy: now,
		GiveUpBy: now, Deadline: now, Avoid: []egretflow.ServerName{"s"}, Reacquired: true, AfterRefusal: true, Retry: true,
	}
	read := func(w *egretflow.Work) (*egretflow.Work, error) {
		data, err := encode(&message{
			Kind: kindRequest, From: "a", Incarnation: 1, Pool: "p", Request: &request{Sequence: 1, Waiting: []waitingWork{{ID: 1, Work: toWireWork(w, now)}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		m, _, err := decode(data)
		if err != nil {
			return nil, err
		}
		return m.Request.Waiting[0].Work.work("p", now), nil
	}
	if got, err := read(sent); err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("received %+v, error %v; want %+v", got, err, sent)
	}
	sent.PrefixEnds = []int{9, 10}
	if _, err := read(sent); err == nil {
		t.Error("a request with more lengths than hashes is accepted")
	}
	sent.PrefixEnds = nil
	sent.Parts = make([]egretflow.PartHash, egretflow.MaxParts+1)
	if _, err := read(sent); err == nil {
		t.Error("a request with too many parts is accepted")
	}
}

// Guards against a coordinator that does not learn which answers were complete, or takes
// each released attempt, and each one of an earlier version, for one that was.
func TestReleaseKeepsCompleteness(t *testing.T) {
	for _, complete := range []bool{true, false} {
		e := pendingEvent{sequence: 1, release: egretflow.Release{Attempt: "a", WastedPrefillTokens: 3, Complete: complete}}
		data, err := encode(&message{Kind: kindRequest, From: "a", Incarnation: 1, Pool: "p", Request: &request{Sequence: 1, Events: []event{e.event(time.Unix(1000, 0))}}})
		if err != nil {
			t.Fatal(err)
		}
		m, _, err := decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if got := m.Request.Events[0].release(); got != e.release {
			t.Errorf("received %+v, want %+v", got, e.release)
		}
	}
}

// Guards against a request whose id keeps the state of its instance from the coordinator:
// one that is not UTF-8 is refused there, and long ones make the message too large.
func TestRequestIDsKeepNothingBack(t *testing.T) {
	for _, id := range []string{"\xff\xfe", strings.Repeat("x", 8<<10), strings.Repeat("\u00e4", 100)} {
		l := &link{pool: "p", running: map[egretflow.AttemptID]*running{}}
		for n := range 20 {
			l.waiting = append(l.waiting, &waiter{id: uint64(n), work: &egretflow.Work{Request: egretflow.RequestID(id)}})
		}
		data, err := encode(&message{Kind: kindRequest, From: "a", Incarnation: 1, Pool: "p", Request: l.message(time.Unix(1000, 0))})
		if err != nil || len(data) > maxDatagramBytes {
			t.Fatalf("%.10q: %d bytes, error %v", id, len(data), err)
		}
		if m, _, err := decode(data); err != nil || len(m.Request.Waiting) != 20 {
			t.Errorf("%.10q: error %v", id, err)
		}
	}
}

// manyParts returns a work with n parts, as many beginnings, and the given request id.
func manyParts(id egretflow.RequestID, n int) *egretflow.Work {
	w := &egretflow.Work{Request: id, Pool: "p"}
	for k := range n {
		w.Parts = append(w.Parts, egretflow.PartHash(1<<60+k))
		w.Prefix, w.PrefixEnds = append(w.Prefix, egretflow.PrefixHash(1<<60+k)), append(w.PrefixEnds, 14*(k+1))
	}
	return w
}

// Guards against a coordinator that does not know the parts of a prompt behind the first
// ones, and against earlier versions that drop a datagram because it lists them.
func TestAllPartsReachCoordinator(t *testing.T) {
	for _, n := range []int{3, 32, 33, 38, 400, egretflow.MaxParts} {
		sent := manyParts("q", n)
		sent.Prefix, sent.PrefixEnds = nil, nil
		m := &message{Kind: kindRequest, From: "a", Incarnation: 1, Pool: "p", Request: &request{
			Sequence: 1, Waiting: []waitingWork{{ID: 1, Work: toWireWork(sent, time.Unix(1000, 0))}},
		}}
		for reads, want := range map[layout]int{presentLayout: n, layoutPrefixEnds: min(n, 32), layoutFields: min(n, 32)} {
			reduced := *m.Request
			reduced.Waiting = slices.Clone(reduced.Waiting)
			reduced.reduce(reads)
			data, err := encode(&message{Kind: kindRequest, From: "a", Incarnation: 1, Pool: "p", Request: &reduced})
			if err != nil {
				t.Fatal(err)
			}
			got, _, err := decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if parts := got.Request.Waiting[0].Work.work("p", time.Unix(1000, 0)).Parts; !slices.Equal(parts, sent.Parts[:want]) {
				t.Errorf("%d of %d parts are read in layout %d, want %d", len(parts), n, reads, want)
			}
		}
	}
}

// Guards against prompts of many parts that make a message too large to be sent, so that
// their instance schedules alone.
func TestMessageWithManyPartsIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &link{pool: "p", running: map[egretflow.AttemptID]*running{}}
	for n := range 4 {
		l.waiting = append(l.waiting, &waiter{id: uint64(n), work: manyParts(egretflow.RequestID(fmt.Sprint("w", n)), 400)})
	}
	for n := range 60 {
		l.running[egretflow.AttemptID(fmt.Sprint("a", n))] = &running{work: manyParts("r", 400), decode: "s"}
	}
	r := l.message(now)
	data, err := encode(&message{Kind: kindRequest, From: "a", Incarnation: 1, Pool: "p", Request: r})
	if err != nil || len(data) > maxDatagramBytes {
		t.Errorf("%d bytes, error %v, want at most %d", len(data), err, maxDatagramBytes)
	}
	t.Logf("%d bytes with 4 waiting and 60 running requests of 400 parts", len(data))
	for n := range r.Waiting {
		if parts := r.Waiting[n].Work.parts(); len(parts) != 400 {
			t.Errorf("waiting request %d has %d parts", n, len(parts))
		}
	}
}
