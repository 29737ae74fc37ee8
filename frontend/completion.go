package frontend

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// assumedTokens is the estimate of the answer's length when the caller sets no
// limit.
const assumedTokens = 256

func (f *Frontend) serveChat(c echo.Context) error { return f.serveModel(c, openai.Chat) }

func (f *Frontend) serveCompletions(c echo.Context) error {
	return f.serveModel(c, openai.Completions)
}

// serveModel answers a completion request.
func (f *Frontend) serveModel(c echo.Context, endpoint openai.Endpoint) error {
	body, done, err := f.readBody(c)
	if err != nil {
		f.cfg.Metrics.Refused(asRefusal(err).Reason)
		return err
	}
	defer done()
	x := requestOf(c)
	req, err := openai.ParseRequest(endpoint, body)
	if err != nil {
		f.cfg.Metrics.Refused(egretflow.RefusalBadRequest)
		return badRequest(err)
	}
	route, pool, err := f.modelRoute(x.caller, egretflow.ModelName(req.Model))
	if err != nil {
		f.cfg.Metrics.Refused(asRefusal(err).Reason)
		return err
	}
	work := newWork(x, route)
	work.PromptTokens = len(req.Prompt)/egretflow.PromptBytesPerToken + 1
	if work.MaxTokens = req.MaxTokens; work.MaxTokens == 0 {
		work.MaxTokens = assumedTokens
	}
	work.Prefix = prefixHashes(req.Prompt)
	work.Fingerprint = fingerprint(x.caller, string(endpoint), body)
	job := &relayer.Job{Work: work, Request: req, Pool: pool, Header: passedOn(c.Request()), Handover: f.handover}
	return f.runModel(c, job, route)
}

// modelRoute finds the route, or the rejection of (4.1).
func (f *Frontend) modelRoute(caller egretflow.CallerName, model egretflow.ModelName) (*egretflow.Route, *egretflow.Pool, error) {
	tables := f.cfg.Tables()
	route, err := tables.RouteForModel(caller, model)
	switch {
	case errors.Is(err, egretflow.ErrForbidden):
		return nil, nil, refuse(http.StatusForbidden, egretflow.RefusalForbidden, "the caller has no route to this model", err)
	case err != nil:
		return nil, nil, refuse(http.StatusNotFound, egretflow.RefusalUnknownModel, "the model does not exist", err)
	}
	return f.routePool(tables, route, caller)
}

// routePool returns the route with its pool, or the rejection of a caller that
// has as many open requests as the route allows.
func (f *Frontend) routePool(tables *egretflow.Tables, route *egretflow.Route, caller egretflow.CallerName) (*egretflow.Route, *egretflow.Pool, error) {
	pool, ok := tables.Pool(route.Pool)
	if !ok {
		return nil, nil, f.refuseLater(http.StatusServiceUnavailable, egretflow.RefusalNoServer, "the pool of the route is missing")
	}
	if route.MaxStreams > 0 && f.streams.count(caller) > route.MaxStreams {
		return nil, nil, f.tooManyStreams()
	}
	return route, pool, nil
}

func newWork(x *request, route *egretflow.Route) *egretflow.Work {
	return &egretflow.Work{
		Request: x.id, Caller: x.caller, Route: route.Name, Pool: route.Pool, Importance: route.Importance,
		Idempotent: route.Idempotent, ArrivedAt: x.arrived, Deadline: x.deadline,
		FirstTokenBy: x.arrived.Add(time.Duration(route.FirstTokenTarget)),
	}
}

func prefixHashes(prompt string) []egretflow.PrefixHash {
	digest := xxhash.New()
	hashes := make([]egretflow.PrefixHash, 0, len(prompt)/egretflow.PrefixChunkBytes)
	for ; len(prompt) >= egretflow.PrefixChunkBytes; prompt = prompt[egretflow.PrefixChunkBytes:] {
		_, _ = digest.WriteString(prompt[:egretflow.PrefixChunkBytes])
		hashes = append(hashes, egretflow.PrefixHash(digest.Sum64()))
	}
	return hashes
}

func fingerprint(caller egretflow.CallerName, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(caller) + "\n" + path + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// passedOn returns the headers that go to engines.
func passedOn(r *http.Request) map[string]string {
	if trace := r.Header.Get(headerTrace); trace != "" {
		return map[string]string{headerTrace: trace}
	}
	return nil
}

func (f *Frontend) runModel(c echo.Context, job *relayer.Job, route *egretflow.Route) error {
	x := requestOf(c)
	resume, err := f.resumeFrom(c, job)
	if err != nil {
		return err
	}
	f.record(egretflow.EventAdmitted, job.Work.Request, x.callerID(), field("caller", string(x.caller)), field("route", string(route.Name)))
	answer := f.newAnswer(c, job)
	job.Sink = answer
	var result relayer.Result
	if resume != nil {
		result, err = f.cfg.Relayer.Resume(c.Request().Context(), job, *resume)
	} else {
		result, err = f.cfg.Relayer.Complete(c.Request().Context(), job)
	}
	if err == nil {
		err = answer.end()
	}
	f.finished(c, job.Work, route, result, err)
	return answer.fail(err)
}

// resumeFrom returns the event after which the answer is resumed, nil for a new
// request. The request keeps its id across resumes.
func (f *Frontend) resumeFrom(c echo.Context, job *relayer.Job) (*relayer.EventID, error) {
	given := c.Request().Header.Get(headerEventID)
	if given == "" {
		return nil, nil
	}
	id, err := relayer.ParseEventID(given)
	if err != nil {
		return nil, badRequest(err)
	}
	if !ownedBy(id.Request, job.Work.Caller) {
		return nil, refuse(http.StatusForbidden, egretflow.RefusalForbidden, "the answer belongs to another caller", nil)
	}
	if !job.Request.Stream {
		return nil, badRequest(&egretflow.FieldError{Field: headerEventID, Reason: "only streams can be resumed"})
	}
	job.Work.Request = id.Request
	return &id, nil
}

// finished records the outcome of a request.
func (f *Frontend) finished(c echo.Context, work *egretflow.Work, route *egretflow.Route, result relayer.Result, err error) {
	outcome, name := recorder.OutcomeServed, egretflow.EventCompleted
	switch {
	case err == nil:
	case errors.Is(err, relayer.ErrHandedOver):
		outcome = recorder.OutcomeHandedOver
	case c.Request().Context().Err() != nil && !errors.Is(err, errDeadline):
		outcome, name = recorder.OutcomeCancelled, egretflow.EventCancelled
	default:
		outcome, name = string(asRefusal(err).Reason), egretflow.EventRefused
	}
	f.cfg.Metrics.Finished(recorder.Request{
		Route: route.Name, Importance: route.Importance, Outcome: outcome,
		ArrivedAt: work.ArrivedAt, FirstTokenAt: result.FirstTokenAt, LastTokenAt: result.LastTokenAt,
		Tokens: result.Tokens, Retries: result.Retries, Waited: result.Waited, LongestGap: result.LongestGap,
		FirstTokenTarget: time.Duration(route.FirstTokenTarget), TokenTarget: time.Duration(route.TokenTarget),
	})
	if name != egretflow.EventRefused || c.Response().Committed {
		f.record(name, work.Request, field("outcome", outcome), number("status", result.Status), number("events", result.Tokens), number("retries", result.Retries),
			milliseconds("waited_ms", result.Waited), milliseconds("pause_ms", result.LongestGap))
	}
}
