// Package explainer keeps the newest events of an instance in a ring buffer of
// fixed size, so that operators can query what happened to a request, and writes
// one log line per event (11).
//
// # Usage
//
//	e := explainer.New(4096, logrus.StandardLogger())
//	e.Record(egretflow.Event{Name: egretflow.EventAssigned, At: now, Request: id})
//	events := e.EventsOf(string(id))
//	found, err := explainer.Investigate(id, files) // in log files
//
// # Rules
//
//  1. Record never blocks on output: lines go through a bounded channel to Run.
//     When the channel is full, or when the lines of one second exceed the limit
//     of their level, Record drops the line, counts it and keeps the event.
//     EventLinesDropped reports the number of dropped lines.
//  2. A line has the keys time, level, event, instance, request, attempt and
//     decision, and then the fields of the event in their order. Keys with an
//     empty value are left out.
//  3. Investigate reads nothing but log lines. Cause derives the cause from the
//     last event of the request, its last failed attempt and its last assignment.
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

// DefaultMaxEvents is the number of events that an instance keeps by default.
const DefaultMaxEvents = 8192

// maxQueuedLines bounds the log lines that wait for Run to write them.
const maxQueuedLines = 1024

// dropReportInterval is the minimum time between two reports of dropped lines.
const dropReportInterval = time.Second

// Explainer implements egretflow.Recorder. It keeps the newest events in memory and
// writes log lines. Its methods are safe for concurrent use, but only one Run may
// be active.
type Explainer struct {
	logger *logrus.Logger
	lines  chan egretflow.Event
	// reportedAt is the time of the last report of dropped lines. Only Run uses it.
	reportedAt time.Time

	mu   sync.Mutex
	ring []egretflow.Event
	// oldest is the index of the oldest event in ring, which the next event
	// replaces once ring is full.
	oldest int
	limits []*lineLimit
}

var _ egretflow.Recorder = (*Explainer)(nil)

// New returns an Explainer that keeps the given number of events. With a nil logger
// it writes no log lines.
func New(events int, logger *logrus.Logger) *Explainer {
	return &Explainer{
		logger: logger, lines: make(chan egretflow.Event, maxQueuedLines), ring: make([]egretflow.Event, 0, events), limits: newLimits(),
	}
}

// Record keeps e and queues its log line. It implements egretflow.Recorder and
// doesn't block.
func (x *Explainer) Record(e egretflow.Event) {
	x.mu.Lock()
	if len(x.ring) < cap(x.ring) {
		x.ring = append(x.ring, e)
	} else {
		x.ring[x.oldest] = e
		x.oldest = (x.oldest + 1) % len(x.ring)
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

// Run writes queued log lines until ctx ends, then writes the lines that are still
// queued and returns nil.
func (x *Explainer) Run(ctx context.Context) error {
	for {
		select {
		case e := <-x.lines:
			x.emit(e)
		case <-ctx.Done():
			x.writeQueued()
			return nil
		}
	}
}

func (x *Explainer) writeQueued() {
	for {
		select {
		case e := <-x.lines:
			x.emit(e)
		default:
			return
		}
	}
}

// emit writes the line of e, preceded by a report if lines were dropped.
func (x *Explainer) emit(e egretflow.Event) {
	x.reportDropped(e.Instance, e.At)
	x.write(e)
}

func (x *Explainer) write(e egretflow.Event) {
	x.logger.WithTime(e.At).Log(level(e.Name), line(e))
}

// level returns the log level of an event.
func level(name egretflow.EventName) logrus.Level {
	switch name {
	case egretflow.EventInvariantViolated:
		return logrus.ErrorLevel
	case egretflow.EventAccessDenied, egretflow.EventAnswerMismatch, egretflow.EventAttemptFailed, egretflow.EventStoreUnavailable,
		egretflow.EventLinesDropped, egretflow.EventServerInvalid:
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

// line returns the event as key=value pairs in a fixed order, without its time and
// level.
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

// quote quotes a value that contains spaces, control characters or characters with
// a meaning in log lines. Values may come from callers, who could otherwise forge
// keys or lines.
func quote(value string) string {
	if strings.ContainsAny(value, " =\"\\") || strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return strconv.Quote(value)
	}
	return value
}

// EventsOf returns the kept events of a request, attempt or decision, oldest
// first. The id may also be the X-Request-Id that the caller of a request sent.
func (x *Explainer) EventsOf(id string) []egretflow.Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	related := x.matchingRequests(id)
	var found []egretflow.Event
	for n := range x.ring {
		e := x.ring[(x.oldest+n)%len(x.ring)]
		if related[e.Request] || string(e.Attempt) == id || string(e.Decision) == id {
			found = append(found, e)
		}
	}
	return found
}

// matchingRequests returns the requests that have a kept event with the id.
func (x *Explainer) matchingRequests(id string) map[egretflow.RequestID]bool {
	related := map[egretflow.RequestID]bool{}
	for n := range x.ring {
		if e := &x.ring[n]; e.Request != "" && hasID(e, id) {
			related[e.Request] = true
		}
	}
	return related
}

// CallerIDField is the key of the event field that holds the X-Request-Id of the
// caller.
const CallerIDField = "caller_request"
