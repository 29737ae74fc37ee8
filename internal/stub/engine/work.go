package engine

import (
	"net/http"
	"strings"
	"time"
)

// advanceWorkTime adds the time since its last call to workTime, at the speed that
// applied.
func (e *Engine) advanceWorkTime(now time.Time) {
	for e.workTimeAt.Before(now) {
		end := now
		if !e.speedUntil.IsZero() && e.speedUntil.Before(end) {
			end = e.speedUntil
		}
		if end.After(e.workTimeAt) {
			e.workTime += time.Duration(float64(end.Sub(e.workTimeAt)) * e.speed)
			e.workTimeAt = end
		}
		e.speed, e.speedUntil = e.Faults.Speed()
	}
	e.speed, e.speedUntil = e.Faults.Speed()
}

// runDueWork does all work that is due at the current work time.
func (e *Engine) runDueWork(now time.Time) {
	e.expire(now)
	for e.admitNext() || e.finishPrefill(now) || e.startPrefill() || e.decodeStep(now) || e.finishExport() {
	}
}

// armTimer sets the timer for the next event, or stops it if there is none.
func (e *Engine) armTimer(now time.Time) {
	var next time.Time
	wakeAt := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	working := false
	wakeAtWorkTime := func(at time.Duration) {
		working = true
		if e.speed > 0 {
			wakeAt(now.Add(time.Duration(float64(at-e.workTime)/e.speed) + 1))
		}
	}
	if e.prefilling != nil {
		wakeAtWorkTime(e.prefillDue)
	}
	if len(e.decodes) > 0 {
		wakeAtWorkTime(e.stepDue)
	}
	if x := e.link.active(); x != nil {
		wakeAtWorkTime(x.due)
	}
	if working {
		wakeAt(e.speedUntil)
	}
	for _, t := range e.tasks {
		wakeAt(t.expiresAt)
	}
	for _, r := range e.link.results {
		if !r.exporting {
			wakeAt(r.expiresAt)
		}
	}
	switch {
	case next.IsZero() && e.timer != nil:
		e.timer.Stop()
	case next.IsZero():
	case e.timer != nil:
		e.timer.Reset(next.Sub(now))
	default:
		e.timer = time.AfterFunc(next.Sub(now), func() { e.update(func(time.Time) {}) })
	}
}

// expire removes the tasks and prefill results whose retention has ended, except
// results that are being exported.
func (e *Engine) expire(now time.Time) {
	for id, t := range e.tasks {
		if t.expiresAt.IsZero() || now.Before(t.expiresAt) {
			continue
		}
		e.endTask(now, t, "abort", nil)
		delete(e.tasks, id)
	}
	for _, r := range e.link.results {
		if !r.exporting && !now.Before(r.expiresAt) {
			e.dropResult(r)
		}
	}
}

func (e *Engine) slotsInUse() int { return len(e.prefills) + len(e.imports) + len(e.decodes) }

// admitNext gives the first waiting task a slot and its memory. It returns false if
// there is no task, no free slot or not enough memory.
func (e *Engine) admitNext() bool {
	if len(e.waiting) == 0 || e.slotsInUse() >= e.cfg.Slots {
		return false
	}
	t := e.waiting[0]
	t.memory = e.memory.allocate(t.prompt.prefix, t.blocks())
	if t.memory == nil {
		return false
	}
	e.waiting = e.waiting[1:]
	t.cachedTokens = len(t.memory.chunks) * chunkTokens
	if t.kind == kindImport {
		t.stage = stageImport
		e.imports = append(e.imports, t)
		e.startImport(t)
		return true
	}
	t.stage = stagePrefill
	e.prefills = insertByPriority(e.prefills, t)
	return true
}

func (e *Engine) startPrefill() bool {
	if e.prefilling != nil || len(e.prefills) == 0 {
		return false
	}
	t := e.prefills[0]
	e.prefilling = t
	e.prefillStart = e.workTime
	e.prefillDue = e.workTime + durationAt(int64(t.tokensToCompute()), int64(e.cfg.PrefillTokensPerSecond))
	return true
}

