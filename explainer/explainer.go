// Package explainer keeps the newest events of an instance in a bounded ring,
// so that operators can ask what happened to a request, and writes one log line
// per event (11).
//
// # Usage
//
//	e := explainer.New(4096, logrus.StandardLogger())
//	e.Record(egretflow.Event{Name: egretflow.EventAssigned, At: now, Request: id})
//	events := e.Explain(string(id))
//	found, err := explainer.Investigate(id, files) // in log files
//
// # Rules
//
//  1. Record never blocks on output: lines go through a bounded channel to Run,
//     and a full channel drops the line, counts it and keeps the event. Each
//     second has room for a number of lines of each level; what is dropped is
//     told by LinesDropped.
//  2. A line has the keys time, event, instance, request, attempt, decision and
//     then the fields of the event in their order.
//  3. Investigate needs nothing but log lines. The cause that it names comes from
//     the last event of the request, its last failed attempt and its last place.
package explainer

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/sirupsen/logrus"
)

// DefaultEvents is the number of events that an instance keeps.
const DefaultEvents = 8192

// queuedLines bounds the log lines that wait for output.
const queuedLines = 1024

// reportInterval is the least time between two lines about dropped ones.
const reportInterval = time.Second

// Explainer implements egretflow.Recorder.
type Explainer struct {
	logger *logrus.Logger
	lines  chan egretflow.Event
	// reportedAt is when the log last told of dropped lines. Only Run uses it.
	reportedAt time.Time

	mu     sync.Mutex
	ring   []egretflow.Event
	next   int
	limits []*lineLimit
}

var _ egretflow.Recorder = (*Explainer)(nil)

// New returns an Explainer that keeps the given number of events. A nil logger
// writes no lines.
func New(events int, logger *logrus.Logger) *Explainer {
	return &Explainer{
		logger: logger, lines: make(chan egretflow.Event, queuedLines), ring: make([]egretflow.Event, 0, events), limits: newLimits(),
	}
}

// Record keeps e and queues its log line.
func (x *Explainer) Record(e egretflow.Event) {
	x.mu.Lock()
	if len(x.ring) < cap(x.ring) {
		x.ring = append(x.ring, e)
	} else {
		x.ring[x.next] = e
		x.next = (x.next + 1) % len(x.ring)
	}
	limit := x.limitOf(e.Name)
	allowed := limit.allow(e.At)
	x.mu.Unlock()
	if x.logger == nil {
		return
	}
	if !allowed {
		limit.dropped.Add(1)
		return
	}
	select {
	case x.lines <- e:
	default:
		limit.dropped.Add(1)
	}
}

// Run writes log lines until ctx ends, and then those that are queued.
func (x *Explainer) Run(ctx context.Context) error {
	for {
		select {
		case e := <-x.lines:
			x.emit(e)
		case <-ctx.Done():
			x.drain()
			return nil
		}
	}
}

func (x *Explainer) drain() {
	for {
		select {
		case e := <-x.lines:
			x.emit(e)
		default:
			return
		}
	}
}

// emit writes the line of e, and before it whether lines were dropped.
func (x *Explainer) emit(e egretflow.Event) {
	x.reportDropped(e.Instance, e.At)
	x.write(e)
}

func (x *Explainer) write(e egretflow.Event) {
	x.logger.WithTime(e.At).Log(level(e.Name), line(e))
}

func level(name egretflow.EventName) logrus.Level {
	switch name {
	case egretflow.EventInvariantViolated:
		return logrus.ErrorLevel
	case egretflow.EventAccessDenied, egretflow.EventAnswerMismatch, egretflow.EventAttemptFailed, egretflow.EventStoreUnavailable,
		egretflow.EventLinesDropped:
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

// line writes the event as key=value pairs in a fixed order.
func line(e egretflow.Event) string {
	var b strings.Builder
	pair := func(key, value string) {
		if value == "" {
			return
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(key + "=" + quote(value))
	}
	pair("event", string(e.Name))
	pair("instance", string(e.Instance))
	pair("request", string(e.Request))
	pair("attempt", string(e.Attempt))
	pair("decision", string(e.Decision))
	for _, f := range e.Fields {
		pair(f.Key, f.Value)
	}
	return b.String()
}

func quote(value string) string {
	if strings.ContainsAny(value, " =\"\\") || strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return strconv.Quote(value)
	}
	return value
}

// Explain returns the kept events of a request, attempt or decision, oldest
// first. A request is also found by the X-Request-Id that its caller sent.
func (x *Explainer) Explain(id string) []egretflow.Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	related := x.requests(id)
	var found []egretflow.Event
	for n := range x.ring {
		e := x.ring[(x.next+n)%len(x.ring)]
		if related[e.Request] || string(e.Attempt) == id || string(e.Decision) == id {
			found = append(found, e)
		}
	}
	return found
}

// requests returns the requests that id belongs to.
func (x *Explainer) requests(id string) map[egretflow.RequestID]bool {
	related := map[egretflow.RequestID]bool{}
	for n := range x.ring {
		if e := &x.ring[n]; e.Request != "" && belongs(e, id) {
			related[e.Request] = true
		}
	}
	return related
}

// CallerIDField is the field that holds the X-Request-Id of the caller.
const CallerIDField = "caller_request"
