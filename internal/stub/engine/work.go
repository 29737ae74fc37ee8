package engine

import (
	"net/http"
	"strings"
	"time"
)

// passTime adds the time since the last call to the time worked.
func (e *Engine) passTime(now time.Time) {
	for e.workedAt.Before(now) {
		end := now
		if !e.speedUntil.IsZero() && e.speedUntil.Before(end) {
			end = e.speedUntil
		}
		if end.After(e.workedAt) {
			e.worked += time.Duration(float64(end.Sub(e.workedAt)) * e.speed)
			e.workedAt = end
		}
		e.speed, e.speedUntil = e.Faults.Speed()
	}
	e.speed, e.speedUntil = e.Faults.Speed()
}

// work does everything that is due.
func (e *Engine) work(now time.Time) {
	e.expire(now)
	for e.admitNext() || e.finishPrefill(now) || e.startPrefill() || e.step(now) || e.finishExport() {
	}
}

// arm sets the timer for the next event.
func (e *Engine) arm(now time.Time) {
	var next time.Time
	sooner := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	working := false
	due := func(at time.Duration) {
		working = true
		if e.speed > 0 {
			sooner(now.Add(time.Duration(float64(at-e.worked)/e.speed) + 1))
		}
	}
	if e.prefilling != nil {
		due(e.prefillDue)
	}
	if len(e.decodes) > 0 {
		due(e.stepDue)
	}
	if x := e.link.active(); x != nil {
		due(x.due)
	}
	if working {
		sooner(e.speedUntil)
	}
	for _, t := range e.tasks {
		sooner(t.dropAt)
	}
	for _, r := range e.link.results {
		if !r.exporting {
			sooner(r.expiresAt)
		}
	}
	switch {
	case next.IsZero() && e.timer != nil:
		e.timer.Stop()
	case next.IsZero():
	case e.timer != nil:
		e.timer.Reset(next.Sub(now))
	default:
		e.timer = time.AfterFunc(next.Sub(now), func() { e.do(func(time.Time) {}) })
	}
}

// expire forgets abandoned streams and prefill results.
func (e *Engine) expire(now time.Time) {
	for id, t := range e.tasks {
		if t.dropAt.IsZero() || now.Before(t.dropAt) {
			continue
		}
		e.end(now, t, "abort", nil)
		delete(e.tasks, id)
	}
	for _, r := range e.link.results {
		if !r.exporting && !now.Before(r.expiresAt) {
			e.dropResult(r)
		}
	}
}

func (e *Engine) slotsInUse() int { return len(e.prefills) + len(e.imports) + len(e.decodes) }

// admitNext gives the first waiting task a slot and its memory.
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
	t.cached = len(t.memory.chunks) * chunkTokens
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
	e.prefillStart = e.worked
	e.prefillDue = e.worked + durationAt(int64(t.computeTokens()), int64(e.cfg.PrefillTokensPerSecond))
	return true
}

func (e *Engine) finishPrefill(now time.Time) bool {
	t := e.prefilling
	if t == nil || e.worked < e.prefillDue {
		return false
	}
	e.prefilling = nil
	e.prefills = remove(e.prefills, t)
	e.stats.PrefillTokens += t.computeTokens()
	e.stats.CachedTokens += t.prompt.tokens - t.computeTokens()
	if e.crashedBy(now, t) {
		return true
	}
	e.memory.share(t.memory, t.prompt.prefix)
	if t.kind == kindPrefill {
		t.generated = 1
		t.result = e.keepResult(now, t)
		e.end(now, t, "length", nil)
		return true
	}
	e.startDecode(t)
	e.advance(now, t)
	return true
}

// crashedBy crashes the engine if the task carries the marker.
func (e *Engine) crashedBy(now time.Time, t *task) bool {
	if !strings.Contains(t.prompt.text, CrashMarker) {
		return false
	}
	e.crash(now, now.Add(e.cfg.RestartAfter))
	return true
}

func (e *Engine) startDecode(t *task) {
	t.stage = stageDecode
	if len(e.decodes) == 0 {
		e.stepDue = e.worked + e.cfg.TokenGap
	}
	e.decodes = append(e.decodes, t)
}

// step gives every running stream one token.
func (e *Engine) step(now time.Time) bool {
	if len(e.decodes) == 0 || e.worked < e.stepDue {
		return false
	}
	e.stepDue += e.cfg.TokenGap
	for n := len(e.decodes) - 1; n >= 0; n-- {
		t := e.decodes[n]
		if t.kind == kindImport && t.generated == 0 && e.crashedBy(now, t) {
			return true
		}
		e.advance(now, t)
	}
	return true
}

// advance generates one token.
func (e *Engine) advance(now time.Time, t *task) {
	t.generated++
	e.stats.OutputTokens++
	if t.generated >= t.maxTokens {
		e.end(now, t, "length", nil)
		return
	}
	t.signal()
}

// end takes the task off the engine and frees its memory. The record is kept
// for readers until dropAt.
func (e *Engine) end(now time.Time, t *task, finish string, err *apiError) {
	if t.stage == stageEnded {
		return
	}
	e.countUnused(t)
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
	t.stage, t.finish, t.err = stageEnded, finish, err
	t.dropAt = now.Add(e.cfg.StreamKept)
	t.signal()
}

// countUnused counts the prompt tokens that were computed for a task that ends
// during its prefill.
func (e *Engine) countUnused(t *task) {
	if e.prefilling != t || e.worked >= e.prefillDue {
		return
	}
	done := float64(e.worked-e.prefillStart) / float64(e.prefillDue-e.prefillStart)
	tokens := int(done * float64(t.computeTokens()))
	e.stats.PrefillTokens += tokens
	e.stats.PrefillTokensUnused += tokens
}

// cancel ends a task early and forgets it.
func (e *Engine) cancel(now time.Time, t *task) {
	e.end(now, t, "abort", &apiError{http.StatusBadRequest, "request_aborted", "the request was aborted"})
	delete(e.tasks, t.id)
}

func durationAt(amount, perSecond int64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(amount) / float64(perSecond) * float64(time.Second))
}
