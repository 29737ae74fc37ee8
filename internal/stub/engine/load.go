package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// Stats holds counts for the checks of tests. Unlike the load report they are
// current.
type Stats struct {
	Requests            int
	PrefillTokens       int
	PrefillTokensUnused int
	CachedTokens        int
	OutputTokens        int
	KVBytesSent         int64
	BlocksInUse         int
	SlotsInUse          int
	Waiting             int
	// Streams counts the requests that have not ended.
	Streams int
	Resumes int
	Aborts  int
	Crashes int
	// LateRequests counts the requests that arrived more than 3 s after the
	// start of a drain.
	LateRequests int
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	var s Stats
	e.update(func(time.Time) {
		s = e.stats
		s.BlocksInUse = e.memory.used()
		s.SlotsInUse = e.slotsInUse()
		s.Waiting = len(e.waiting)
		s.Streams = s.Waiting + s.SlotsInUse
	})
	return s
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }

// loadReport holds the reading that GET /load returns and the time of its interval.
type loadReport struct {
	takenAt time.Time
	reading loadReading
}

type loadReading struct {
	Running     int            `json:"running"`
	Waiting     int            `json:"waiting"`
	FreeBlocks  int            `json:"free_blocks"`
	TotalBlocks int            `json:"total_blocks"`
	Role        egretflow.Role `json:"role"`
	Draining    bool           `json:"draining"`
	MeasuredAt  time.Time      `json:"measured_at"`
}

// renewReport updates the load report if a new interval has begun. It runs before
// any change at the current time, so it reads the state at the start of the
// interval.
func (e *Engine) renewReport(now time.Time) {
	intervals := now.Sub(e.report.takenAt) / e.cfg.ReportLag
	if intervals < 1 {
		return
	}
	e.report.takenAt = e.report.takenAt.Add(intervals * e.cfg.ReportLag)
	e.takeReading()
}

// takeReading stores the current state in the load report.
func (e *Engine) takeReading() {
	e.report.reading = loadReading{
		Running: e.slotsInUse(), Waiting: len(e.waiting),
		FreeBlocks: e.cfg.Blocks - e.memory.used(), TotalBlocks: e.cfg.Blocks,
		Role: e.commands.state.Role, Draining: e.commands.draining(), MeasuredAt: e.report.takenAt,
	}
}

func (e *Engine) currentReading() loadReading {
	var l loadReading
	e.update(func(time.Time) { l = e.report.reading })
	return l
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, e.currentReading())
}

// setLoadHeader adds the load report to a response as an ORCA header.
func (e *Engine) setLoadHeader(w http.ResponseWriter) {
	l := e.currentReading()
	w.Header().Set("endpoint-load-metrics", fmt.Sprintf(
		`JSON {"named_metrics": {"running": %d, "waiting": %d, "free_blocks": %d}}`, l.Running, l.Waiting, l.FreeBlocks))
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	e.update(func(now time.Time) {
		for _, name := range []string{e.commands.state.Model, e.commands.state.Adapter} {
			if name != "" && !e.commands.loading(now) {
				models = append(models, model{ID: name, Object: "model"})
			}
		}
	})
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, map[string]any{"object": "list", "data": models})
}

func (e *Engine) serveAbort(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RID string `json:"rid"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		badRequest("decode body: %v", err).write(w)
		return
	}
	e.update(func(now time.Time) {
		e.stats.Aborts++
		if t := e.tasks[body.RID]; t != nil {
			e.cancelTask(now, t)
		}
		for _, kept := range e.link.results {
			if kept.attempt == body.RID {
				e.dropResult(kept)
			}
		}
	})
	w.WriteHeader(http.StatusOK)
}

// abortOnLostAnswer aborts the connection if a LostAnswer fault is active. It is
// called before the response, or the end of a stream, is written.
func (e *Engine) abortOnLostAnswer() {
	if e.Faults.Take(fault.LostAnswer) {
		panic(http.ErrAbortHandler)
	}
}
