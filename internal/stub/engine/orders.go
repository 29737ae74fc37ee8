package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// lateAfter is the time after which a draining server must get no new work
// (9.2).
const lateAfter = 3 * time.Second

// WeightStore is the store that engines load models from. Loads share its rate
// in order of arrival. It is safe for concurrent use by several engines.
type WeightStore struct {
	BytesPerSecond int64

	mu     sync.Mutex
	freeAt time.Time
}

// Load returns when a load that starts now is done.
func (s *WeightStore) Load(now time.Time, bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(durationAt(bytes, s.BytesPerSecond))
	return s.freeAt
}

// LoadState says whether a model is ready.
type LoadState string

// The load states.
const (
	LoadReady   LoadState = "Ready"
	LoadLoading LoadState = "Loading"
)

// OrderState is the answer to GET /orders.
type OrderState struct {
	Fencing uint64         `json:"fencing"`
	Role    egretflow.Role `json:"role"`
	Model   string         `json:"model"`
	Adapter string         `json:"adapter"`
	Version string         `json:"version"`
	State   LoadState      `json:"state"`
}

// commands is the state that orders change.
type commands struct {
	state   OrderState
	readyAt time.Time
	// drainedAt is when the engine was asked to drain; zero if not.
	drainedAt time.Time
}

func (c *commands) loading(now time.Time) bool { return now.Before(c.readyAt) }

func (c *commands) draining() bool { return !c.drainedAt.IsZero() }

func (c *commands) countLate(now time.Time, s *Stats) {
	if c.draining() && now.Sub(c.drainedAt) > lateAfter {
		s.LateRequests++
	}
}

func (c *commands) current(now time.Time) OrderState {
	s := c.state
	s.State = LoadReady
	if c.loading(now) {
		s.State = LoadLoading
	}
	return s
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	var s OrderState
	e.do(func(now time.Time) { s = e.commands.current(now) })
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, s)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order OrderState
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil {
		badRequest("decode order: %v", err).write(w)
		return
	}
	if order.Role != egretflow.RolePrefill && order.Role != egretflow.RoleDecode {
		badRequest("role must be Prefill or Decode").write(w)
		return
	}
	var bad *apiError
	var s OrderState
	e.do(func(now time.Time) {
		bad = e.apply(now, order)
		s = e.commands.current(now)
	})
	if bad != nil {
		bad.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, s)
}

// apply carries out an order. An order that changes what is loaded replaces
// the engine memory, so the requests on the engine are lost.
func (e *Engine) apply(now time.Time, order OrderState) *apiError {
	old := e.commands.state
	if e.cfg.ChecksFencing && order.Fencing < old.Fencing {
		return &apiError{http.StatusConflict, "stale_fencing",
			fmt.Sprintf("fencing token %d is older than %d", order.Fencing, old.Fencing)}
	}
	e.commands.state = order
	if order.Model == old.Model && order.Adapter == old.Adapter && order.Version == old.Version {
		return nil
	}
	for _, t := range e.tasks {
		e.end(now, t, "abort", &apiError{http.StatusServiceUnavailable, "model_loading", "the model is being replaced"})
	}
	e.clearMemory()
	if e.cfg.Weights != nil {
		e.commands.readyAt = e.cfg.Weights.Load(now, e.cfg.ModelBytes)
	}
	return nil
}

func (e *Engine) serveDrain(w http.ResponseWriter, r *http.Request) {
	e.SetDraining(r.Method != http.MethodDelete)
	w.WriteHeader(http.StatusNoContent)
}

// SetDraining starts or ends a drain, as /drain does.
func (e *Engine) SetDraining(draining bool) {
	e.do(func(now time.Time) {
		switch {
		case !draining:
			e.commands.drainedAt = time.Time{}
		case !e.commands.draining():
			e.commands.drainedAt = now
		}
	})
}
