package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// progress is a copy of the task state that a reader needs to write its response.
type progress struct {
	generated    int
	ended        bool
	finishReason string
	err          *apiError
	result       *transferParams
	cachedTokens int
}

func (e *Engine) progress(t *task) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{
		generated: t.generated, ended: t.stage == stageEnded, finishReason: t.finishReason,
		err: t.err, result: t.result, cachedTokens: t.cachedTokens,
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	t, apiErr := e.readTask(w, r, chat)
	if apiErr != nil {
		apiErr.write(w)
		return
	}
	local := localAddress(r)
	rd := newReader()
	e.update(func(now time.Time) {
		if !e.cfg.Address.IsValid() {
			e.cfg.Address = local
		}
		apiErr = e.submit(now, t, rd)
	})
	if apiErr != nil {
		e.setLoadHeader(w)
		apiErr.write(w)
		return
	}
	if t.stream {
		e.writeStream(w, r, t, rd, 0)
		return
	}
	e.writeResponse(w, r, t, rd)
}

// submit validates a new task and adds it to the waiting queue. It generates an id
// if the request has none.
func (e *Engine) submit(now time.Time, t *task, rd *reader) *apiError {
	e.stats.Requests++
	e.commands.countLateRequest(now, &e.stats)
	if t.id == "" {
		t.id = fmt.Sprintf("%016x", e.cfg.Rand.Uint64())
	}
	model := e.commands.state.Model
	switch {
	case e.tasks[t.id] != nil:
		return &apiError{http.StatusConflict, "duplicate_request", "a request with this id is known"}
	case model != "" && t.model != model:
		return &apiError{http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is not served", t.model)}
	case e.commands.loading(now):
		return &apiError{http.StatusServiceUnavailable, "model_loading", "the model is being loaded"}
	case t.blocks() > e.cfg.Blocks:
		return &apiError{http.StatusBadRequest, "context_length_exceeded", "the request needs more memory than the engine has"}
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return &apiError{http.StatusServiceUnavailable, "engine_overloaded", "the waiting queue is full"}
	}
	e.seq++
	t.seq = e.seq
	t.stage = stageWaiting
	t.reader = rd
	e.tasks[t.id] = t
	e.waiting = insertByPriority(e.waiting, t)
	return nil
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	sent, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil && r.Header.Get("Last-Event-ID") != "" {
		badRequest("Last-Event-ID must be a number of tokens").write(w)
		return
	}
	rd := newReader()
	var t *task
	e.update(func(time.Time) {
		t = e.tasks[r.PathValue("attempt")]
		if t == nil || !t.stream || sent > t.generated {
			t = nil
			return
		}
		e.stats.Resumes++
		e.attach(t, rd)
	})
	if t == nil {
		(&apiError{http.StatusNotFound, "stream_not_found", "no such stream"}).write(w)
		return
	}
	e.writeStream(w, r, t, rd, max(0, sent))
}

// attach makes rd the reader of the task and aborts the connection of the previous
// reader.
func (e *Engine) attach(t *task, rd *reader) {
	if t.reader != nil {
		close(t.reader.replaced)
	}
	t.reader = rd
	if t.stage != stageEnded {
		t.expiresAt = time.Time{}
	}
}

// detach handles the end of the connection of a reader. A non-streaming task is
// canceled, and a stream can be resumed for StreamRetention. If rd was replaced,
// detach has no effect.
func (e *Engine) detach(now time.Time, t *task, rd *reader) {
	if t.reader != rd {
		return
	}
	t.reader = nil
	if t.stage == stageEnded {
		return
	}
	if !t.stream {
		e.cancelTask(now, t)
		return
	}
	t.expiresAt = now.Add(e.cfg.StreamRetention)
}

// waitForProgress blocks until the task changes and then returns true, or returns
// false when the client disconnects. It aborts the connection if the reader was
// replaced.
func (e *Engine) waitForProgress(r *http.Request, t *task, rd *reader) bool {
	select {
	case <-rd.progress:
		return true
	case <-rd.replaced:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		e.update(func(now time.Time) { e.detach(now, t, rd) })
		return false
	}
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, t *task, rd *reader) {
	p := e.progress(t)
	for !p.ended {
		if !e.waitForProgress(r, t, rd) {
			return
		}
		p = e.progress(t)
	}
	e.abortIfReplaced(rd)
	e.abortOnLostAnswer()
	e.update(func(time.Time) { delete(e.tasks, t.id) })
	e.setLoadHeader(w)
	if p.err != nil {
		p.err.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, responseBody(t, p, e.cfg.Clock()))
}

func (e *Engine) abortIfReplaced(rd *reader) {
	select {
	case <-rd.replaced:
		panic(http.ErrAbortHandler)
	default:
	}
}

// writeStream writes the server-sent events that follow the first sent tokens.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, t *task, rd *reader, sent int) {
	out := newEventWriter(w, t, e.cfg.Clock())
	for {
		p := e.progress(t)
		if p.err != nil && !out.started {
			e.abortIfReplaced(rd)
			e.setLoadHeader(w)
			p.err.write(w)
			return
		}
		if !out.started && (p.generated > 0 || p.ended) {
			e.setLoadHeader(w)
			out.start()
		}
		for ; sent < p.generated; sent++ {
			out.token(sent + 1)
		}
		if p.ended {
			e.abortIfReplaced(rd)
			e.abortOnLostAnswer()
			out.end(p)
			e.update(func(now time.Time) { e.detach(now, t, rd) })
			return
		}
		out.flush()
		if !e.waitForProgress(r, t, rd) {
			return
		}
	}
}

