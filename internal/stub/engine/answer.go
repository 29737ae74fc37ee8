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

// progress is what a reader sees of a task.
type progress struct {
	generated int
	ended     bool
	finish    string
	err       *apiError
	result    *transferParams
	cached    int
}

func (e *Engine) progress(t *task) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{
		generated: t.generated, ended: t.stage == stageEnded, finish: t.finish,
		err: t.err, result: t.result, cached: t.cached,
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	t, bad := e.readTask(w, r, chat)
	if bad != nil {
		bad.write(w)
		return
	}
	local := localAddress(r)
	rd := newReader()
	e.do(func(now time.Time) {
		if !e.cfg.Address.IsValid() {
			e.cfg.Address = local
		}
		bad = e.submit(now, t, rd)
	})
	if bad != nil {
		e.setLoadHeader(w)
		bad.write(w)
		return
	}
	if t.stream {
		e.streamAnswer(w, r, t, rd, 0)
		return
	}
	e.plainAnswer(w, r, t, rd)
}

// submit queues a new task.
func (e *Engine) submit(now time.Time, t *task, rd *reader) *apiError {
	e.stats.Requests++
	e.commands.countLate(now, &e.stats)
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
	e.do(func(time.Time) {
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
	e.streamAnswer(w, r, t, rd, max(0, sent))
}

// attach makes rd the reader of the task.
func (e *Engine) attach(t *task, rd *reader) {
	if t.reader != nil {
		close(t.reader.replaced)
	}
	t.reader = rd
	if t.stage != stageEnded {
		t.dropAt = time.Time{}
	}
}

// detach is called when the connection of a reader is closed.
func (e *Engine) detach(now time.Time, t *task, rd *reader) {
	if t.reader != rd {
		return
	}
	t.reader = nil
	if t.stage == stageEnded {
		return
	}
	if !t.stream {
		e.cancel(now, t)
		return
	}
	t.dropAt = now.Add(e.cfg.StreamKept)
}

// await returns after progress of the task, or false when the connection is
// gone. It aborts the connection of a reader that was replaced.
func (e *Engine) await(r *http.Request, t *task, rd *reader) bool {
	select {
	case <-rd.progress:
		return true
	case <-rd.replaced:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		e.do(func(now time.Time) { e.detach(now, t, rd) })
		return false
	}
}

func (e *Engine) plainAnswer(w http.ResponseWriter, r *http.Request, t *task, rd *reader) {
	p := e.progress(t)
	for !p.ended {
		if !e.await(r, t, rd) {
			return
		}
		p = e.progress(t)
	}
	e.abortIfReplaced(rd)
	e.loseAnswer()
	e.do(func(time.Time) { delete(e.tasks, t.id) })
	e.setLoadHeader(w)
	if p.err != nil {
		p.err.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, plainBody(t, p, e.cfg.Clock()))
}

func (e *Engine) abortIfReplaced(rd *reader) {
	select {
	case <-rd.replaced:
		panic(http.ErrAbortHandler)
	default:
	}
}

// streamAnswer writes the events after the given number of tokens.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, t *task, rd *reader, sent int) {
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
			e.loseAnswer()
			out.end(p)
			e.do(func(now time.Time) { e.detach(now, t, rd) })
			return
		}
		out.flush()
		if !e.await(r, t, rd) {
			return
		}
	}
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	t       *task
	head    string
	buf     []byte
	started bool
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
	return &eventWriter{w: w, t: t, head: fmt.Sprintf(`{"id":%s,"object":"%s","created":%d,"model":%s,"choices":`,
		id, object, now.Unix(), model)}
}

func (o *eventWriter) start() {
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
}

func (o *eventWriter) open(id int) {
	o.buf = append(o.buf, "id: "...)
	o.buf = strconv.AppendInt(o.buf, int64(id), 10)
	o.buf = append(o.buf, "\ndata: "...)
}

func (o *eventWriter) token(n int) {
	o.open(n)
	o.buf = append(o.buf, o.head...)
	switch {
	case !o.t.chat:
		o.buf = append(o.buf, `[{"index":0,"text":"`...)
	case n == 1:
		o.buf = append(o.buf, `[{"index":0,"delta":{"role":"assistant","content":"`...)
	default:
		o.buf = append(o.buf, `[{"index":0,"delta":{"content":"`...)
	}
	o.buf = appendToken(o.buf, o.t.prompt.hash, o.t.prompt.done+n)
	if o.t.chat {
		o.buf = append(o.buf, `"},"finish_reason":null}]}`...)
	} else {
		o.buf = append(o.buf, `","finish_reason":null}]}`...)
	}
	o.buf = append(o.buf, "\n\n"...)
}

// end writes the finish reason, the usage and the end mark. An aborted stream
// ends without the last two.
func (o *eventWriter) end(p progress) {
	delta := `"text":""`
	if o.t.chat {
		delta = `"delta":{}`
	}
	o.open(p.generated)
	o.buf = fmt.Appendf(o.buf, "%s[{\"index\":0,%s,\"finish_reason\":%q}]}\n\n", o.head, delta, p.finish)
	if p.finish != "abort" {
		if o.t.usage {
			usage, err := json.Marshal(usageOf(o.t, p))
			if err != nil {
				panic(fmt.Sprintf("marshal usage: %v", err))
			}
			o.open(p.generated)
			o.buf = fmt.Appendf(o.buf, "%s[],\"usage\":%s}\n\n", o.head, usage)
		}
		o.open(p.generated)
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
	u.Details.CachedTokens = min(p.cached, t.prompt.tokens-1)
	return u
}

func plainBody(t *task, p progress, now time.Time) map[string]any {
	var text strings.Builder
	for n := 1; n <= p.generated; n++ {
		text.WriteString(tokenText(t.prompt.hash, t.prompt.done+n))
	}
	choice := map[string]any{"index": 0, "finish_reason": p.finish}
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

func appendToken(dst []byte, hash string, n int) []byte {
	dst = append(append(append(dst, 'w'), hash...), '-')
	return append(strconv.AppendInt(dst, int64(n), 10), ' ')
}
