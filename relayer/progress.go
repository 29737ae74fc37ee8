package relayer

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/egretflow/egretflow/reserver"
	"github.com/pkg/errors"
)

const (
	// maxAttempts is the maximum number of attempts of one request, not counting
	// hedges. It is also the default of Call.MaxAttempts.
	maxAttempts = 4
	// continuationTarget is the first-token target when a started answer continues
	// on another server. It is longer than the targets of routes, because a late
	// continuation is better than an answer that is cut off.
	continuationTarget = 10 * time.Second
	// tokensPerObservation is the number of tokens after which the token gap is
	// reported to the scheduler.
	tokensPerObservation = 16
)

// progress holds the state of a model request across its attempts, above all the
// part of the answer that was read.
type progress struct {
	r      *Relayer
	job    *Job
	result Result
	// text is the generated text up to result.Tokens.
	text []byte
	// held is what the answer holds in memory.
	held *reserver.Part
	// writtenTokens is the value of result.Tokens at the last text that was sent to
	// the caller.
	writtenTokens int
	// finished reports whether the finish reason was sent to the caller.
	finished bool
	// textIncomplete reports whether text lacks a part of the answer, or the answer
	// contains more than text, so that no other server can continue it.
	textIncomplete bool
	// resumed reports whether Resume continues an answer that was started before.
	// resumeOffset is the offset of the last event that the caller has received.
	resumed      bool
	resumeOffset int
	// attempts counts the failed attempts.
	attempts int
	// mayHaveRun is set by attempts when a server may have run the request.
	mayHaveRun atomic.Bool
}

// relay sends the rest of a stream to the caller and closes the stream.
func (p *progress) relay(s *stream) error {
	s.beforeRead = p.job.Sink.Flush
	err := p.writeChunks(s)
	if errors.Is(err, errComplete) {
		p.r.cfg.Checker.Check(egretflow.InvariantWholeAnswer, p.finished, p.job.Work.Request, "answer ends without finish reason")
		err = p.job.Sink.Flush()
	}
	s.close(err)
	return err
}

// writeChunks sends the chunks of a stream to the caller until an error or
// errComplete.
func (p *progress) writeChunks(s *stream) error {
	if s.attempt != nil && p.result.PromptTokens == 0 {
		p.result.PromptTokens = s.attempt.promptTokens
	}
	continues := p.result.Tokens > 0
	gap := gapObserver{p: p, s: s, since: p.r.now(), offset: s.offset, written: s.pressure.total}
	for {
		c, err := s.next()
		if err != nil {
			gap.report()
			return err
		}
		if p.text, err = c.AppendText(p.text); err != nil {
			return s.mismatch(err.Error())
		}
		if !p.holdText() {
			return &failure{kind: failureNoRoom, server: s.server.Name, err: reserver.ErrNoRoom}
		}
		p.result.Tokens = s.base + s.offset
		p.textIncomplete = p.textIncomplete || c.HasOtherMembers
		gap.update()
		bare := !c.HasText() && c.FinishReason() == "" && !c.HasUsage()
		if p.alreadySent(s, c) || continues && bare {
			continue
		}
		if err := p.writeChunk(s, c); err != nil {
			return err
		}
	}
}

// holdText counts the text in held, and returns false if there is no room. A response
// that is no stream is collected beside it.
func (p *progress) holdText() bool {
	bytes := int64(cap(p.text))
	if !p.job.Request.Stream {
		bytes *= 2
	}
	return bytes <= p.held.Bytes() || p.held.Resize(bytes)
}

// alreadySent reports whether the caller of a resumed answer has received the
// chunk. Chunks with a finish reason or usage have the offset of the last token, so
// at the resume offset they count as not received. It also updates textIncomplete.
func (p *progress) alreadySent(s *stream, c *openai.Chunk) bool {
	if s.attempt != nil {
		return false
	}
	p.textIncomplete = s.base > 0 || s.offset < p.resumeOffset || c.HasOtherMembers
	return s.offset <= p.resumeOffset && (c.HasText() || c.FinishReason() == "" && !c.HasUsage())
}

// writeChunk sends one chunk to the caller and updates the result.
func (p *progress) writeChunk(s *stream, c *openai.Chunk) error {
	if !p.result.Started && p.result.Tokens > 0 {
		p.result.FirstTokenAt = p.r.now()
		p.r.record(egretflow.EventFirstToken, p.job.Work, s.assignment(), field("server", s.server.Name))
	}
	p.result.Started = true
	p.checkAnsweredOnce(c)
	if c.HasText() {
		p.result.noteEvent(p.r.now())
	}
	if c.HasUsage() && s.base > 0 {
		p.correctUsage(s, c)
	}
	p.finished = p.finished || c.FinishReason() != ""
	startedAt := p.r.now()
	if err := p.job.Sink.Chunk(s.eventID(), c); err != nil {
		return fmt.Errorf("send chunk: %w", err)
	}
	s.pressure.noteWrite(p.r.now().Sub(startedAt))
	return nil
}

// checkAnsweredOnce checks the invariant that no text is sent to the caller twice
// or after the finish reason (I2).
func (p *progress) checkAnsweredOnce(c *openai.Chunk) {
	repeated := c.HasText() && p.result.Tokens <= p.writtenTokens
	p.r.cfg.Checker.Check(egretflow.InvariantAnsweredOnce, !repeated && !(c.HasText() && p.finished), p.job.Work.Request,
		"text was passed on twice or after the end")
	if c.HasText() {
		p.writtenTokens = p.result.Tokens
	}
}

// correctUsage converts the usage of the last attempt to that of the whole answer.
// The tokens that earlier attempts generated were part of its prompt.
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

// onlyEndMissing reports whether the caller has all tokens and lacks at most the
// finish reason and the usage.
func (p *progress) onlyEndMissing() bool {
	limit := p.job.Request.MaxTokens
	return p.finished || limit > 0 && p.result.Tokens >= limit
}

// writeEnd sends the end of an answer to the caller if its server failed after the
// last token.
func (p *progress) writeEnd() error {
	id := EventID{Request: p.job.Work.Request, Attempt: "none", Server: "none", Base: p.result.Tokens}
	usage := openai.Usage{PromptTokens: p.result.PromptTokens, CompletionTokens: p.result.Tokens}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	for _, data := range openai.FinalChunks(p.job.Request, string(p.job.Work.Request), p.r.now(), usage, p.finished) {
		c, err := openai.ScanChunk(data)
		if err != nil {
			return fmt.Errorf("scan generated chunk: %w", err)
		}
		if err := p.job.Sink.Chunk(id, &c); err != nil {
			return fmt.Errorf("send end of answer: %w", err)
		}
	}
	return p.job.Sink.Flush()
}

// gapObserver measures the time between the tokens of a stream and reports it to
// the scheduler.
type gapObserver struct {
	p *progress
	s *stream
	// since, offset and written are the time, the stream offset and the time of all writes
	// to the caller at the last report.
	since   time.Time
	offset  int
	written time.Duration
}

// update reports to the scheduler once enough tokens were read since the last
// report.
func (g *gapObserver) update() {
	if g.s.offset-g.offset >= tokensPerObservation {
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
		StartedAt: g.since.Add(g.s.pressure.total - g.written), EndedAt: now, Tokens: tokens,
	})
	g.since, g.offset, g.written = now, g.s.offset, g.s.pressure.total
}