func (e *Engine) finishPrefill(now time.Time) bool {
	t := e.prefilling
	if t == nil || e.workTime < e.prefillDue {
		return false
	}
	e.prefilling = nil
	e.prefills = remove(e.prefills, t)
	e.stats.PrefillTokens += t.tokensToCompute()
	e.stats.CachedTokens += t.prompt.tokens - t.tokensToCompute()
	if e.crashIfMarked(now, t) {
		return true
	}
	e.memory.cacheChunks(t.memory, t.prompt.prefix)
	if t.kind == kindPrefill {
		t.generated = 1
		t.result = e.retainResult(now, t)
		e.endTask(now, t, "length", nil)
		return true
	}
	e.startDecode(t)
	e.generateToken(now, t)
	return true
}

// crashIfMarked crashes the engine and returns true if the prompt of the task
// contains CrashMarker.
func (e *Engine) crashIfMarked(now time.Time, t *task) bool {
	if !strings.Contains(t.prompt.text, CrashMarker) {
		return false
	}
	e.crash(now, now.Add(e.cfg.RestartAfter))
	return true
}

func (e *Engine) startDecode(t *task) {
	t.stage = stageDecode
	if len(e.decodes) == 0 {
		e.stepDue = e.workTime + e.cfg.TokenGap
	}
	e.decodes = append(e.decodes, t)
}

// decodeStep generates one token for each task in decode if a step is due.
func (e *Engine) decodeStep(now time.Time) bool {
	if len(e.decodes) == 0 || e.workTime < e.stepDue {
		return false
	}
	e.stepDue += e.cfg.TokenGap
	for n := len(e.decodes) - 1; n >= 0; n-- {
		t := e.decodes[n]
		if t.kind == kindImport && t.generated == 0 && e.crashIfMarked(now, t) {
			return true
		}
		e.generateToken(now, t)
	}
	return true
}

// generateToken counts one more token of the task and ends it after its last one.
func (e *Engine) generateToken(now time.Time, t *task) {
	t.generated++
	e.stats.OutputTokens++
	if t.generated >= t.maxTokens {
		e.endTask(now, t, "length", nil)
		return
	}
	t.notifyReader()
}

// endTask removes the task from its queue and frees its memory, unless a prefill
// result holds it. The task itself is retained for readers until expiresAt.
func (e *Engine) endTask(now time.Time, t *task, finishReason string, err *apiError) {
	if t.stage == stageEnded {
		return
	}
	e.countUnusedPrefill(t)
	switch t.stage {
	case stageWaiting:
		e.waiting = remove(e.waiting, t)
	case stagePrefill:
		e.prefills = remove(e.prefills, t)
		if e.prefilling == t {
			e.prefilling = nil
		}
	case stageImport:
		e.imports = remove(e.imports, t)
		t.cancelImport()
	case stageDecode:
		e.decodes = remove(e.decodes, t)
	}
	if t.memory != nil && t.result == nil {
		e.memory.release(t.memory)
	}
	t.stage, t.finishReason, t.err = stageEnded, finishReason, err
	t.expiresAt = now.Add(e.cfg.StreamRetention)
	t.notifyReader()
}

// countUnusedPrefill counts the prompt tokens computed so far if the task ends during
// its prefill.
func (e *Engine) countUnusedPrefill(t *task) {
	if e.prefilling != t || e.workTime >= e.prefillDue {
		return
	}
	done := float64(e.workTime-e.prefillStart) / float64(e.prefillDue-e.prefillStart)
	tokens := int(done * float64(t.tokensToCompute()))
	e.stats.PrefillTokens += tokens
	e.stats.PrefillTokensUnused += tokens
}

// cancelTask ends a task with finish reason abort and removes it, so that it cannot
// be resumed.
func (e *Engine) cancelTask(now time.Time, t *task) {
	e.endTask(now, t, "abort", &apiError{http.StatusBadRequest, "request_aborted", "the request was aborted"})
	delete(e.tasks, t.id)
}

// durationAt returns how long amount takes at a rate per second, or zero if the rate
// is not positive.
func durationAt(amount, perSecond int64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(amount) / float64(perSecond) * float64(time.Second))
}
