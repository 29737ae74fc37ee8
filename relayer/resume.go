package relayer

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
	"github.com/pkg/errors"
)

// resume replaces a connection that failed with cause by a new one that continues
// after the current offset. The error is a *failure or the cause of the request's
// context.
func (s *stream) resume(cause error) error {
	stalled := s.cancel != nil && s.stalled() || isStalled(cause)
	for {
		if err := context.Cause(s.ctx); err != nil {
			s.disconnect()
			return err
		}
		if s.resumes == 0 || s.brokeAt.IsZero() {
			s.brokeAt = s.r.now()
		}
		s.resumes++
		if s.resumes > maxResumes {
			return s.resumeFailure(stalled, cause)
		}
		if stalled {
			s.r.record(egretflow.EventSilentConnection, s.job.Work, s.assignment(), field("server", s.server.Name))
		}
		err := s.connect(s.sendResume)
		if err == nil {
			s.r.record(egretflow.EventResumed, s.job.Work, s.assignment(),
				field("server", s.server.Name), field("offset", strconv.Itoa(s.offset)))
			return nil
		}
		if !resumable(err) {
			return err
		}
		cause, stalled = err, isStalled(err)
	}
}

// resumable reports whether err is a failure of the connection, rather than a
// response of the server or the end of the request.
func resumable(err error) bool {
	var f *failure
	return errors.As(err, &f) && f.status == 0 && (f.kind == failureStalled || f.kind == failureBroken)
}

func isStalled(err error) bool {
	var f *failure
	return errors.As(err, &f) && f.kind == failureStalled
}

// stalled reports whether the stall watch cancelled the connection.
func (s *stream) stalled() bool { return errors.Is(context.Cause(s.connCtx), errStalled) }

// keptByEngine reports whether the engine must still have the stream unless it lost
// its state: it opened the stream, and the connection broke less than
// streamRetention ago.
func (s *stream) keptByEngine() bool { return s.opened && s.r.now().Sub(s.brokeAt) < streamRetention }

// resumeFailure returns the failure of a stream after maxResumes resumes without
// progress.
func (s *stream) resumeFailure(stalled bool, cause error) error {
	s.disconnect()
	// A server whose every new connection breaks has crashed.
	kind := failureCrashed
	switch {
	case stalled:
		kind = failureStalled
	case s.pressure.unread():
		kind = failureUnread
	}
	return &failure{kind: kind, server: s.server.Name, err: fmt.Errorf("no progress after %d resumes: %w", maxResumes, cause)}
}

// sendResume requests the rest of the stream from the decode server over a new
// connection. A 404 means that the engine crashed if it must still have the stream.
func (s *stream) sendResume(ctx context.Context) (*http.Response, error) {
	target := serverURL(s.server.Address, s.job.Pool.ServerTLS, "/v1/streams/"+url.PathEscape(string(s.id)))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("build resume request: %w", err)
	}
	req.Header.Set("Last-Event-ID", strconv.Itoa(s.offset))
	resp, used, err := s.r.client.Open(req)
	if err != nil && !used && connector.IsConnRefused(err) {
		return nil, &failure{kind: failureCrashed, server: s.server.Name, err: err}
	}
	if err != nil {
		return nil, connectionFailure(ctx, s.server, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		f := s.r.readErrorResponse(s.server.Name, resp)
		if f.kind = failureBroken; resp.StatusCode == http.StatusNotFound && s.keptByEngine() && !s.pressure.unread() {
			f.kind = failureCrashed
		}
		return nil, f
	}
	return resp, nil
}
