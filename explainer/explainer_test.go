package explainer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/sirupsen/logrus"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// lineLogger returns a logger with the log format of an instance.
func lineLogger(w io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(Formatter{})
	return logger
}

// TestRingIsBounded guards against a ring buffer that grows with the number of
// events: the oldest events are dropped and the newest are found in order.
func TestRingIsBounded(t *testing.T) {
	x := New(10, nil)
	for n := range 100 {
		x.Record(egretflow.Event{Name: egretflow.EventAssigned, Request: egretflow.RequestID(fmt.Sprintf("r%d", n/2)), Attempt: egretflow.AttemptID(fmt.Sprintf("a%d", n))})
	}
	if got := x.EventsOf("r0"); len(got) != 0 {
		t.Errorf("the events of the oldest request are still kept: %v", got)
	}
	got := x.EventsOf("a98")
	if len(got) != 2 || got[0].Attempt != "a98" || got[1].Attempt != "a99" {
		t.Errorf("got events %v, want a98 and a99 in order", got)
	}
}

// TestLineQuotesCallerValues guards against callers who send values with spaces,
// quotes or line breaks and thereby forge keys or lines of the log.
func TestLineQuotesCallerValues(t *testing.T) {
	var out bytes.Buffer
	x := New(10, lineLogger(&out))
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

// TestRecordDoesNotBlock guards against requests that wait because the reader of
// the log output has stopped reading, and against dropped lines that the log
// doesn't report.
func TestRecordDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	x := New(10, lineLogger(w))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	const dropped = 5
	// Run takes one line off the queue and blocks on the pipe, which nobody reads.
	x.Record(egretflow.Event{Name: egretflow.EventAssigned, At: noon})
	for len(x.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	for range maxQueuedLines + dropped {
		x.Record(egretflow.Event{Name: egretflow.EventAssigned, At: noon})
	}
	if got := x.DroppedLines()[logrus.InfoLevel]; got != dropped {
		t.Errorf("%d lines dropped, want %d", got, dropped)
	}
	cancel()
	lines := make(chan string, 2*maxQueuedLines)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(r); s.Scan(); {
			lines <- s.Text()
		}
	}()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	reported := false
	for line := range lines {
		reported = reported || strings.Contains(line, "event=LinesDropped Level=info Lines=5")
	}
	if !reported {
		t.Error("the log doesn't report the dropped lines")
	}
}

// TestLinesPerSecondAreLimitedByLevel guards against a log whose size grows without
// limit at a load peak, and against warnings that are dropped because lines of
// requests used up a shared limit.
func TestLinesPerSecondAreLimitedByLevel(t *testing.T) {
	var out bytes.Buffer
	x := New(10, lineLogger(&out))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for second := range 3 {
		at := noon.Add(time.Duration(second) * time.Second)
		for range 2 * infoLinesPerSecond {
			x.Record(egretflow.Event{Name: egretflow.EventAssigned, At: at})
			if len(x.lines) == maxQueuedLines {
				if err := x.Run(ctx); err != nil {
					t.Fatal(err)
				}
			}
		}
		x.Record(egretflow.Event{Name: egretflow.EventAttemptFailed, At: at})
	}
	if err := x.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(out.String(), "event=Assigned"), 3*infoLinesPerSecond; got != want {
		t.Errorf("%d lines of level info in 3 s, want %d", got, want)
	}
	if got := strings.Count(out.String(), "event=AttemptFailed"); got != 3 {
		t.Errorf("%d warnings written, want all 3", got)
	}
	if got, want := x.DroppedLines()[logrus.InfoLevel], uint64(3*infoLinesPerSecond); got != want {
		t.Errorf("%d dropped lines counted, want %d", got, want)
	}
}
