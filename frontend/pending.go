package frontend

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/relayer"
)

// errAnswered is returned to a handler whose request was answered at the end of a
// drain.
var errAnswered = errors.New("the request was answered at the end of the drain")

// progressBytes is what a caller must take of a response within Limits.WriteTimeout.
const progressBytes = 4 << 10

// pendingRequest decides who writes the response of an open request: its handler, or
// the drain if that ends first. It is the http.ResponseWriter of the handler, and
// whoever begins a response claims it for good.
type pendingRequest struct {
	*request
	w http.ResponseWriter
	// clock and writeTimeout set writeDeadline, which ends a write to a caller that
	// does not read. The handler alone uses them.
	clock         egretflow.Clock
	writeTimeout  time.Duration
	writeDeadline time.Time
	// header is the header of the handler's response. It is copied to w when that
	// begins, so that the handler can change it while the drain writes a response.
	header http.Header
	// cancel ends the work of the handler.
	cancel context.CancelCauseFunc
	// read reports whether the request was read to its end, so that it needs a
	// response.
	read atomic.Bool
	// claimed reports whether a response has begun.
	claimed atomic.Bool
	// started reports whether the handler has claimed the response. Only the handler
	// uses it.
	started bool
	// answering is held while the drain writes the response. The handler must not
	// return meanwhile. It guards ended.
	answering sync.Mutex
	// ended reports whether the handler has answered or will do so at once.
	ended bool
}

func (f *Frontend) newPendingRequest(x *request, w http.ResponseWriter, cancel context.CancelCauseFunc) *pendingRequest {
	return &pendingRequest{request: x, w: w, header: http.Header{}, cancel: cancel, clock: f.cfg.Clock, writeTimeout: f.cfg.Limits.WriteTimeout}
}

// Header implements http.ResponseWriter.
func (p *pendingRequest) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter.
func (p *pendingRequest) WriteHeader(status int) { _ = p.start(status) }

// start claims the response for the handler and writes its status and header, unless
// it has begun.
func (p *pendingRequest) start(status int) error {
	if p.started {
		return nil
	}
	if !p.claimed.CompareAndSwap(false, true) {
		return errAnswered
	}
	p.started = true
	maps.Copy(p.w.Header(), p.header)
	p.w.WriteHeader(status)
	return nil
}

// Write implements http.ResponseWriter. It fails if the caller takes less than
// progressBytes within the write timeout.
func (p *pendingRequest) Write(data []byte) (int, error) {
	if err := p.start(http.StatusOK); err != nil {
		return 0, err
	}
	written := 0
	for {
		p.renewWriteDeadline()
		end := min(len(data), written+progressBytes)
		n, err := p.w.Write(data[written:end])
		if written += n; err != nil || written == len(data) {
			return written, err //nolint:wrapcheck // part of http.ResponseWriter
		}
	}
}

// renewWriteDeadline sets the write deadline so that the next write may take between half
// of the write timeout and all of it. The deadline is not renewed for each write, because
// each renewal resets a timer of the connection.
func (p *pendingRequest) renewWriteDeadline() {
	now := p.clock()
	if p.writeDeadline.Sub(now) > p.writeTimeout/2 {
		return
	}
	p.writeDeadline = now.Add(p.writeTimeout)
	// Only response writers of tests do not support deadlines.
	_ = http.NewResponseController(p.w).SetWriteDeadline(p.writeDeadline)
}

// FlushError flushes the response for http.ResponseController.
func (p *pendingRequest) FlushError() error {
	if err := p.start(http.StatusOK); err != nil {
		return err
	}
	p.renewWriteDeadline()
	return http.NewResponseController(p.w).Flush() //nolint:wrapcheck // as if called on w
}

// Unwrap returns the writer whose deadlines http.ResponseController sets.
func (p *pendingRequest) Unwrap() http.ResponseWriter { return p.w }

// answer writes a response unless the handler has begun one, and reports whether it
// did. A request that was not read to its end needs none.
func (p *pendingRequest) answer(status int, header http.Header, body []byte) bool {
	p.answering.Lock()
	defer p.answering.Unlock()
	if p.ended || !p.read.Load() || !p.claimed.CompareAndSwap(false, true) {
		return false
	}
	maps.Copy(p.w.Header(), header)
	// With a length the response is complete before the handler returns.
	p.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = p.w.Write(body)
	_ = http.NewResponseController(p.w).Flush()
	return true
}

// end waits until the drain does not write the response, and keeps it from writing one.
// The handler may return then.
func (p *pendingRequest) end() {
	p.answering.Lock()
	defer p.answering.Unlock()
	p.ended = true
}

// answerPending answers all open requests whose response has not begun. A server may
// have run them, and may still do.
func (f *Frontend) answerPending() {
	for _, p := range f.open.pending() {
		refusal := &egretflow.Refusal{
			Status: http.StatusBadGateway, Reason: egretflow.RefusalDraining, RunState: egretflow.RunStateMayHaveRun,
			Message: "the instance is shutting down", Err: relayer.ErrHandedOver,
		}
		header := http.Header{"Content-Type": {"application/json"}, "Connection": {"close"}}
		status := f.refusalHeader(header, refusal, p.request)
		body, err := json.Marshal(newErrorBody(refusal, p.request))
		if err == nil && p.answer(status, header, body) {
			f.recordRefusal(status, header, refusal, p.request)
		}
	}
}
