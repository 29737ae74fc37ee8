package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/egretflow/egretflow/internal/sse"
	"github.com/pkg/errors"
)

const (
	// stallFactor times the expected token gap is the stall timeout of a stream
	// (4.9).
	stallFactor = 10
	// maxResumes is the maximum number of consecutive resumes without progress.
	maxResumes = 3
	// doneEvent is the data of the last event of a stream.
	doneEvent = "[DONE]"
	// streamRetention is how long an engine keeps a disconnected stream (4.6).
	streamRetention = 3 * time.Second
)

// stream reads the events of one attempt at one decode server. When the connection
// breaks or stalls, it resumes over a new one. It is not safe for concurrent use.
type stream struct {
	r       *Relayer
	job     *Job
	server  *egretflow.Server
	id      egretflow.AttemptID
	attempt *attempt // nil for a stream that another instance opened

	// base is the number of tokens that earlier attempts generated.
	base int
	// offset is the number of tokens read so far.
	offset int
	// finished and usageRead report whether the finish reason and the usage were
	// read.
	finished  bool
	usageRead bool
	// opened reports whether the engine has responded with the stream.
	opened bool
	// brokeAt is when the connection first failed after the last progress.
	brokeAt time.Time
	// resumes counts the resumes since the last progress.
	resumes int
	// stallTimeout is the time without data after which the stream is stalled.
	stallTimeout time.Duration
	// pending holds the chunks that start read and next has not returned yet.
	pending []*openai.Chunk
	// chunk is the chunk that next returned last.
	chunk openai.Chunk
	// beforeRead, if set, is called before each read that may block.
	beforeRead func() error
	// pressure measures how long the stream was not read.
	pressure backpressure

	// ctx is the context of the request.
	ctx context.Context
	// connCtx is the context of the current connection. cancel closes the
	// connection and is nil if there is none.
	connCtx context.Context
	cancel  context.CancelCauseFunc
	watch   *stallWatch
	body    io.ReadCloser
	events  *sse.Reader
}

func newStream(r *Relayer, job *Job, server *egretflow.Server, id egretflow.AttemptID) *stream {
	return &stream{r: r, job: job, server: server, id: id, stallTimeout: minStageTimeout}
}

// start opens the stream with send and reads up to its first token. It allows only
// one resume before the first token, so that a stalled KV cache transfer fails
// soon.
func (s *stream) start(ctx context.Context, send func(context.Context) (*http.Response, error)) error {
	s.ctx = ctx
	s.resumes = maxResumes - 1
	if err := s.connect(send); err != nil {
		if !resumable(err) {
			return err
		}
		if err := s.resume(err); err != nil {
			return err
		}
	}
	var read []*openai.Chunk
	for s.offset == 0 && !s.finished {
		c, err := s.next()
		if err != nil {
			return err
		}
		read = append(read, c.Clone())
	}
	s.pending = read
	s.resumes = 0
	s.stallTimeout = max(minStageTimeout, stallFactor*time.Duration(s.job.Pool.TokenGap))
	s.watch.setTimeout(s.stallTimeout)
	return nil
}

// connect closes the current connection, if any, and opens a new one with send.
func (s *stream) connect(send func(context.Context) (*http.Response, error)) error {
	s.disconnect()
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.connCtx, s.cancel = ctx, cancel
	s.watch = newStallWatch(s.r.cfg.Clock, s.stallTimeout, func(*stallWatch) { cancel(errStalled) })
	resp, err := send(ctx)
	if err != nil {
		s.disconnect()
		return err
	}
	s.body = resp.Body
	s.opened = true
	reader := &watchedReader{stream: s, body: resp.Body}
	s.events = sse.NewReader(reader)
	return nil
}

// close closes the stream and releases or aborts its attempt. A nil err means that
// the answer was read to its end. After ErrHandedOver the work is not aborted, so
// that the engine keeps the stream for the instance that resumes it.
func (s *stream) close(err error) {
	s.disconnect()
	ended := err == nil || errors.Is(err, ErrHandedOver)
	switch {
	case s.attempt == nil && !ended:
		s.r.abortAt(s.server, s.job.Pool.ServerTLS, s.id)
	case s.attempt == nil:
	case ended:
		s.attempt.completed = err == nil
		s.attempt.complete()
	default:
		_ = s.attempt.reportFailure(s.pressure.markUnread(err))
		s.attempt.abort()
	}
}

