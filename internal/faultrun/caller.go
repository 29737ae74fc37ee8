package faultrun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/service"
)

const (
	// callerPatience is how long a caller waits for the next byte.
	callerPatience = 12 * time.Second
	// retryPause is the time between tries.
	retryPause = 200 * time.Millisecond
	// shutdownRace is the age that a request has when a shutdown can no longer
	// come before its start.
	shutdownRace = 100 * time.Millisecond
)

// exchange is one HTTP request of a caller with its response.
type exchange struct {
	started  time.Time
	instance *instance
	process  *process
	// status is 0 if no response arrived.
	status   int
	runState egretflow.RunState
	body     []byte
	err      error
	// altered says that the body was not that of the first try.
	altered bool
}

// record is what a caller saw of a planned request.
type record struct {
	request *plannedRequest
	// exchanges are those that ended, in order of their ends.
	exchanges []exchange
	// unanswered says that some exchange ended without a status.
	unanswered bool
}

// send plays the caller of a request until its end.
func (w *world) send(r *plannedRequest) Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.cancelAfter > 0 {
		stop := time.AfterFunc(r.cancelAfter, cancel)
		defer stop.Stop()
	}
	rec := &record{request: r}
	var outcome Outcome
	switch {
	case r.kind == kindStream:
		outcome = w.stream(ctx, rec)
	case r.kind == kindOrder:
		outcome = w.order(ctx, rec)
	default:
		outcome = w.unary(ctx, rec)
	}
	if ctx.Err() != nil {
		outcome = OutcomeCancelled
	}
	w.report.count(outcome)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, rec)
	return outcome
}

// open sends one HTTP request to the nth instance from the first choice. The
// response body must be read by the caller of open.
func (w *world) open(ctx context.Context, r *plannedRequest, try int, lastID string) (*http.Response, exchange) {
	i := w.instances[(r.instance+try)%len(w.instances)]
	x := exchange{started: time.Now(), instance: i, process: i.current()}
	path, body := r.path(), r.bodyOf(try)
	url := "http://" + netip.AddrPortFrom(i.host, callerPort).String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		x.err = err
		return nil, x
	}
	// The transport must not send the request again by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Idempotency-Key", r.key())
	req.Header.Set("X-Request-Id", fmt.Sprintf("%s%d", r.marker(), try))
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	if r.timeout > 0 {
		req.Header.Set("X-Request-Deadline", time.Now().Add(r.timeout).Format(time.RFC3339Nano))
	}
	transport := &http.Transport{DialContext: w.network.Dialer(host(hostCaller, 0)), DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		x.err = err
		return nil, x
	}
	x.status = resp.StatusCode
	x.runState = egretflow.RunState(strings.TrimSpace(resp.Header.Get("Egretflow-Run-State")))
	return resp, x
}

func (r *plannedRequest) path() string {
	switch r.kind {
	case kindCall:
		return "/prices/" + r.marker()
	case kindOrder:
		return "/orders/" + r.marker()
	}
	return "/v1/chat/completions"
}

func (r *plannedRequest) messages() []engine.Message {
	content := r.marker() + strings.Repeat("x", r.promptBytes)
	if r.crashes {
		content += engine.CrashMarker
	}
	return []engine.Message{{Role: "user", Content: content}}
}

func (r *plannedRequest) body() []byte {
	if r.kind == kindCall || r.kind == kindOrder {
		return []byte(r.marker() + strings.Repeat("y", r.promptBytes))
	}
	body, err := json.Marshal(map[string]any{
		"model": modelName, "stream": r.kind == kindStream, "max_tokens": r.tokens,
		"stream_options": map[string]any{"include_usage": true}, "messages": r.messages(),
	})
	if err != nil {
		panic(fmt.Sprintf("encode request: %v", err))
	}
	return body
}

// bodyOf returns the body of a try.
func (r *plannedRequest) bodyOf(try int) []byte {
	if r.altered && try == r.tries-1 {
		return append(r.body(), "altered"...)
	}
	return r.body()
}

// text is the whole expected answer.
func (r *plannedRequest) text() string {
	return engine.AnswerText(engine.PromptText(r.messages()), 1, r.tokens)
}

// stream reads a streamed answer and resumes it at the next instance when the
// connection breaks or the answer is handed over.
func (w *world) stream(ctx context.Context, rec *record) Outcome {
	var a answer
	r := rec.request
	for try := range r.tries {
		if try > 0 && sleep(ctx, retryPause) != nil {
			return OutcomeCancelled
		}
		if a.lastID != "" {
			w.report.countResumed()
		}
		end := w.streamPart(ctx, rec, try, &a)
		w.checkPrefix(rec, &a)
		switch end {
		case endDone:
			w.checkWhole(rec, &a)
			return OutcomeWhole
		case endError:
			return OutcomeCut
		case endUnmarked:
			if ctx.Err() == nil {
				w.report.violate(egretflow.InvariantWholeAnswer, "%s ended without a mark after %d events", r.marker(), a.events)
			}
			return OutcomeCut
		case "":
			if a.lastID != "" {
				// The engine no longer has the answer.
				return OutcomeCut
			}
		}
	}
	if a.lastID != "" {
		return OutcomeCut
	}
	return OutcomeRefused
}

