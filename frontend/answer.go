package frontend

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/egretflow/egretflow/relayer"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// answer writes the chunks that it receives from the relayer to a caller.
type answer interface {
	relayer.Sink
	// end completes the answer after its last chunk.
	end() error
	// fail ends the answer with err; it does nothing if err is nil. It returns
	// err if no byte was written, so that the error handler writes a refusal.
	fail(err error) error
}

func (f *Frontend) newAnswer(c echo.Context, job *relayer.Job) answer {
	if job.Request.Stream {
		return &eventAnswer{f: f, c: c, job: job, control: http.NewResponseController(c.Response().Writer)}
	}
	return &plainAnswer{f: f, c: c, job: job}
}

// maxBufferedBytes is the size of the buffered events, in bytes, above which they
// are flushed.
const maxBufferedBytes = 16 << 10

// eventAnswer writes the answer as server-sent events.
type eventAnswer struct {
	f       *Frontend
	c       echo.Context
	job     *relayer.Job
	control *http.ResponseController
	buf     []byte
	started bool
	// attempt and idPrefix are the attempt and the prefix of the last event id.
	attempt  egretflow.AttemptID
	idPrefix string
}

// Chunk implements relayer.Sink.
func (a *eventAnswer) Chunk(id relayer.EventID, chunk *openai.Chunk) error {
	noContent := !chunk.HasText() && chunk.FinishReason() == "" && !chunk.HasOtherMembers
	if chunk.HasUsage() && noContent && !a.job.Request.IncludeUsage {
		return nil
	}
	if id.Attempt != a.attempt || a.idPrefix == "" {
		a.attempt, a.idPrefix = id.Attempt, id.Prefix()
	}
	a.buf = append(a.buf, "id: "...)
	a.buf = append(a.buf, a.idPrefix...)
	a.buf = id.AppendOffset(a.buf)
	a.buf = append(a.buf, "\ndata: "...)
	a.buf = chunk.AppendWithID(a.buf, string(a.job.Work.Request))
	a.buf = append(a.buf, "\n\n"...)
	if len(a.buf) > maxBufferedBytes {
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
		// The caller reconnects after 100 ms with the id of the last event.
		a.buf = append(a.buf, "retry: 100\n\n"...)
	} else {
		data, encodeErr := json.Marshal(newErrorBody(asRefusal(err), requestOf(a.c)))
		if encodeErr != nil {
			return fmt.Errorf("encode error event: %w", encodeErr)
		}
		a.buf = append(append(append(a.buf, "data: "...), data...), "\n\n"...)
	}
	// A write error means that the caller has disconnected.
	_ = a.Flush()
	return nil
}

// plainAnswer collects the chunks and writes them as one JSON answer.
type plainAnswer struct {
	f         *Frontend
	c         echo.Context
	job       *relayer.Job
	collected openai.ResponseBuilder
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

// modelList is the model list of the OpenAI API.
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
				list.Data = append(list.Data, model{ID: string(name), Object: "model", Created: f.startedAt.Unix(), OwnedBy: "egretflow"})
			}
		}
	}
	if err := c.JSON(http.StatusOK, list); err != nil {
		return fmt.Errorf("write models: %w", err)
	}
	return nil
}
