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
	// callerTimeout is how long a caller waits for the next line of a stream or
	// for a whole response.
	callerTimeout = 12 * time.Second
	// retryDelay is the time between the end of a try and the next try.
	retryDelay = 200 * time.Millisecond
	// shutdownMargin is the minimum age of a request at the beginning of a
	// shutdown for the shutdown check to apply. A younger request may have
	// reached the instance after the beginning.
	shutdownMargin = 100 * time.Millisecond
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
	// altered reports whether the body differed from that of the first try.
	altered bool
}

// record is what the caller of a planned request observed.
type record struct {
	request *plannedRequest
	// exchanges holds the exchanges in the order in which they ended.
	exchanges []exchange
	// unanswered reports whether any exchange ended without a status.
	unanswered bool
}

// send sends a planned request with its retries, records what its caller
// observes, and returns the outcome.
func (cl *cluster) send(r *plannedRequest) Outcome {
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
		outcome = cl.stream(ctx, rec)
	case r.kind == kindOrder:
		outcome = cl.order(ctx, rec)
	default:
		outcome = cl.unary(ctx, rec)
	}
	if ctx.Err() != nil {
		outcome = OutcomeCancelled
	}
	cl.report.count(outcome)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.records = append(cl.records, rec)
	return outcome
}

// sendTry sends one HTTP request to the instance of the given try. The caller
// must close the response body; the response is nil if none arrived.
func (cl *cluster) sendTry(ctx context.Context, r *plannedRequest, try int, lastID string) (*http.Response, exchange) {
	i := cl.instances[(r.instance+try)%len(cl.instances)]
	x := exchange{started: time.Now(), instance: i, process: i.current()}
	path, body := r.path(), r.bodyOfTry(try)
	url := "http://" + netip.AddrPortFrom(i.host, callerPort).String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		x.err = err
		return nil, x
	}
	// Without GetBody the transport cannot retry the request by itself.
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
	transport := &http.Transport{DialContext: cl.network.Dialer(host(hostCaller, 0)), DisableKeepAlives: true}
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
	if r.crashesEngine {
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

// bodyOfTry returns the body that a try sends.
func (r *plannedRequest) bodyOfTry(try int) []byte {
	if r.alterLastTry && try == r.tries-1 {
		return append(r.body(), "altered"...)
	}
	return r.body()
}

// expectedText returns the complete text of the expected answer.
func (r *plannedRequest) expectedText() string {
	return engine.AnswerText(engine.PromptText(r.messages()), 1, r.tokens)
}

// stream reads a streamed answer. It resumes the answer at the next instance
// when the connection breaks or the answer is handed over.
func (cl *cluster) stream(ctx context.Context, rec *record) Outcome {
	var a answer
	r := rec.request
	for try := range r.tries {
		if try > 0 && sleep(ctx, retryDelay) != nil {
			return OutcomeCancelled
		}
		if a.lastID != "" {
			cl.report.countResumed()
		}
		end := cl.streamOnce(ctx, rec, try, &a)
		cl.checkPrefix(rec, &a)
		switch end {
		case endDone:
			cl.checkCompleteStream(rec, &a)
			return OutcomeWhole
		case endError:
			return OutcomeCut
		case endUnmarked:
			if ctx.Err() == nil {
				cl.report.violate(egretflow.InvariantWholeAnswer, "%s ended without [DONE], an error or a handover after %d events", r.marker(), a.events)
			}
			return OutcomeCut
		case "":
			if a.lastID != "" {
				// The resume was rejected: the engine no longer has the answer.
				return OutcomeCut
			}
		}
	}
	if a.lastID != "" {
		return OutcomeCut
	}
	return OutcomeRefused
}

// streamOnce sends one try and reads its response. The returned end is empty if
// the try was rejected.
func (cl *cluster) streamOnce(ctx context.Context, rec *record, try int, a *answer) streamEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(callerTimeout, cancel)
	defer timeout.Stop()
	resp, x := cl.sendTry(ctx, rec.request, try, a.lastID)
	defer func() { rec.add(x) }()
	if resp == nil {
		cl.checkNotCutByShutdown(ctx, rec, &x)
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
		cl.checkNotCutByShutdown(ctx, rec, &x)
	}
	return end
}

func (rec *record) add(x exchange) {
	rec.exchanges = append(rec.exchanges, x)
	if x.status == 0 {
		rec.unanswered = true
	}
}

// checkPrefix checks that the text received so far is a prefix of the expected
// answer (I3).
func (cl *cluster) checkPrefix(rec *record, a *answer) {
	got, want := a.text.String(), rec.request.expectedText()
	if !strings.HasPrefix(want, got) {
		cl.report.violate(egretflow.InvariantWholeAnswer, "%s got a wrong text after %d events: %s", rec.request.marker(), a.events, difference(got, want))
	}
}

