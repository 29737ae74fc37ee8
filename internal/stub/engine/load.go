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

// Stats are counts for checks, taken without lag.
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
	// LateRequests counts requests that arrived more than 3 s after a drain.
	LateRequests int
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	var s Stats
	e.do(func(time.Time) {
		s = e.stats
		s.BlocksInUse = e.memory.used()
		s.SlotsInUse = e.slotsInUse()
		s.Waiting = len(e.waiting)
		s.Streams = s.Waiting + s.SlotsInUse
	})
	return s
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }

// loadReport is the reading of GET /load.
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

// renewReport takes the reading of the last interval that has begun. It runs
// before any change at the current time, so the state is that of the interval.
func (e *Engine) renewReport(now time.Time) {
	intervals := now.Sub(e.report.takenAt) / e.cfg.ReportLag
	if intervals < 1 {
		return
	}
	e.report.takenAt = e.report.takenAt.Add(intervals * e.cfg.ReportLag)
	e.snapshot()
}

func (e *Engine) snapshot() {
	e.report.reading = loadReading{
		Running: e.slotsInUse(), Waiting: len(e.waiting),
		FreeBlocks: e.cfg.Blocks - e.memory.used(), TotalBlocks: e.cfg.Blocks,
		Role: e.commands.state.Role, Draining: e.commands.draining(), MeasuredAt: e.report.takenAt,
	}
}

func (e *Engine) reading() loadReading {
	var l loadReading
	e.do(func(time.Time) { l = e.report.reading })
	return l
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, e.reading())
}

// setLoadHeader adds the ORCA load report.
func (e *Engine) setLoadHeader(w http.ResponseWriter) {
	l := e.reading()
	w.Header().Set("endpoint-load-metrics", fmt.Sprintf(
		`JSON {"named_metrics": {"running": %d, "waiting": %d, "free_blocks": %d}}`, l.Running, l.Waiting, l.FreeBlocks))
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	e.do(func(now time.Time) {
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
	e.do(func(now time.Time) {
		e.stats.Aborts++
		if t := e.tasks[body.RID]; t != nil {
			e.cancel(now, t)
		}
		for _, kept := range e.link.results {
			if kept.attempt == body.RID {
				e.dropResult(kept)
			}
		}
	})
	w.WriteHeader(http.StatusOK)
}

// loseAnswer aborts the connection at the end of the answer if a LostAnswer
// fault is set.
func (e *Engine) loseAnswer() {
	if e.Faults.Take(fault.LostAnswer) {
		panic(http.ErrAbortHandler)
	}
}
