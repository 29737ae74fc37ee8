package frontend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/egretflow/egretflow/relayer"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// answer writes the chunks of a relayer to a caller.
type answer interface {
	relayer.Sink
	// end completes the answer.
	end() error
	// fail ends an answer with an error; nil does nothing. It returns the error
	// when no byte was written, so that it becomes a rejection.
	fail(err error) error
}

func (f *Frontend) newAnswer(c echo.Context, job *relayer.Job) answer {
	if job.Request.Stream {
		return &eventAnswer{f: f, c: c, job: job, control: http.NewResponseController(c.Response().Writer)}
	}
	return &plainAnswer{f: f, c: c, job: job}
}

// maxBuffered bounds the events that wait for a flush.
const maxBuffered = 16 << 10

// eventAnswer writes server-sent events.
type eventAnswer struct {
	f       *Frontend
	c       echo.Context
	job     *relayer.Job
	control *http.ResponseController
	buf     []byte
	started bool
	// deadline is the write deadline of the connection.
	deadline time.Time
	// attempt and prefix are those of the last event id.
	attempt egretflow.AttemptID
	prefix  string
}

// Chunk implements relayer.Sink.
func (a *eventAnswer) Chunk(id relayer.EventID, chunk *openai.Chunk) error {
	bare := !chunk.HasText() && chunk.Finish() == "" && !chunk.Other
	if chunk.HasUsage() && bare && !a.job.Request.IncludeUsage {
		return nil
	}
	if id.Attempt != a.attempt || a.prefix == "" {
		a.attempt, a.prefix = id.Attempt, id.Prefix()
	}
	a.buf = append(a.buf, "id: "...)
	a.buf = append(a.buf, a.prefix...)
	a.buf = id.AppendOffset(a.buf)
	a.buf = append(a.buf, "\ndata: "...)
	a.buf = chunk.AppendWithID(a.buf, string(a.job.Work.Request))
	a.buf = append(a.buf, "\n\n"...)
	if len(a.buf) > maxBuffered {
		return a.Flush()
	}
	return nil
}

// Flush implements relayer.Sink.
func (a *eventAnswer) Flush() error {
	if len(a.buf) == 0 {
		return nil
	}
	w := a.c.Response()
	if !a.started {
		a.started = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.Header().Set(headerRunState, "Ran")
		w.WriteHeader(http.StatusOK)
	}
	a.setDeadline()
	_, err := w.Write(a.buf)
	a.buf = a.buf[:0]
	if err != nil {
		return fmt.Errorf("write events: %w", err)
	}
	if err := a.control.Flush(); err != nil {
		return fmt.Errorf("flush events: %w", err)
	}
	return nil
}

// setDeadline bounds the next write to between half of the write timeout and all
// of it. The deadline is not set for each event, because that costs a timer.
func (a *eventAnswer) setDeadline() {
	now, timeout := a.f.cfg.Clock(), a.f.cfg.Limits.WriteTimeout
	if a.deadline.Sub(now) > timeout/2 {
		return
	}
	a.deadline = now.Add(timeout)
	// Writers without deadlines exist only in tests.
	_ = a.control.SetWriteDeadline(a.deadline)
}

func (a *eventAnswer) end() error {
	a.buf = append(a.buf, "data: [DONE]\n\n"...)
	return a.Flush()
}

func (a *eventAnswer) fail(err error) error {
	if err == nil {
		return nil
	}
	if !a.started {
		return err
	}
	if errors.Is(err, relayer.ErrHandedOver) {
		// The caller reconnects with the id of the last event.
		a.buf = append(a.buf, "retry: 100\n\n"...)
	} else {
		data, encodeErr := json.Marshal(newErrorBody(asRefusal(err), requestOf(a.c)))
		if encodeErr != nil {
			return fmt.Errorf("encode error event: %w", encodeErr)
		}
		a.buf = append(append(append(a.buf, "data: "...), data...), "\n\n"...)
	}
	// The connection may be gone; there is nothing left to tell then.
	_ = a.Flush()
	return nil
}

// plainAnswer collects the chunks into one JSON answer.
type plainAnswer struct {
	f         *Frontend
	c         echo.Context
	job       *relayer.Job
	collected openai.Answer
}

// Chunk implements relayer.Sink.
func (a *plainAnswer) Chunk(_ relayer.EventID, chunk *openai.Chunk) error {
	if err := a.collected.Add(chunk); err != nil {
		return fmt.Errorf("collect answer: %w", err)
	}
	return nil
}

// Flush implements relayer.Sink.
func (a *plainAnswer) Flush() error { return nil }

func (a *plainAnswer) end() error {
	request := a.job.Request
	data, err := a.collected.JSON(request.Endpoint, string(a.job.Work.Request), request.Model, a.f.cfg.Clock())
	if err != nil {
		return err
	}
	a.c.Response().Header().Set(headerRunState, "Ran")
	if err := a.c.JSONBlob(http.StatusOK, data); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

func (a *plainAnswer) fail(err error) error { return err }

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the caller has routes to.
func (f *Frontend) serveModels(c echo.Context) error {
	list := modelList{Object: "list", Data: []model{}}
	seen := map[string]bool{}
	tables := f.cfg.Tables()
	for n := range tables.Routes {
		route := &tables.Routes[n]
		if !route.Allows(requestOf(c).caller) {
			continue
		}
		for _, name := range route.Models {
			if !seen[string(name)] {
				seen[string(name)] = true
				list.Data = append(list.Data, model{ID: string(name), Object: "model", Created: time.Time{}.Unix(), OwnedBy: "egretflow"})
			}
		}
	}
	if err := c.JSON(http.StatusOK, list); err != nil {
		return fmt.Errorf("write models: %w", err)
	}
	return nil
}
