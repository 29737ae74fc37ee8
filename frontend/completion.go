package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// assumedTokens is the estimated length of an answer in tokens when the caller
// sets no limit.
const assumedTokens = 256

func (f *Frontend) serveChat(c echo.Context) error { return f.serveModel(c, openai.Chat) }

func (f *Frontend) serveCompletions(c echo.Context) error {
	return f.serveModel(c, openai.Completions)
}

// serveModel serves a chat or completion request.
func (f *Frontend) serveModel(c echo.Context, endpoint openai.Endpoint) error {
	body, release, err := f.readBody(c)
	if err != nil {
		f.cfg.Metrics.RequestRefused(asRefusal(err).Reason)
		return err
	}
	defer release()
	x := requestOf(c)
	req, err := openai.ParseRequest(endpoint, body)
	if err != nil {
		f.cfg.Metrics.RequestRefused(egretflow.RefusalBadRequest)
		return badRequest(err)
	}
	route, pool, err := f.modelRoute(x.caller, egretflow.ModelName(req.Model))
	if err != nil {
		f.cfg.Metrics.RequestRefused(asRefusal(err).Reason)
		return err
	}
	work := newWork(x, route)
	work.PromptTokens = len(req.Prompt)/egretflow.PromptBytesPerToken + 1
	if work.MaxTokens = req.MaxTokens; work.MaxTokens == 0 {
		work.MaxTokens = assumedTokens
	}
	work.Prefix, work.Parts = prefixHashes(req.Prompt), req.Parts
	work.Fingerprint = fingerprint(x.caller, string(endpoint), body)
	job := &relayer.Job{Work: work, Request: req, Pool: pool, Header: engineHeaders(c.Request()), Handover: f.handover}
	return f.runModel(c, job, route)
}

// modelRoute returns the route for the model and its pool, or a refusal (4.1):
// status 403 if only other callers may use the model, 404 if no route names it.
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

// routePool returns the route with its pool, or a refusal if the pool is missing
// or the caller has more open requests than the route allows.
func (f *Frontend) routePool(tables *egretflow.Tables, route *egretflow.Route, caller egretflow.CallerName) (*egretflow.Route, *egretflow.Pool, error) {
	pool, ok := tables.Pool(route.Pool)
	if !ok {
		return nil, nil, f.refuseWithRetry(http.StatusServiceUnavailable, egretflow.RefusalNoServer, "the pool of the route is missing")
	}
	if route.MaxStreams > 0 && f.openByCaller.count(caller) > route.MaxStreams {
		return nil, nil, f.tooManyRequests()
	}
	return route, pool, nil
}

func newWork(x *request, route *egretflow.Route) *egretflow.Work {
	work := &egretflow.Work{
		Request: x.id, Caller: x.caller, Route: route.Name, Pool: route.Pool, Importance: route.Importance,
		Idempotent: route.Idempotent, ArrivedAt: x.arrived, Deadline: x.deadline,
		FirstTokenBy: x.arrived.Add(time.Duration(route.FirstTokenTarget)),
	}
	if o := x.organisation; o != nil && o.Importance != "" {
		work.Importance = o.Importance
	}
	return work
}

// prefixHashes returns the hashes for Work.Prefix: one per full chunk of the
// prompt, each over the prompt from its start.
func prefixHashes(prompt string) []egretflow.PrefixHash {
	digest := xxhash.New()
	hashes := make([]egretflow.PrefixHash, 0, len(prompt)/egretflow.PrefixChunkBytes)
	for ; len(prompt) >= egretflow.PrefixChunkBytes; prompt = prompt[egretflow.PrefixChunkBytes:] {
		_, _ = digest.WriteString(prompt[:egretflow.PrefixChunkBytes])
		hashes = append(hashes, egretflow.PrefixHash(digest.Sum64()))
	}
	return hashes
}