// disconnect closes the connection, if any, without aborting the work.
func (s *stream) disconnect() {
	if s.cancel == nil {
		return
	}
	s.watch.stop()
	s.cancel(context.Canceled)
	if s.body != nil {
		s.body.Close()
		s.body = nil
	}
	s.cancel = nil
}

// watchedReader detects stalls during reads from the connection. Time spent writing
// to a slow caller does not count.
type watchedReader struct {
	stream *stream
	body   io.Reader
}

func (w *watchedReader) Read(p []byte) (int, error) {
	s := w.stream
	if s.beforeRead != nil {
		flushedAt := s.r.now()
		if err := s.beforeRead(); err != nil {
			return 0, err
		}
		s.pressure.noteWrite(s.r.now().Sub(flushedAt))
	}
	s.watch.begin()
	readAt := s.r.now()
	n, err := w.body.Read(p)
	s.watch.end()
	if n > 0 {
		s.pressure.noteRead(s.r.now().Sub(readAt))
	}
	return n, err //nolint:wrapcheck // io.Reader
}

// next returns the next chunk, or errComplete after a complete answer. The chunk is
// valid until the next call.
func (s *stream) next() (*openai.Chunk, error) {
	if len(s.pending) > 0 {
		c := s.pending[0]
		s.pending = s.pending[1:]
		return c, nil
	}
	for {
		id, data, err := s.events.Next()
		if err == nil && string(data) == doneEvent {
			return nil, s.checkComplete()
		}
		if err == nil {
			c, err := s.checkEvent(id, data)
			if c != nil || err != nil {
				return c, err
			}
			continue
		}
		if err := s.resume(err); err != nil {
			return nil, err
		}
	}
}

// checkComplete returns errComplete if the finish reason and the usage were read,
// and otherwise a *failure (4.7).
func (s *stream) checkComplete() error {
	if !s.finished || !s.usageRead {
		return s.mismatch("stream ended without finish reason or usage")
	}
	return errComplete
}

// checkEvent returns the chunk of an event if it is the next one, nil if it is a
// repetition, or a *failure if it belongs to another attempt, follows a gap or is
// malformed (4.7).
func (s *stream) checkEvent(id, data []byte) (*openai.Chunk, error) {
	c, err := openai.ScanChunk(data)
	if err != nil {
		return nil, s.mismatch(err.Error())
	}
	if !c.HasID(string(s.id)) {
		return nil, s.mismatch("chunk of another attempt")
	}
	offset := s.offset
	if len(id) > 0 {
		if offset, err = strconv.Atoi(string(id)); err != nil {
			return nil, s.mismatch("event id is not an offset")
		}
	}
	switch {
	case offset > s.offset+1:
		return nil, s.mismatch(fmt.Sprintf("offset %d follows %d", offset, s.offset))
	case offset < s.offset, offset == s.offset && s.isRepeat(&c):
		return nil, nil
	}
	if offset > s.offset {
		s.resumes = 0
	}
	s.offset = offset
	s.finished = s.finished || c.FinishReason() != ""
	s.usageRead = s.usageRead || c.HasUsage()
	s.chunk = c
	return &s.chunk, nil
}

// isRepeat reports whether a chunk at the current offset was read before. A resumed
// stream may repeat the finish reason and the usage.
func (s *stream) isRepeat(c *openai.Chunk) bool {
	finish, usage := c.FinishReason() != "", c.HasUsage()
	return c.HasText() || (finish || usage) && (!finish || s.finished) && (!usage || s.usageRead)
}

// mismatch records an invalid event and returns it as a *failure.
func (s *stream) mismatch(reason string) error {
	s.r.record(egretflow.EventAnswerMismatch, s.job.Work, s.assignment(), field("server", s.server.Name), field("reason", reason))
	return &failure{kind: failureMismatch, server: s.server.Name, err: errors.New(reason)}
}

// assignment returns the assignment of the stream, or nil if another instance
// opened it.
func (s *stream) assignment() *egretflow.Assignment {
	if s.attempt == nil {
		return nil
	}
	return s.attempt.a
}

func (s *stream) eventID() EventID {
	return EventID{Request: s.job.Work.Request, Attempt: s.id, Server: s.server.Name, Base: s.base, Offset: s.offset}
}
