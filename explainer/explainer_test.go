package explainer

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/sirupsen/logrus"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// TestRingIsBounded guards against memory that grows with the number of events.
func TestRingIsBounded(t *testing.T) {
	x := New(10, nil)
	for n := range 100 {
		x.Record(egretflow.Event{Name: egretflow.EventAssigned, Request: egretflow.RequestID(fmt.Sprintf("r%d", n/2)), Attempt: egretflow.AttemptID(fmt.Sprintf("a%d", n))})
	}
	if got := x.Explain("r0"); len(got) != 0 {
		t.Errorf("an old event is kept: %v", got)
	}
	got := x.Explain("a98")
	if len(got) != 2 || got[0].Attempt != "a98" || got[1].Attempt != "a99" {
		t.Errorf("explanation is %v, want the two events of the request in order", got)
	}
}

// TestLine guards against values of callers that forge keys or lines of the log.
func TestLine(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(Formatter{})
	x := New(10, logger)
	x.Record(egretflow.Event{
		Name: egretflow.EventRefused, At: noon, Instance: "entry-1", Request: "r1",
		Fields: []egretflow.EventField{{Key: "error", Value: "a b\nlevel=info x=\"y\""}, {Key: "status", Value: "400"}},
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := x.Run(ctx); err != nil {
		t.Fatal(err)
	}
	want := `time=2026-12-04T12:00:00Z level=info event=Refused instance=entry-1 request=r1 error="a b\nlevel=info x=\"y\"" status=400` + "\n"
	if out.String() != want {
		t.Errorf("line is %q, want %q", out.String(), want)
	}
}

// TestRecordDoesNotBlock guards against a slow log output that holds requests.
func TestRecordDoesNotBlock(t *testing.T) {
	x := New(10, logrus.New())
	for range queuedLines + 5 {
		x.Record(egretflow.Event{Name: egretflow.EventAssigned})
	}
	if x.Dropped() != 5 {
		t.Errorf("%d lines dropped, want 5", x.Dropped())
	}
}
