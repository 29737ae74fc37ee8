package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxRetainedEvents is the number of cache events above which the older half is
// dropped, so that readers that reconnect later miss them.
const maxRetainedEvents = 4096

const (
	eventStored  = "BlockStored"
	eventRemoved = "BlockRemoved"
	eventCleared = "AllBlocksCleared"
)

// cacheEvent is one change of the prompt cache.
type cacheEvent struct {
	seq    int
	sentAt time.Time

	Type        string   `json:"type"`
	BlockHashes []uint64 `json:"block_hashes,omitempty"`
}

// eventLog holds the newest cache events.
type eventLog struct {
	// seq is the sequence number of the last event, lost ones included.
	seq    int
	events []cacheEvent
	// changed is closed and replaced by a new channel when an event is added.
	changed chan struct{}
}

// recordEvent appends an event that is sent after ReportLag. With probability
// EventLossProbability the event is lost, which a reader sees as a gap in the
// sequence numbers.
func (e *Engine) recordEvent(kind string, hashes []uint64) {
	l := &e.events
	l.seq++
	if e.cfg.Rand.Float64() < e.cfg.EventLossProbability {
		return
	}
	l.events = append(l.events, cacheEvent{
		seq: l.seq, sentAt: e.cfg.Clock().Add(e.cfg.ReportLag), Type: kind, BlockHashes: hashes,
	})
	if len(l.events) > maxRetainedEvents {
		l.events = append([]cacheEvent(nil), l.events[len(l.events)-maxRetainedEvents/2:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// eventsAfter returns the events after seq that are due, the time at which the next
// one is due (zero if there is none), and a channel that is closed when an event
// is added.
func (e *Engine) eventsAfter(seq int) (ready []cacheEvent, next time.Time, changed <-chan struct{}) {
	e.update(func(now time.Time) {
		changed = e.events.changed
		for _, ev := range e.events.events {
			if ev.seq <= seq {
				continue
			}
			if ev.sentAt.After(now) {
				next = ev.sentAt
				return
			}
			ready = append(ready, ev)
		}
	})
	return ready, next, changed
}

// resetEvents drops all events and restarts the sequence numbers with an
// AllBlocksCleared event, as a restarted process does.
func (e *Engine) resetEvents() {
	e.events.seq, e.events.events = 0, nil
	e.recordEvent(eventCleared, nil)
}

// serveEvents streams the retained cache events after Last-Event-ID and then the new
// ones. A Last-Event-ID above the current sequence number is from before a
// restart, so the stream then starts with the first retained event.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	seq, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.update(func(time.Time) {
		if seq > e.events.seq {
			seq = 0
		}
	})
	for {
		ready, next, changed := e.eventsAfter(seq)
		for _, ev := range ready {
			data, err := json.Marshal(ev)
			if err != nil {
				panic(fmt.Sprintf("marshal event: %v", err))
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", ev.seq, data)
			seq = ev.seq
		}
		if flusher != nil {
			flusher.Flush()
		}
		var due <-chan time.Time
		if !next.IsZero() {
			due = time.After(next.Sub(e.cfg.Clock()))
		}
		select {
		case <-due:
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
