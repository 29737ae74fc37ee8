package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/egretflow/egretflow/internal/stub/fault"
)

// Engine is a stub of a model engine. It is an http.Handler and safe for concurrent
// use.
type Engine struct {
	// Faults holds the faults that are active on the engine.
	Faults *fault.Set

	cfg     Config
	handler http.Handler

	mu    sync.Mutex
	timer *time.Timer
	// workTime is the time for which the engine has been able to work, up to
	// workTimeAt. It advances at speed: more slowly than the clock during Slow
	// faults and not at all during Stall faults. stepDue, prefillDue,
	// prefillStart and export.due are points of work time.
	workTime   time.Duration
	workTimeAt time.Time
	speed      float64
	speedUntil time.Time

	seq     uint64
	tasks   map[string]*task
	waiting []*task
	// prefills holds the tasks that have a slot and whose prompt is not fully
	// computed.
	prefills []*task
	// prefilling is the task whose prompt is being computed, from prefillStart
	// to prefillDue; nil if there is none.
	prefilling   *task
	prefillStart time.Duration
	prefillDue   time.Duration
	imports      []*task
	decodes      []*task
	stepDue      time.Duration
	link         link
	memory       *memory

	report      loadReport
	events      eventLog
	commands    commands
	stats       Stats
	downUntil   time.Time
	incarnation int
}

// New returns an engine without requests.
func New(cfg Config) *Engine {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, Faults: fault.NewSet(cfg.Clock), speed: 1, workTimeAt: cfg.Clock()}
	e.commands.state = OrderState{Role: cfg.Role, Model: cfg.Model}
	e.events.changed = make(chan struct{})
	e.reset()
	e.report.takenAt = cfg.Clock()
	e.takeReading()
	e.Faults.OnChange(e.faultsChanged)
	e.handler = e.Faults.Handler(e.routes())
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) })
	mux.HandleFunc("GET /v1/streams/{attempt}", e.serveResume)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("POST /abort_request", e.serveAbort)
	mux.HandleFunc("POST /kv_transfer", e.serveTransfer)
	mux.HandleFunc("GET /kv_events", e.serveEvents)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /orders", e.serveOrderState)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /drain", e.serveDrain)
	mux.HandleFunc("DELETE /drain", e.serveDrain)
	mux.HandleFunc("GET /stats", e.serveStats)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.down() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// reset drops all tasks, prefill results and memory.
func (e *Engine) reset() {
	e.tasks = map[string]*task{}
	e.waiting, e.prefills, e.imports, e.decodes = nil, nil, nil, nil
	e.prefilling = nil
	e.link = link{results: map[int]*result{}}
	e.memory = e.emptyMemory()
}

func (e *Engine) emptyMemory() *memory {
	return newMemory(e.cfg.Blocks,
		func(hashes []uint64) { e.recordEvent(eventStored, hashes) },
		func(hashes []uint64) { e.recordEvent(eventRemoved, hashes) })
}

// clearMemory drops the prefill results and the prompt cache. All tasks must have
// ended.
func (e *Engine) clearMemory() {
	for _, r := range e.link.results {
		e.dropResult(r)
	}
	e.memory = e.emptyMemory()
	e.recordEvent(eventCleared, nil)
}

// update brings the engine state up to the current time, runs f on it with e.mu
// held, and then does the work that f made possible.
func (e *Engine) update(f func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock()
	e.renewReport(now)
	e.advanceWorkTime(now)
	e.runDueWork(now)
	f(now)
	e.runDueWork(now)
	e.armTimer(now)
}

func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Clock().Before(e.downUntil) || e.Faults.Active(fault.Crash)
}

func (e *Engine) faultsChanged(f fault.Fault) {
	e.update(func(now time.Time) {
		if f.Kind == fault.Crash {
			// Nothing calls Take for this fault, so Count does not end it: the
			// engine is down as long as the fault is active.
			e.crash(now, now)
		}
	})
}

// crash drops all state, aborts all streams and, until the given time, aborts all
// new connections.
func (e *Engine) crash(now, until time.Time) {
	e.stats.Crashes++
	for _, t := range e.tasks {
		e.endTask(now, t, "", &apiError{http.StatusServiceUnavailable, "engine_crashed", "the engine crashed"})
		if t.reader != nil {
			close(t.reader.replaced)
			t.reader = nil
		}
	}
	e.clearMemory()
	e.reset()
	e.resetEvents()
	e.incarnation++
	e.downUntil = until
	if e.cfg.OnCrash != nil {
		go e.cfg.OnCrash()
	}
}

// engineID returns the engine id in KV transfers. It changes with each crash, so
// that prefill results from before a crash are not taken for later ones.
func (e *Engine) engineID() string { return fmt.Sprintf("%s-%d", e.cfg.Name, e.incarnation) }
