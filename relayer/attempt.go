package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
)

const (
	// stageTimeoutFactor times the expected duration of a stage is the timeout of
	// the stage (4.9 and section 13).
	stageTimeoutFactor = 4
	// minStageTimeout is the lower bound of stage timeouts. It is also the timeout
	// of a probe.
	minStageTimeout = 400 * time.Millisecond
	// maxPrefills is the maximum number of prefills of one attempt.
	maxPrefills = 3
	// maxResponseBytes is the maximum size of a prefill, abort or error response.
	maxResponseBytes = 1 << 20
)

// attempt is one execution of a model request under one assignment.
type attempt struct {
	r   *Relayer
	job *Job
	// mayHaveRun points to the field of the request's progress, which all of its
	// attempts share.
	mayHaveRun *atomic.Bool
	a          *egretflow.Assignment
	// sentText and sentTokens are the text and the token count of the part of the
	// answer that the caller has received before the attempt starts.
	sentText   string
	sentTokens int
	// promptTokens is the prompt length that the prefill engine reported.
	promptTokens int
	// unusedTokens counts prompt tokens that the latest prefill computed and that
	// no decode server has used yet. wastedTokens counts those that never will be.
	unusedTokens int
	wastedTokens int
	// sent reports whether a server may know the attempt and must be sent an abort.
	sent  bool
	ended bool
	// completed reports whether the answer was read to its end.
	completed bool
}

// open runs prefill and KV cache transfer and returns the stream once its first
// token was read. If it returns an error, the attempt is already aborted.
func (at *attempt) open(ctx context.Context) (*stream, error) {
	for prefills := 1; ; prefills++ {
		transfer, err := at.prefill(ctx)
		var s *stream
		if err == nil {
			s, err = at.decode(ctx, transfer)
		}
		if err == nil {
			return s, nil
		}
		if ctx.Err() != nil {
			at.abort()
			return nil, context.Cause(ctx)
		}
		f := at.reportFailure(err)
		if prefills == maxPrefills || !at.canReplacePrefill(f) {
			at.abort()
			return nil, err
		}
		if err := at.replacePrefill(ctx, f); err != nil {
			at.abort()
			return nil, err
		}
	}
}

// canReplacePrefill reports whether the attempt can keep its decode server after f
// and repeat only the prefill.
func (at *attempt) canReplacePrefill(f *failure) bool {
	if f == nil || f.kind == failureRejected {
		return false
	}
	return f.kind == failureExpired || f.server == at.a.Prefill.Name
}

// replacePrefill gets an assignment with the same decode server for another
// prefill. Unless the KV cache merely expired, it avoids the failed server.
func (at *attempt) replacePrefill(ctx context.Context, f *failure) error {
	at.r.record(egretflow.EventRetried, at.a.Work, at.a, field("stage", "Prefill"), field("reason", f.kind))
	next := *at.a
	work := *at.a.Work
	if f.kind != failureExpired {
		work.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], f.server)
		at.r.abortAt(at.a.Prefill, at.job.Pool.ServerTLS, at.a.Attempt)
	}
	next.Work = &work
	replaced, err := at.r.cfg.Scheduler.Replace(ctx, &next)
	if err != nil {
		return fmt.Errorf("replace prefill server: %w", err)
	}
	at.a = replaced
	return nil
}

