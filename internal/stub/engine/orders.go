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

// drainGracePeriod is the time from the start of a drain after which a server must
// get no new requests (9.2).
const drainGracePeriod = 3 * time.Second

// WeightStore is the store that engines load models from. It transfers one model at
// a time, in order of arrival. It is safe for concurrent use by several engines.
type WeightStore struct {
	// BytesPerSecond is the transfer rate; with 0, loads take no time.
	BytesPerSecond int64

	mu     sync.Mutex
	freeAt time.Time
}

// ScheduleLoad queues a load of the given size and returns the time at which it will
// be done.
func (s *WeightStore) ScheduleLoad(now time.Time, bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(durationAt(bytes, s.BytesPerSecond))
	return s.freeAt
}

// ModelState is the state of the model that an engine was ordered to serve.
type ModelState string

// The model states.
const (
	ModelReady   ModelState = "Ready"
	ModelLoading ModelState = "Loading"
)

// OrderState is the body of an order in POST /orders and of the response to GET and
// POST /orders.
type OrderState struct {
	Fencing uint64         `json:"fencing"`
	Role    egretflow.Role `json:"role"`
	Model   string         `json:"model"`
	Adapter string         `json:"adapter"`
	Version string         `json:"version"`
	State   ModelState     `json:"state"`
}

// commands is the state that orders and drains change.
type commands struct {
	// state is the last order that was applied.
	state OrderState
	// readyAt is when the model is loaded.
	readyAt time.Time
	// drainedAt is when the current drain started; zero if the engine is not
	// draining.
	drainedAt time.Time
}

func (c *commands) loading(now time.Time) bool { return now.Before(c.readyAt) }

func (c *commands) draining() bool { return !c.drainedAt.IsZero() }

// countLateRequest counts a new request as late if the engine has been draining for
// longer than drainGracePeriod.
func (c *commands) countLateRequest(now time.Time, s *Stats) {
	if c.draining() && now.Sub(c.drainedAt) > drainGracePeriod {
		s.LateRequests++
	}
}

func (c *commands) current(now time.Time) OrderState {
	s := c.state
	s.State = ModelReady
	if c.loading(now) {
		s.State = ModelLoading
	}
	return s
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	var s OrderState
	e.update(func(now time.Time) { s = e.commands.current(now) })
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
	var apiErr *apiError
	var s OrderState
	e.update(func(now time.Time) {
		apiErr = e.applyOrder(now, order)
		s = e.commands.current(now)
	})
	if apiErr != nil {
		apiErr.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, s)
}

// applyOrder carries out an order. An order that changes the model, adapter or
// version clears the engine memory, so all requests on the engine fail.
func (e *Engine) applyOrder(now time.Time, order OrderState) *apiError {
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
		e.endTask(now, t, "abort", &apiError{http.StatusServiceUnavailable, "model_loading", "the model is being replaced"})
	}
	e.clearMemory()
	if e.cfg.Weights != nil {
		e.commands.readyAt = e.cfg.Weights.ScheduleLoad(now, e.cfg.ModelBytes)
	}
	return nil
}

func (e *Engine) serveDrain(w http.ResponseWriter, r *http.Request) {
	e.SetDraining(r.Method != http.MethodDelete)
	w.WriteHeader(http.StatusNoContent)
}

// SetDraining starts or ends a drain, as POST and DELETE /drain do. Starting a
// drain again does not change its start time.
func (e *Engine) SetDraining(draining bool) {
	e.update(func(now time.Time) {
		switch {
		case !draining:
			e.commands.drainedAt = time.Time{}
		case !e.commands.draining():
			e.commands.drainedAt = now
		}
	})
}
