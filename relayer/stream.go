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
	// stallFactor times the expected token gap without an event is a stall
	// (4.9).
	stallFactor = 10
	// maxResumes bounds resumes of a stream without progress in between.
	maxResumes = 3
	doneEvent  = "[DONE]"
	// streamKept is how long an engine keeps a disconnected stream (4.6).
	streamKept = 3 * time.Second
)

// stream reads the events of one attempt at one decode server and resumes over
// a new connection when the connection breaks or stalls. Only one goroutine
// uses it.
type stream struct {
	r       *Relayer
	job     *Job
	server  *egretflow.Server
	id      egretflow.AttemptID
	attempt *attempt // nil for a stream that another instance opened

	// base counts the tokens of earlier attempts, offset those read so far.
	base     int
	offset   int
	finished bool
	usage    bool
	// known says that the engine has answered, and brokeAt is when the connection
	// failed after the last progress.
	known   bool
	brokeAt time.Time
	resumes int
	// patience is the time without an event after which the stream is stalled.
	patience time.Duration
	// pending holds the chunks that start has read, until next returns them.
	pending []*openai.Chunk
	// chunk is the one that next returned last.
	chunk openai.Chunk
	// idle is called before a read that may block.
	idle func() error

	ctx context.Context
	// conn is the context of the current connection and cancel closes it; cancel
	// is nil when there is none.
	conn   context.Context
	cancel context.CancelCauseFunc
	watch  *stallWatch
	body   io.ReadCloser
	events *sse.Reader
}

func newStream(r *Relayer, job *Job, server *egretflow.Server, id egretflow.AttemptID) *stream {
	return &stream{r: r, job: job, server: server, id: id, patience: minPatience}
}

// start opens the stream with send and reads up to its first token. Only one
// resume is allowed before it, so that a stalled KV transfer is given up soon.
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
	s.patience = max(minPatience, stallFactor*time.Duration(s.job.Pool.TokenGap))
	s.watch.setPatience(s.patience)
	return nil
}

// connect replaces the connection by the one that send opens.
func (s *stream) connect(send func(context.Context) (*http.Response, error)) error {
	s.disconnect()
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.conn, s.cancel = ctx, cancel
	s.watch = newStallWatch(s.r.cfg.Clock, s.patience, func(*stallWatch) { cancel(errStalled) })
	resp, err := send(ctx)
	if err != nil {
		s.disconnect()
		return err
	}
	s.body = resp.Body
	s.known = true
	reader := &watchedReader{stream: s, body: resp.Body}
	s.events = sse.NewReader(reader)
	return nil
}

// close ends the stream. Without an error the answer was read to its end; when
// it is handed over, the engine keeps it for the instance that resumes it.
func (s *stream) close(err error) {
	s.disconnect()
	ended := err == nil || errors.Is(err, ErrHandedOver)
	switch {
	case s.attempt == nil && !ended:
		s.r.abortAt(s.server, s.job.Pool.ServerTLS, s.id)
	case s.attempt == nil:
	case ended:
		s.attempt.complete()
	default:
		_ = s.attempt.fail(err)
		s.attempt.abort()
	}
}

// disconnect closes the connection and leaves the work at the engine.
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

// watchedReader watches for a stall during each read of the connection. It does
// not watch while the answer is written to a slow caller.
type watchedReader struct {
	stream *stream
	body   io.Reader
}

func (w *watchedReader) Read(p []byte) (int, error) {
	s := w.stream
	if s.idle != nil {
		if err := s.idle(); err != nil {
			return 0, err
		}
	}
	s.watch.begin()
	n, err := w.body.Read(p)
	s.watch.end()
	return n, err //nolint:wrapcheck // io.Reader
}

// next returns the next chunk, or errComplete after a complete answer. The chunk is
// valid until the following call.
func (s *stream) next() (*openai.Chunk, error) {
	if len(s.pending) > 0 {
		c := s.pending[0]
		s.pending = s.pending[1:]
		return c, nil
	}
	for {
		id, data, err := s.events.Next()
		if err == nil && string(data) == doneEvent {
			return nil, s.end()
		}
		if err == nil {
			c, err := s.check(id, data)
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

// end checks that the answer is complete (4.7).
func (s *stream) end() error {
	if !s.finished || !s.usage {
		return s.mismatch("stream ended without finish reason or usage")
	}
	return errComplete
}

// check returns the chunk of an event if it is the next one, nil if it was
// read before, or a failure (4.7).
func (s *stream) check(id, data []byte) (*openai.Chunk, error) {
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
	case offset < s.offset, offset == s.offset && s.repeats(&c):
		return nil, nil
	}
	if offset > s.offset {
		s.resumes = 0
	}
	s.offset = offset
	s.finished = s.finished || c.Finish() != ""
	s.usage = s.usage || c.HasUsage()
	s.chunk = c
	return &s.chunk, nil
}

// repeats reports whether a chunk at the current offset was read before. A
// resumed stream sends finish reason and usage again.
func (s *stream) repeats(c *openai.Chunk) bool {
	finish, usage := c.Finish() != "", c.HasUsage()
	return c.HasText() || (finish || usage) && (!finish || s.finished) && (!usage || s.usage)
}

func (s *stream) mismatch(reason string) error {
	s.r.record(egretflow.EventMismatch, s.job.Work, s.assignment(), field("server", s.server.Name), field("reason", reason))
	return &failure{kind: failureMismatch, server: s.server.Name, err: errors.New(reason)}
}

func (s *stream) assignment() *egretflow.Assignment {
	if s.attempt == nil {
		return nil
	}
	return s.attempt.a
}

func (s *stream) eventID() EventID {
	return EventID{Request: s.job.Work.Request, Attempt: s.id, Server: s.server.Name, Base: s.base, Offset: s.offset}
}