// fingerprint returns the hash that identifies requests with the same caller,
// path and body.
func fingerprint(caller egretflow.CallerName, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(caller) + "\n" + path + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// engineHeaders returns the headers of r that are passed on to engines.
func engineHeaders(r *http.Request) map[string]string {
	if trace := r.Header.Get(headerTraceparent); trace != "" {
		return map[string]string{headerTraceparent: trace}
	}
	return nil
}

// runModel runs the job, or resumes it if the caller sent a Last-Event-ID, and
// writes the answer.
func (f *Frontend) runModel(c echo.Context, job *relayer.Job, route *egretflow.Route) error {
	x := requestOf(c)
	resume, err := f.resumeFrom(c, job)
	if err != nil {
		return err
	}
	var charge egretflow.QuotaCharge
	if resume == nil {
		if charge, err = f.spendQuota(c.Request().Context(), x, job.Work); err != nil {
			return err
		}
	}
	f.record(egretflow.EventAdmitted, job.Work.Request, x.callerID(), field("caller", string(x.caller)), field("route", string(route.Name)))
	answer := f.newAnswer(c, job)
	job.Sink = answer
	var result relayer.Result
	if resume != nil {
		result, err = f.cfg.Relayer.Resume(c.Request().Context(), job, *resume)
	} else {
		result, err = f.cfg.Relayer.Complete(c.Request().Context(), job)
		f.refundQuota(charge, result, err)
	}
	if err == nil {
		err = answer.end()
	}
	f.recordOutcome(c, job.Work, route, result, err)
	return answer.fail(err)
}

// resumeFrom returns the id of the event after which the answer is resumed, or nil
// for a new request. A resumed request gets the id of the original one.
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

// recordOutcome records the metrics and the last event of a request. The event of
// a refusal that is still to be written is recorded by the error handler.
func (f *Frontend) recordOutcome(c echo.Context, work *egretflow.Work, route *egretflow.Route, result relayer.Result, err error) {
	outcome, name := recorder.OutcomeServed, egretflow.EventCompleted
	switch {
	case err == nil:
	case errors.Is(err, relayer.ErrHandedOver) && f.cfg.Dialect == nil:
		outcome = recorder.OutcomeHandedOver
	case errors.Is(context.Cause(c.Request().Context()), context.Canceled):
		outcome, name = recorder.OutcomeCancelled, egretflow.EventCancelled
	default:
		outcome, name = string(asRefusal(err).Reason), egretflow.EventRefused
	}
	f.cfg.Metrics.RequestFinished(recorder.Request{
		Route: route.Name, Importance: route.Importance, Outcome: outcome,
		ArrivedAt: work.ArrivedAt, FirstTokenAt: result.FirstTokenAt, LastTokenAt: result.LastTokenAt,
		Tokens: result.Tokens, Retries: result.Retries, QueueTime: result.QueueTime, LongestGap: result.LongestGap,
		FirstTokenTarget: time.Duration(route.FirstTokenTarget), TokenTarget: time.Duration(route.TokenTarget),
	})
	if name == egretflow.EventRefused && !c.Response().Committed {
		return
	}
	if name == egretflow.EventRefused {
		f.cfg.Metrics.AnswerCut(work, outcome)
	}
	f.record(name, work.Request, field("outcome", outcome), number("status", result.Status), number("events", result.Tokens), number("retries", result.Retries),
		milliseconds("waited_ms", result.QueueTime), milliseconds("pause_ms", result.LongestGap), milliseconds("silent_ms", f.silence(result)),
		field("revision", f.currentRevision()))
}

// silence returns the time since the last event of an answer, or 0 if it has none.
func (f *Frontend) silence(result relayer.Result) time.Duration {
	if result.LastTokenAt.IsZero() {
		return 0
	}
	return f.cfg.Clock().Sub(result.LastTokenAt)
}

// currentRevision returns the revision of the tables in force. If it differs from
// that of EventAdmitted, the tables changed while the request ran.
func (f *Frontend) currentRevision() string {
	tables := f.cfg.Tables()
	if tables == nil {
		return ""
	}
	return strconv.FormatUint(uint64(tables.Revision), 10)
}