// difference describes where got first differs from want.
func difference(got, want string) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	return fmt.Sprintf("byte %d of %d: got %.40q, want %.40q", at, len(got), got[at:], want[min(at, len(want)):])
}

// checkCompleteStream checks a stream that ended as complete (I2, I3).
func (cl *cluster) checkCompleteStream(rec *record, a *answer) {
	r := rec.request
	if got, want := a.text.String(), r.expectedText(); got != want && strings.HasPrefix(want, got) {
		cl.report.violate(egretflow.InvariantWholeAnswer, "%s ended with [DONE] after %d of %d bytes", r.marker(), len(got), len(want))
	}
	if a.done != 1 || a.finishes != 1 || a.usages != 1 {
		cl.report.violate(egretflow.InvariantAnsweredOnce, "%s has %d [DONE] events, %d finish reasons and %d usages", r.marker(), a.done, a.finishes, a.usages)
	}
	if a.tokens != r.tokens {
		cl.report.violate(egretflow.InvariantWholeAnswer, "%s has a usage of %d tokens, want %d", r.marker(), a.tokens, r.tokens)
	}
}

// unary sends a plain model request or a service call, with retries.
func (cl *cluster) unary(ctx context.Context, rec *record) Outcome {
	r := rec.request
	for try := range r.tries {
		if try > 0 && sleep(ctx, retryDelay) != nil {
			return OutcomeCancelled
		}
		x := cl.unaryOnce(ctx, rec, try)
		rec.add(x)
		switch {
		case x.err == nil && x.status == http.StatusOK:
			cl.checkBody(rec, &x)
			return OutcomeWhole
		case x.err != nil && x.status == http.StatusOK && try == r.tries-1:
			return OutcomeCut
		}
	}
	return OutcomeRefused
}

func (cl *cluster) unaryOnce(ctx context.Context, rec *record, try int) exchange {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	resp, x := cl.sendTry(ctx, rec.request, try, "")
	if resp != nil {
		defer resp.Body.Close()
		x.body, x.err = io.ReadAll(resp.Body)
	}
	if x.err != nil {
		cl.checkNotCutByShutdown(ctx, rec, &x)
	}
	return x
}

// checkBody checks a complete response that was not streamed (I3).
func (cl *cluster) checkBody(rec *record, x *exchange) {
	r := rec.request
	if r.kind == kindPlain {
		var c chunk
		err := json.Unmarshal(x.body, &c)
		if err != nil || len(c.Choices) != 1 || c.Choices[0].Message.Content != r.expectedText() || c.Usage == nil || c.Usage.CompletionTokens != r.tokens {
			cl.report.violate(egretflow.InvariantWholeAnswer, "%s got a wrong answer: %.200s", r.marker(), x.body)
		}
		return
	}
	var got service.Answer
	err := json.Unmarshal(x.body, &got)
	hash := fmt.Sprintf("%016x", xxhash.Sum64(r.body()))
	if err != nil || got.Path != r.path() || got.Key != r.key() || got.BodyHash != hash {
		cl.report.violate(egretflow.InvariantWholeAnswer, "%s got a wrong response: %.200s", r.marker(), x.body)
	}
}

// checkNotCutByShutdown is called for an exchange that failed. It checks that
// the graceful shutdown of the instance did not cut the request (I7). Requests
// that a fault may have cut are left out.
func (cl *cluster) checkNotCutByShutdown(ctx context.Context, rec *record, x *exchange) {
	if ctx.Err() != nil || x.process == nil || errors.Is(x.err, context.Canceled) || errors.Is(x.err, syscall.ECONNREFUSED) {
		// The request was cancelled, or it never reached the instance.
		return
	}
	began := x.process.shutdownStartedAt()
	if began.IsZero() || x.started.Add(shutdownMargin).After(began) || !x.instance.noConnectionFaultSince(x.started) {
		return
	}
	if rec.request.kind != kindStream && cl.backendFaultSince(x.started) {
		return
	}
	cl.report.violate(egretflow.InvariantNoCutOnShutdown, "%s was cut %v after the shutdown of %s began: %v",
		rec.request.marker(), time.Since(began), x.instance.name(), x.err)
}

// order sends a non-idempotent call and its retries with the same key.
func (cl *cluster) order(ctx context.Context, rec *record) Outcome {
	r := rec.request
	results := make(chan exchange, r.tries)
	for try := range r.tries {
		go func() {
			if !r.concurrent {
				_ = sleep(ctx, time.Duration(try)*callerTimeout/8)
			}
			x := cl.unaryOnce(ctx, rec, try)
			x.altered = r.alterLastTry && try == r.tries-1
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
				cl.checkBody(rec, &x)
			}
		}
	}
	return outcome
}
