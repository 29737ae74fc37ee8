package coordinator

import (
	"reflect"
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
