package crashdetector

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// Guards against a verdict that counts one loss twice, or that counts losses which
// have expired or were cleared when the request completed.
func TestVerdictFollowsLosses(t *testing.T) {
	tests := []struct {
		name string
		do   func(d *Detector)
		at   int
		want Verdict
	}{
		{"unknown", func(*Detector) {}, 0, Allow},
		{"one loss", func(d *Detector) { d.RecordLoss(1, Loss{Server: "a"}, at(0)) }, 1, Separate},
		{"one loss reported by two attempts", func(d *Detector) {
			d.RecordLoss(1, Loss{Server: "a"}, at(0))
			d.RecordLoss(1, Loss{Server: "a"}, at(1))
		}, 2, Separate},
		{"two servers", func(d *Detector) {
			d.RecordLoss(1, Loss{Server: "a"}, at(0))
			d.RecordLoss(1, Loss{Server: "b"}, at(1))
		}, 2, Reject},
		{"second loss beside another suspect", func(d *Detector) {
			d.RecordLoss(1, Loss{Server: "a"}, at(0))
			d.RecordLoss(1, Loss{Server: "b", Shared: true}, at(1))
		}, 2, Isolate},
		{"third loss", func(d *Detector) {
			d.RecordLoss(1, Loss{Server: "a"}, at(0))
			d.RecordLoss(1, Loss{Server: "b", Shared: true}, at(1))
			d.RecordLoss(1, Loss{Server: "c", Shared: true}, at(2))
		}, 3, Reject},
		{"the only server twice", func(d *Detector) {
			d.RecordLoss(1, Loss{Server: "a"}, at(0))
			d.RecordLoss(1, Loss{Server: "a"}, at(30))
		}, 31, Reject},
		{"expired", func(d *Detector) {
			d.RecordLoss(1, Loss{Server: "a"}, at(0))
			d.RecordLoss(1, Loss{Server: "b"}, at(1))
		}, 602, Allow},
		{"cleared by completing", func(d *Detector) { d.RecordLoss(1, Loss{Server: "a"}, at(0)); d.Clear(1) }, 1, Allow},
		{"lost again after completing", func(d *Detector) {
			d.RecordLoss(1, Loss{Server: "a"}, at(0))
			d.Clear(1)
			d.RecordLoss(1, Loss{Server: "b"}, at(5))
		}, 6, Separate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			test.do(d)
			if got := d.Verdict(1, at(test.at)); got != test.want {
				t.Errorf("Verdict = %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a request that crashes a third server because its caller retried
// it at another instance, which did not know of the losses.
func TestMergeSpreadsLosses(t *testing.T) {
	first, second := New(), New()
	first.RecordLoss(7, Loss{Server: "a"}, at(0))
	second.Merge(first.Reports(at(1)), at(1))
	second.RecordLoss(7, Loss{Server: "b"}, at(2))
	first.Merge(second.Reports(at(3)), at(3))
	for name, d := range map[string]*Detector{"first": first, "second": second} {
		if got := d.Verdict(7, at(4)); got != Reject {
			t.Errorf("%s: Verdict = %s, want Reject", name, got)
		}
	}
}

// Guards against a request that is rejected on an instance that does not know that
// another suspect may explain a loss, and against one that is not rejected there after
// its third loss.
func TestMergeKeepsSharedLoss(t *testing.T) {
	d, peer := New(), New()
	d.RecordLoss(7, Loss{Server: "a"}, at(0))
	d.RecordLoss(7, Loss{Server: "b", Shared: true}, at(1))
	peer.RecordLoss(7, Loss{Server: "a"}, at(0))
	peer.Merge(d.Reports(at(2)), at(2))
	if got := peer.Verdict(7, at(3)); got != Isolate {
		t.Errorf("Verdict = %s, want Isolate", got)
	}
	peer.RecordLoss(7, Loss{Server: "c"}, at(4))
	d.Merge(peer.Reports(at(5)), at(5))
	if got := d.Verdict(7, at(6)); got != Reject {
		t.Errorf("Verdict after a third loss = %s, want Reject", got)
	}
}

// Guards against a request that two instances have seen crash one server each, by
// chance, and that is rejected although other suspects may explain both losses.
func TestMergeOfSingleLosses(t *testing.T) {
	d, peer := New(), New()
	d.RecordLoss(7, Loss{Server: "a"}, at(0))
	peer.RecordLoss(7, Loss{Server: "b"}, at(0))
	d.Merge(peer.Reports(at(1)), at(1))
	if got := d.Verdict(7, at(2)); got != Isolate {
		t.Errorf("Verdict = %s, want Isolate", got)
	}
}

// Guards against a completed request that becomes a suspect again because a peer
// repeats an old report.
func TestMergeKeepsClearedRequest(t *testing.T) {
	d, peer := New(), New()
	d.RecordLoss(7, Loss{Server: "a"}, at(0))
	peer.Merge(d.Reports(at(1)), at(1))
	d.Clear(7)
	d.Merge(peer.Reports(at(2)), at(2))
	if got := d.Verdict(7, at(3)); got != Allow {
		t.Errorf("Verdict = %s, want Allow", got)
	}
}

// Guards against a crash loop with many different requests that exhausts memory or
// evicts the requests that are rejected.
func TestMemoryIsBounded(t *testing.T) {
	d := New()
	d.RecordLoss(1, Loss{Server: "a"}, at(0))
	d.RecordLoss(1, Loss{Server: "b"}, at(1))
	for n := range 5 * maxEntries {
		d.RecordLoss(uint64(n+2), Loss{Server: "c"}, at(2))
	}
	if len(d.entries) > maxEntries {
		t.Errorf("%d entries, want at most %d", len(d.entries), maxEntries)
	}
	if got := d.Verdict(1, at(3)); got != Reject {
		t.Errorf("Verdict = %s, want Reject", got)
	}
	if n := len(d.Reports(at(3))); n != maxReports {
		t.Errorf("%d reports, want %d", n, maxReports)
	}
}

// Guards against losses that were cleared when the request completed and that a peer
// counts again.
func TestReportsLeaveOutClearedLosses(t *testing.T) {
	d, peer := New(), New()
	d.RecordLoss(7, Loss{Server: "a"}, at(0))
	d.Clear(7)
	d.RecordLoss(7, Loss{Server: "b"}, at(5))
	peer.Merge(d.Reports(at(6)), at(6))
	if got := peer.Verdict(7, at(7)); got != Separate {
		t.Errorf("Verdict = %s, want Separate", got)
	}
}

// Guards against a further loss of a server that is not counted, because a peer has
// reported another loss just before.
func TestLossAfterMergeCounts(t *testing.T) {
	d, peer := New(), New()
	d.RecordLoss(7, Loss{Server: "a"}, at(0))
	peer.RecordLoss(7, Loss{Server: "b"}, at(29))
	d.Merge(peer.Reports(at(29)), at(29))
	d.RecordLoss(7, Loss{Server: "a"}, at(30))
	if got := count(d.entries[7].servers, "a"); got != 2 {
		t.Errorf("%d losses of the server count, want 2", got)
	}
}