// prefill computes the prompt at the prefill server and returns the
// kv_transfer_params of its response.
func (at *attempt) prefill(ctx context.Context) (json.RawMessage, error) {
	server := at.a.Prefill
	started := at.r.now()
	if expiresAt := at.a.GrantExpiresAt; !expiresAt.IsZero() && !started.Before(expiresAt) {
		return nil, &failure{kind: failureRefused, server: server.Name, err: fmt.Errorf("grant expired at %v", expiresAt)}
	}
	ctx, cancel := at.withStageTimeout(ctx, at.a.PrefillBy)
	defer cancel()
	body := at.job.Request.EngineBody(openai.BodyOptions{
		Prefill: true, Priority: at.a.Work.Importance.Rank(), SentText: at.sentText, SentTokens: at.sentTokens,
	})
	resp, err := at.post(ctx, server, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var result struct {
		ID       string          `json:"id"`
		Usage    openai.Usage    `json:"usage"`
		Transfer json.RawMessage `json:"kv_transfer_params"`
	}
	part := at.r.cfg.Responses.Part()
	defer part.Free()
	data, err := part.ReadAll(resp.Body, resp.ContentLength, maxResponseBytes)
	if err != nil {
		return nil, connectionFailure(ctx, server, fmt.Errorf("read prefill response: %w", err))
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return nil, &failure{kind: failureBroken, server: server.Name, err: fmt.Errorf("decode prefill response: %w", err)}
	}
	if result.ID != string(at.a.Attempt) {
		at.r.record(egretflow.EventAnswerMismatch, at.a.Work, at.a, field("server", server.Name), field("got", result.ID))
		return nil, &failure{kind: failureMismatch, server: server.Name, err: fmt.Errorf("prefill response has id %q", result.ID)}
	}
	at.reportPrefill(server, started, result.Usage)
	return result.Transfer, nil
}

// reportPrefill reports a completed prefill to the scheduler, releases the prefill
// server and records the event.
func (at *attempt) reportPrefill(server *egretflow.Server, started time.Time, usage openai.Usage) {
	if at.promptTokens == 0 {
		at.promptTokens = usage.PromptTokens
	}
	at.unusedTokens = usage.PromptTokens - usage.CachedTokens()
	at.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationPrefillDone, Server: server.Name, Attempt: at.a.Attempt,
		StartedAt: started, EndedAt: at.r.now(), Tokens: at.unusedTokens, CachedTokens: usage.CachedTokens(), CacheReported: usage.PromptDetails != nil,
	})
	at.r.cfg.Scheduler.Release(egretflow.Release{Attempt: at.a.Attempt, PrefillOnly: true})
	at.r.record(egretflow.EventPrefillDone, at.a.Work, at.a, field("server", server.Name))
}

// decode opens the stream at the decode server and reads up to its first token,
// which shows that the KV cache transfer is complete.
func (at *attempt) decode(ctx context.Context, transfer json.RawMessage) (*stream, error) {
	server := at.a.Decode
	started := at.r.now()
	s := newStream(at.r, at.job, server, at.a.Attempt)
	s.attempt = at
	s.base = at.sentTokens
	s.stallTimeout = stageTimeout(at.a.FirstTokenAt.Sub(started))
	body := at.job.Request.EngineBody(openai.BodyOptions{
		TransferParams: transfer, Priority: at.a.Work.Importance.Rank(), SentText: at.sentText, SentTokens: at.sentTokens,
	})
	err := s.start(ctx, func(ctx context.Context) (*http.Response, error) {
		return at.post(ctx, server, body)
	})
	if err != nil {
		s.disconnect()
		return nil, err
	}
	at.unusedTokens = 0
	at.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTransferDone, Server: at.a.Prefill.Name, Attempt: at.a.Attempt,
		StartedAt: started, EndedAt: at.r.now(), Tokens: at.promptTokens,
	})
	return s, nil
}

// withStageTimeout returns a context that ends with errStalled after the stage
// timeout of a stage that is expected to end at expected.
func (at *attempt) withStageTimeout(ctx context.Context, expected time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, stageTimeout(expected.Sub(at.r.now())), errStalled)
}

// stageTimeout returns the timeout of a stage with the expected duration.
func stageTimeout(expected time.Duration) time.Duration {
	return max(minStageTimeout, stageTimeoutFactor*expected)
}

// post sends a completion request to an engine. A response with another status
// than 200 is returned as a *failure.
func (at *attempt) post(ctx context.Context, server *egretflow.Server, body []byte) (*http.Response, error) {
	url := serverURL(server.Address, at.job.Pool.ServerTLS, string(at.job.Request.Endpoint))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build engine request: %w", err)
	}
	for key, value := range at.job.Header {
		req.Header.Set(key, value)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", string(at.a.Attempt))
	resp, used, err := at.r.client.Open(req)
	if err != nil && !used && ctx.Err() == nil {
		return nil, dialFailure(server, err)
	}
	at.sent = at.sent || used
	if err != nil {
		at.mayHaveRun.Store(at.mayHaveRun.Load() || used)
		return nil, connectionFailure(ctx, server, err)
	}
	at.r.observeLoad(server, resp)
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		f := at.r.readErrorResponse(server.Name, resp)
		if f.code == codeTransferFailed {
			f.server = at.a.Prefill.Name
		}
		at.mayHaveRun.Store(at.mayHaveRun.Load() || f.mayHaveRun())
		return nil, f
	}
	at.mayHaveRun.Store(true)
	return resp, nil
}
