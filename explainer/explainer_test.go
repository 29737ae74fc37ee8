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

// lineLogger writes lines as an instance does.
func lineLogger(w io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(Formatter{})
	return logger
}

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

// TestRecordDoesNotBlock guards against a reader of the log that stops reading
// and holds requests by it, and against lines that are lost without a word.
func TestRecordDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	x := New(10, lineLogger(w))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	const lost = 5
	// One line is in the pipe, which nobody reads.
	x.Record(egretflow.Event{Name: egretflow.EventAssigned, At: noon})
	for len(x.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	for range queuedLines + lost {
		x.Record(egretflow.Event{Name: egretflow.EventAssigned, At: noon})
	}
	if got := x.Dropped()[logrus.InfoLevel]; got != lost {
		t.Errorf("%d lines dropped, want %d", got, lost)
	}
	cancel()
	lines := make(chan string, 2*queuedLines)
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
	told := false
	for line := range lines {
		told = told || strings.Contains(line, "event=LinesDropped Level=info Lines=5")
	}
	if !told {
		t.Error("the log does not tell of the lines that were dropped")
	}
}

// TestLinesPerSecond guards against a log that grows with the load of a crest, and
// against requests that crowd out warnings.
func TestLinesPerSecond(t *testing.T) {
	var out bytes.Buffer
	x := New(10, lineLogger(&out))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for second := range 3 {
		at := noon.Add(time.Duration(second) * time.Second)
		for range 2 * infoLinesPerSecond {
			x.Record(egretflow.Event{Name: egretflow.EventAssigned, At: at})
			if len(x.lines) == queuedLines {
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
	if got, want := x.Dropped()[logrus.InfoLevel], uint64(3*infoLinesPerSecond); got != want {
		t.Errorf("%d dropped lines counted, want %d", got, want)
	}
}
