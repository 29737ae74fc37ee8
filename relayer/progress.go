package relayer

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/pkg/errors"
)

const (
	// maxAttempts bounds the attempts of one request, hedges not counted.
	maxAttempts = 4
	// continueWithin bounds the wait for a place when an answer that has begun
	// continues on another server. A late continuation is better than a cut
	// answer, so it is longer than first-token targets.
	continueWithin = 10 * time.Second
	// observedTokens is the number of tokens per report of the token gap.
	observedTokens = 16
)

// progress is the part of an answer that the caller has received.
type progress struct {
	r      *Relayer
	job    *Job
	result Result
	// text is the generated text up to result.Tokens.
	text []byte
	// passed is the number of tokens that were passed on.
	passed int
	// finished says that the finish reason was passed on.
	finished bool
	// unknownText says that text is incomplete, or that the answer holds more
	// than text, so that no other server can continue it.
	unknownText bool
	// resumed says that another instance began the answer, and resumeAt is the
	// offset that its caller has.
	resumed  bool
	resumeAt int
	attempts int
	// mayHaveRun is set by attempts when a server may have run them.
	mayHaveRun atomic.Bool
}

// relay passes on the rest of a stream and closes it.
func (p *progress) relay(s *stream) error {
	s.idle = p.job.Sink.Flush
	err := p.copy(s)
	if errors.Is(err, errComplete) {
		p.r.cfg.Checker.Check(egretflow.InvariantWholeAnswer, p.finished, p.job.Work.Request, "answer ends without finish reason")
		err = p.job.Sink.Flush()
	}
	s.close(err)
	return err
}

func (p *progress) copy(s *stream) error {
	if s.attempt != nil && p.result.PromptTokens == 0 {
		p.result.PromptTokens = s.attempt.promptTokens
	}
	continues := p.result.Tokens > 0
	gap := gapObserver{p: p, s: s, since: p.r.now(), offset: s.offset}
	for {
		c, err := s.next()
		if err != nil {
			gap.report()
			return err
		}
		if p.text, err = c.AppendText(p.text); err != nil {
			return s.mismatch(err.Error())
		}
		p.result.Tokens = s.base + s.offset
		p.unknownText = p.unknownText || c.Other
		gap.next()
		bare := !c.HasText() && c.Finish() == "" && !c.HasUsage()
		if p.received(s, c) || continues && bare {
			continue
		}
		if err := p.pass(s, c); err != nil {
			return err
		}
	}
}

// received reports whether the caller of a resumed answer has the chunk. Finish
// reason and usage have the offset of the last token.
func (p *progress) received(s *stream, c *openai.Chunk) bool {
	if s.attempt != nil {
		return false
	}
	p.unknownText = s.base > 0 || s.offset < p.resumeAt || c.Other
	return s.offset <= p.resumeAt && (c.HasText() || c.Finish() == "" && !c.HasUsage())
}

func (p *progress) pass(s *stream, c *openai.Chunk) error {
	if !p.result.Started && p.result.Tokens > 0 {
		p.result.FirstTokenAt = p.r.now()
		p.r.record(egretflow.EventFirstToken, p.job.Work, s.assignment(), field("server", s.server.Name))
	}
	p.result.Started = true
	p.check(c)
	if c.HasText() {
		p.result.received(p.r.now())
	}
	if c.HasUsage() && s.base > 0 {
		p.correctUsage(s, c)
	}
	p.finished = p.finished || c.Finish() != ""
	if err := p.job.Sink.Chunk(s.eventID(), c); err != nil {
		return fmt.Errorf("pass on chunk: %w", err)
	}
	return nil
}

// check asserts that no token is passed on twice and nothing after the end (I2).
func (p *progress) check(c *openai.Chunk) {
	repeated := c.HasText() && p.result.Tokens <= p.passed
	p.r.cfg.Checker.Check(egretflow.InvariantAnsweredOnce, !repeated && !(c.HasText() && p.finished), p.job.Work.Request,
		"text was passed on twice or after the end")
	if c.HasText() {
		p.passed = p.result.Tokens
	}
}

// correctUsage replaces the usage of the last attempt by that of the answer:
// what earlier attempts generated is part of its prompt.
func (p *progress) correctUsage(s *stream, c *openai.Chunk) {
	usage, err := c.Usage()
	if err != nil {
		return
	}
	usage.CompletionTokens += s.base
	usage.PromptTokens = max(0, usage.PromptTokens-s.base)
	if p.result.PromptTokens > 0 {
		usage.PromptTokens = p.result.PromptTokens
	}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	c.SetUsage(usage)
}

// concludable reports whether only the end of the answer is missing.
func (p *progress) concludable() bool {
	limit := p.job.Request.MaxTokens
	return p.finished || limit > 0 && p.result.Tokens >= limit
}

// conclude writes the end of an answer whose last token was passed on before
// its server failed.
func (p *progress) conclude() error {
	id := EventID{Request: p.job.Work.Request, Attempt: "none", Server: "none", Base: p.result.Tokens}
	usage := openai.Usage{PromptTokens: p.result.PromptTokens, CompletionTokens: p.result.Tokens}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	for _, data := range openai.EndOfStream(p.job.Request, string(p.job.Work.Request), p.r.now(), usage, p.finished) {
		c, err := openai.ScanChunk(data)
		if err != nil {
			return fmt.Errorf("scan own chunk: %w", err)
		}
		if err := p.job.Sink.Chunk(id, &c); err != nil {
			return fmt.Errorf("pass on end of answer: %w", err)
		}
	}
	return p.job.Sink.Flush()
}

// gapObserver reports the token gap of a decode server.
type gapObserver struct {
	p      *progress
	s      *stream
	since  time.Time
	offset int
}

func (g *gapObserver) next() {
	if g.s.offset-g.offset >= observedTokens {
		g.report()
	}
}

func (g *gapObserver) report() {
	tokens := g.s.offset - g.offset
	if tokens <= 0 {
		return
	}
	now := g.p.r.now()
	g.p.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTokens, Server: g.s.server.Name, Attempt: g.s.id,
		StartedAt: g.since, EndedAt: now, Tokens: tokens,
	})
	g.since, g.offset = now, g.s.offset
}
