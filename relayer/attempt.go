package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/pkg/errors"
)

const (
	// patienceFactor and minPatience bound the wait for a stage relative to its
	// expected time (4.9 and section 13).
	patienceFactor = 4
	minPatience    = 400 * time.Millisecond
	// maxPrefills bounds the prefills of one attempt.
	maxPrefills = 3
	// maxAnswerBytes bounds a prefill answer or an error answer.
	maxAnswerBytes = 1 << 20
)

// attempt is one execution of a request under one assignment.
type attempt struct {
	r   *Relayer
	job *Job
	// mayHaveRun is that of the request.
	mayHaveRun *atomic.Bool
	a          *egretflow.Assignment
	// sentText and sentTokens are the part of the answer that the caller
	// already has when the attempt starts.
	sentText   string
	sentTokens int
	// promptTokens is the length of the prompt as the prefill engine counted it.
	promptTokens int
	// unusedTokens counts prompt tokens that were computed and not yet used.
	unusedTokens int
	wastedTokens int
	// dispatched says that a server may know the attempt.
	dispatched bool
	ended      bool
}

// open runs prefill and KV transfer and returns the stream with its first chunk
// read. On an error the attempt is ended.
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
		f := at.fail(err)
		if prefills == maxPrefills || !at.replaceable(f) {
			at.abort()
			return nil, err
		}
		if err := at.replacePrefill(ctx, f); err != nil {
			at.abort()
			return nil, err
		}
	}
}

// replaceable reports whether the decode place is kept for another prefill.
func (at *attempt) replaceable(f *failure) bool {
	if f == nil || f.kind == failureRejected {
		return false
	}
	return f.kind == failureExpired || f.server == at.a.Prefill.Name
}

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

// prefill returns the kv_transfer_params of the result.
func (at *attempt) prefill(ctx context.Context) (json.RawMessage, error) {
	server := at.a.Prefill
	started := at.r.now()
	if by := at.a.GrantExpiresAt; !by.IsZero() && !started.Before(by) {
		return nil, &failure{kind: failureRefused, server: server.Name, err: fmt.Errorf("grant expired at %v", by)}
	}
	ctx, cancel := at.withPatience(ctx, at.a.PrefillBy)
	defer cancel()
	body := at.job.Request.Body(openai.Variant{
		Prefill: true, Priority: at.a.Work.Importance.Rank(), SentText: at.sentText, SentTokens: at.sentTokens,
	})
	resp, err := at.post(ctx, at.r.client.Do, server, body)
	if err != nil {
		return nil, at.probed(ctx, server, err)
	}
	defer resp.Body.Close()
	var answer struct {
		ID       string          `json:"id"`
		Usage    openai.Usage    `json:"usage"`
		Transfer json.RawMessage `json:"kv_transfer_params"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, at.probed(ctx, server, fmt.Errorf("read prefill answer: %w", err))
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, &failure{kind: failureBroken, server: server.Name, err: fmt.Errorf("decode prefill answer: %w", err)}
	}
	if answer.ID != string(at.a.Attempt) {
		at.r.record(egretflow.EventMismatch, at.a.Work, at.a, field("server", server.Name), field("got", answer.ID))
		return nil, &failure{kind: failureMismatch, server: server.Name, err: fmt.Errorf("prefill answer has id %q", answer.ID)}
	}
	at.prefillDone(server, started, answer.Usage)
	return answer.Transfer, nil
}

func (at *attempt) prefillDone(server *egretflow.Server, started time.Time, usage openai.Usage) {
	if at.promptTokens == 0 {
		at.promptTokens = usage.PromptTokens
	}
	at.unusedTokens = usage.PromptTokens - usage.Cached()
	at.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationPrefillDone, Server: server.Name, Attempt: at.a.Attempt,
		StartedAt: started, EndedAt: at.r.now(), Tokens: at.unusedTokens, CachedTokens: usage.Cached(),
	})
	at.r.cfg.Scheduler.Release(egretflow.Release{Attempt: at.a.Attempt, PrefillOnly: true})
	at.r.record(egretflow.EventPrefillDone, at.a.Work, at.a, field("server", server.Name))
}

// decode opens the stream and reads its first chunk, which shows that the KV
// transfer is done.
func (at *attempt) decode(ctx context.Context, transfer json.RawMessage) (*stream, error) {
	server := at.a.Decode
	started := at.r.now()
	s := newStream(at.r, at.job, server, at.a.Attempt)
	s.attempt = at
	s.base = at.sentTokens
	s.patience = patience(at.a.FirstTokenAt.Sub(started))
	body := at.job.Request.Body(openai.Variant{
		Transfer: transfer, Priority: at.a.Work.Importance.Rank(), SentText: at.sentText, SentTokens: at.sentTokens,
	})
	err := s.start(ctx, func(ctx context.Context) (*http.Response, error) {
		return at.post(ctx, at.r.client.Open, server, body)
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

func (at *attempt) withPatience(ctx context.Context, expected time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, patience(expected.Sub(at.r.now())), errStalled)
}

func patience(expected time.Duration) time.Duration { return max(minPatience, patienceFactor*expected) }

// post sends a completion request to an engine. The response has status 200.
func (at *attempt) post(ctx context.Context, do roundTrip, server *egretflow.Server, body []byte) (*http.Response, error) {
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
	resp, used, err := do(req)
	if err != nil && !used && ctx.Err() == nil {
		return nil, unreachable(server, err)
	}
	at.dispatched = at.dispatched || used
	if err != nil {
		at.mayHaveRun.Store(at.mayHaveRun.Load() || used)
		return nil, brokenConnection(ctx, server, err)
	}
	at.r.observeLoad(server, resp)
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		f := errorAnswer(server.Name, resp)
		if f.code == codeTransferFailed {
			f.server = at.a.Prefill.Name
		}
		at.mayHaveRun.Store(at.mayHaveRun.Load() || f.ran())
		return nil, f
	}
	at.mayHaveRun.Store(true)
	return resp, nil
}

// probed turns the error of a prefill into a failure. When the connection broke,
// a probe over a new one tells a lost connection from a lost server.
func (at *attempt) probed(ctx context.Context, server *egretflow.Server, err error) error {
	var f *failure
	if !errors.As(err, &f) {
		f = brokenConnection(ctx, server, err)
	}
	if f.kind == failureBroken && f.status == 0 && at.r.probe(server, at.job.Pool.ServerTLS) != nil {
		f.kind = failureCrashed
	}
	return f
}