// streamPart reads one response; the end is empty for a rejection.
func (w *world) streamPart(ctx context.Context, rec *record, try int, a *answer) streamEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(callerPatience, cancel)
	defer timeout.Stop()
	resp, x := w.open(ctx, rec.request, try, a.lastID)
	defer func() { rec.add(x) }()
	if resp == nil {
		w.checkUninterrupted(ctx, rec, &x)
		return endBroken
	}
	defer resp.Body.Close()
	if x.status != http.StatusOK {
		x.body, x.err = io.ReadAll(resp.Body)
		return ""
	}
	end := a.read(resp.Body, timeout)
	if end == endBroken {
		x.err = io.ErrUnexpectedEOF
		w.checkUninterrupted(ctx, rec, &x)
	}
	return end
}

func (rec *record) add(x exchange) {
	rec.exchanges = append(rec.exchanges, x)
	if x.status == 0 {
		rec.unanswered = true
	}
}

// checkPrefix checks that the text so far is the start of the expected answer
// (I3).
func (w *world) checkPrefix(rec *record, a *answer) {
	got, want := a.text.String(), rec.request.text()
	if !strings.HasPrefix(want, got) {
		w.report.violate(egretflow.InvariantWholeAnswer, "%s got a wrong text after %d events: %s", rec.request.marker(), a.events, difference(got, want))
	}
}

// difference shows where two texts part.
func difference(got, want string) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	return fmt.Sprintf("byte %d of %d: got %.40q, want %.40q", at, len(got), got[at:], want[min(at, len(want)):])
}

// checkWhole checks a complete stream (I2, I3).
func (w *world) checkWhole(rec *record, a *answer) {
	r := rec.request
	if got, want := a.text.String(), r.text(); got != want && strings.HasPrefix(want, got) {
		w.report.violate(egretflow.InvariantWholeAnswer, "%s is marked whole with %d of %d bytes", r.marker(), len(got), len(want))
	}
	if a.done != 1 || a.finishes != 1 || a.usages != 1 {
		w.report.violate(egretflow.InvariantAnsweredOnce, "%s has %d end marks, %d finish reasons and %d usages", r.marker(), a.done, a.finishes, a.usages)
	}
	if a.tokens != r.tokens {
		w.report.violate(egretflow.InvariantWholeAnswer, "%s has a usage of %d tokens, want %d", r.marker(), a.tokens, r.tokens)
	}
}

// unary sends a plain model request or a service call.
func (w *world) unary(ctx context.Context, rec *record) Outcome {
	r := rec.request
	for try := range r.tries {
		if try > 0 && sleep(ctx, retryPause) != nil {
			return OutcomeCancelled
		}
		x := w.unaryOnce(ctx, rec, try)
		rec.add(x)
		switch {
		case x.err == nil && x.status == http.StatusOK:
			w.checkBody(rec, &x)
			return OutcomeWhole
		case x.err != nil && x.status == http.StatusOK && try == r.tries-1:
			return OutcomeCut
		}
	}
	return OutcomeRefused
}

func (w *world) unaryOnce(ctx context.Context, rec *record, try int) exchange {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	resp, x := w.open(ctx, rec.request, try, "")
	if resp != nil {
		defer resp.Body.Close()
		x.body, x.err = io.ReadAll(resp.Body)
	}
	if x.err != nil {
		w.checkUninterrupted(ctx, rec, &x)
	}
	return x
}

// checkBody checks a whole response (I3).
func (w *world) checkBody(rec *record, x *exchange) {
	r := rec.request
	if r.kind == kindPlain {
		var c chunk
		err := json.Unmarshal(x.body, &c)
		if err != nil || len(c.Choices) != 1 || c.Choices[0].Message.Content != r.text() || c.Usage == nil || c.Usage.CompletionTokens != r.tokens {
			w.report.violate(egretflow.InvariantWholeAnswer, "%s got a wrong answer: %.200s", r.marker(), x.body)
		}
		return
	}
	var got service.Answer
	err := json.Unmarshal(x.body, &got)
	hash := fmt.Sprintf("%016x", xxhash.Sum64(r.body()))
	if err != nil || got.Path != r.path() || got.Key != r.key() || got.BodyHash != hash {
		w.report.violate(egretflow.InvariantWholeAnswer, "%s got a wrong response: %.200s", r.marker(), x.body)
	}
}

// checkUninterrupted checks that a request was not cut by the graceful
// shutdown of its instance (I7).
func (w *world) checkUninterrupted(ctx context.Context, rec *record, x *exchange) {
	if ctx.Err() != nil || x.process == nil || errors.Is(x.err, context.Canceled) || errors.Is(x.err, syscall.ECONNREFUSED) {
		// A refused connection carried no request.
		return
	}
	began := x.process.shutdownBegan()
	if began.IsZero() || x.started.Add(shutdownRace).After(began) || !x.instance.undisturbedSince(x.started) {
		return
	}
	if rec.request.kind != kindStream && w.backendsDisturbedSince(x.started) {
		return
	}
	w.report.violate(egretflow.InvariantNoCutOnShutdown, "%s was cut %v after the shutdown of %s began: %v",
		rec.request.marker(), time.Since(began), x.instance.name(), x.err)
}

// order sends a non-idempotent call and its retries with the same key.
func (w *world) order(ctx context.Context, rec *record) Outcome {
	r := rec.request
	results := make(chan exchange, r.tries)
	for try := range r.tries {
		go func() {
			if !r.together {
				_ = sleep(ctx, time.Duration(try)*callerPatience/8)
			}
			x := w.unaryOnce(ctx, rec, try)
			x.altered = r.altered && try == r.tries-1
			results <- x
		}()
	}
	outcome := OutcomeRefused
	for range r.tries {
		x := <-results
		rec.add(x)
		if x.err == nil && x.status == http.StatusOK {
			outcome = OutcomeWhole
			if !x.altered {
				w.checkBody(rec, &x)
			}
		}
	}
	return outcome
}