// eventWriter writes the server-sent events of one stream.
type eventWriter struct {
	w           http.ResponseWriter
	t           *task
	chunkPrefix string
	buf         []byte
	started     bool
}

func newEventWriter(w http.ResponseWriter, t *task, now time.Time) *eventWriter {
	object := "text_completion"
	if t.chat {
		object = "chat.completion.chunk"
	}
	model, err := json.Marshal(t.model)
	id, idErr := json.Marshal(t.id)
	if err = errors.Join(err, idErr); err != nil {
		panic(fmt.Sprintf("marshal strings: %v", err))
	}
	return &eventWriter{w: w, t: t, chunkPrefix: fmt.Sprintf(`{"id":%s,"object":"%s","created":%d,"model":%s,"choices":`,
		id, object, now.Unix(), model)}
}

func (o *eventWriter) start() {
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

func (o *eventWriter) startEvent(id int) {
	o.buf = append(o.buf, "id: "...)
	o.buf = strconv.AppendInt(o.buf, int64(id), 10)
	o.buf = append(o.buf, "\ndata: "...)
}

func (o *eventWriter) token(n int) {
	o.startEvent(n)
	o.buf = append(o.buf, o.chunkPrefix...)
	switch {
	case !o.t.chat:
		o.buf = append(o.buf, `[{"index":0,"text":"`...)
	case n == 1:
		o.buf = append(o.buf, `[{"index":0,"delta":{"role":"assistant","content":"`...)
	default:
		o.buf = append(o.buf, `[{"index":0,"delta":{"content":"`...)
	}
	o.buf = appendToken(o.buf, o.t.prompt.answerHash, o.t.prompt.continuedTokens+n)
	if o.t.chat {
		o.buf = append(o.buf, `"},"finish_reason":null}]}`...)
	} else {
		o.buf = append(o.buf, `","finish_reason":null}]}`...)
	}
	o.buf = append(o.buf, "\n\n"...)
}

// end writes the finish reason, the usage if requested, and the [DONE] event. For
// an aborted stream it writes only the finish reason.
func (o *eventWriter) end(p progress) {
	delta := `"text":""`
	if o.t.chat {
		delta = `"delta":{}`
	}
	o.startEvent(p.generated)
	o.buf = fmt.Appendf(o.buf, "%s[{\"index\":0,%s,\"finish_reason\":%q}]}\n\n", o.chunkPrefix, delta, p.finishReason)
	if p.finishReason != "abort" {
		if o.t.includeUsage {
			usage, err := json.Marshal(usageOf(o.t, p))
			if err != nil {
				panic(fmt.Sprintf("marshal usage: %v", err))
			}
			o.startEvent(p.generated)
			o.buf = fmt.Appendf(o.buf, "%s[],\"usage\":%s}\n\n", o.chunkPrefix, usage)
		}
		o.startEvent(p.generated)
		o.buf = append(o.buf, "[DONE]\n\n"...)
	}
	o.flush()
}

func (o *eventWriter) flush() {
	if len(o.buf) == 0 {
		return
	}
	_, _ = o.w.Write(o.buf)
	o.buf = o.buf[:0]
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func usageOf(t *task, p progress) usage {
	u := usage{
		PromptTokens: t.prompt.tokens, CompletionTokens: p.generated,
		TotalTokens: t.prompt.tokens + p.generated,
	}
	u.Details.CachedTokens = min(p.cachedTokens, t.prompt.tokens-1)
	return u
}

func responseBody(t *task, p progress, now time.Time) map[string]any {
	var text strings.Builder
	for n := 1; n <= p.generated; n++ {
		text.WriteString(tokenText(t.prompt.answerHash, t.prompt.continuedTokens+n))
	}
	choice := map[string]any{"index": 0, "finish_reason": p.finishReason}
	object := "text_completion"
	if t.chat {
		object = "chat.completion"
		choice["message"] = Message{Role: "assistant", Content: text.String()}
	} else {
		choice["text"] = text.String()
	}
	body := map[string]any{
		"id": t.id, "object": object, "created": now.Unix(), "model": t.model,
		"choices": []any{choice}, "usage": usageOf(t, p),
	}
	if p.result != nil {
		body["kv_transfer_params"] = p.result
	}
	return body
}

// appendToken appends the text of answer token n to dst.
func appendToken(dst []byte, hash string, n int) []byte {
	dst = append(append(append(dst, 'w'), hash...), '-')
	return append(strconv.AppendInt(dst, int64(n), 10), ' ')
}
