package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/reserver"
	"github.com/pkg/errors"
)

// failureKind is the reason why an attempt failed. Its values appear in logs and
// metrics.
type failureKind string

const (
	// failureRefused means that the server stated that it did not run the work, or
	// that it was not sent, for example because no connection was made.
	failureRefused failureKind = "Refused"
	// failureBroken means that the connection broke or that the response was
	// malformed or had an unexpected status.
	failureBroken failureKind = "Broken"
	// failureCrashed means that the server process no longer runs or has lost its
	// state.
	failureCrashed failureKind = "Crashed"
	// failureStalled means that no data arrived within the timeout.
	failureStalled failureKind = "Stalled"
	// failureMismatch means that the response belongs to another request or attempt,
	// or that the stream has a gap or an invalid event.
	failureMismatch failureKind = "Mismatch"
	// failureUnproven means that a whole head arrived that does not prove to be that of the
	// response to the request.
	failureUnproven failureKind = "Unproven"
	// failureExpired means that the prefill server had dropped the KV cache before
	// the decode server imported it.
	failureExpired failureKind = "KVExpired"
	// failureFull means that the server has no free slot or memory for the request.
	failureFull failureKind = "Full"
	// failureReplaced means that another server now uses the address.
	failureReplaced failureKind = "Gone"
	// failureError means that the server ran the request and responded with an error
	// status.
	failureError failureKind = "Error"
	// failureNoRoom means that the responses of other requests take too much memory.
	failureNoRoom failureKind = "NoRoom"
	// failureUnread means that the server cut off a response that this instance did not
	// read, because its caller did not. It says nothing about the server.
	failureUnread failureKind = "Unread"
	// failureRejected means that the request itself is invalid, so that every other
	// server would reject it as well.
	failureRejected failureKind = "Rejected"
)

// failure is the error of an attempt that failed because of a server.
type failure struct {
	kind   failureKind
	server egretflow.ServerName
	// status, code and message are the HTTP status, error code and error message of
	// the server's response; status is 0 if there was none.
	status  int
	code    string
	message string
	// response is a complete response of the server that may be sent to the caller;
	// nil if there is none.
	response *completeResponse
	// delivered reports whether the request may have reached the server, even if the
	// server refused it. It is set for forwarded requests only.
	delivered bool
	// unsent reports whether no connection to the server was made.
	unsent bool
	// unread reports whether the response was not read for some time before the
	// connection broke.
	unread bool
	// sentAt is when the request was sent, if a response has arrived that proves nothing.
	sentAt time.Time
	// retryAt is set if the server wants no work of this instance before then.
	retryAt time.Time
	err     error
}

func (f *failure) Error() string {
	return fmt.Sprintf("%s at server %s: %v", f.kind, f.server, f.err)
}

func (f *failure) Unwrap() error { return f.err }

// mayHaveRun reports whether the server may have worked on the request.
func (f *failure) mayHaveRun() bool {
	return f.kind != failureRefused && f.kind != failureExpired && f.kind != failureFull && f.kind != failureReplaced
}

// observationKinds maps kinds of failures to the observations that the scheduler
// receives. Kinds without an entry are not reported to it.
var observationKinds = map[failureKind]egretflow.ObservationKind{
	failureRefused:  egretflow.ObservationRefused,
	failureFull:     egretflow.ObservationRefused,
	failureReplaced: egretflow.ObservationReplaced,
	failureBroken:   egretflow.ObservationFailed,
	failureCrashed:  egretflow.ObservationCrashed,
	failureStalled:  egretflow.ObservationSilent,
	failureMismatch: egretflow.ObservationFailed,
	failureUnproven: egretflow.ObservationFailed,
}

// observation returns what the scheduler is told of the failure of an attempt at a pool, or
// false if that is nothing. A call without a proven response has failed like one whose
// server states an error: that says nothing of the connection or of the load.
func (f *failure) observation(pool *egretflow.Pool, now time.Time) (egretflow.Observation, bool) {
	kind, ok := observationKinds[f.kind]
	o := egretflow.Observation{Kind: kind, Server: f.server, StartedAt: now, EndedAt: now, Unsent: f.unsent, RetryAt: f.retryAt}
	if f.kind == failureUnproven && pool.Kind == egretflow.PoolKindService {
		o.Kind, o.StartedAt = egretflow.ObservationErrored, f.sentAt
	}
	return o, ok
}

// Causes with which contexts and streams end.
var (
	errStalled = errors.New("no data within the stall timeout")
	// errComplete marks the end of a complete answer. It is distinct from io.EOF,
	// which broken connections return.
	errComplete = errors.New("answer is complete")
	// errRaceLost cancels the attempts that another attempt of the same race beat.
	errRaceLost = errors.New("another attempt answered first")
)

// Error codes in error responses of engines.
const (
	codeExpired        = "kv_expired"
	codeOverloaded     = "engine_overloaded"
	codeLoading        = "model_loading"
	codeAborted        = "request_aborted"
	codeTransferFailed = "kv_transfer_failed"
)

// readErrorResponse reads and classifies an error response of an engine.
func (r *Relayer) readErrorResponse(server egretflow.ServerName, resp *http.Response) *failure {
	var body struct {
		Error struct {
			Code    any    `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	part := r.cfg.Responses.Part()
	defer part.Free()
	// The fields stay empty if the body is not an error object.
	data, _ := part.ReadAll(resp.Body, resp.ContentLength, maxResponseBytes)
	_ = json.Unmarshal(data, &body)
	code, _ := body.Error.Code.(string)
	return &failure{
		kind: errorResponseKind(resp.StatusCode, code), server: server, status: resp.StatusCode, code: code,
		message: body.Error.Message, retryAt: connector.RetryAt(resp.StatusCode, resp.Header, r.now()), err: fmt.Errorf("status %d: %s %s", resp.StatusCode, code, body.Error.Message),
	}
}

// errorResponseKind returns the kind of failure of an error response.
func errorResponseKind(status int, code string) failureKind {
	switch code {
	case codeExpired:
		return failureExpired
	case codeOverloaded, codeLoading:
		return failureRefused
	case codeAborted:
		return failureBroken
	}
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return failureRejected
	}
	return failureBroken
}

// connectionFailure returns the failure for an error of a connection over which a
// request was sent. It is stalled if ctx ended with errStalled.
func connectionFailure(ctx context.Context, server *egretflow.Server, err error) *failure {
	kind := failureBroken
	switch {
	case errors.Is(err, reserver.ErrNoRoom):
		kind = failureNoRoom
	case errors.Is(context.Cause(ctx), errStalled):
		kind = failureStalled
	}
	return &failure{kind: kind, server: server.Name, err: err}
}

// dialFailure returns the failure for a connection that was not made. A refused
// connection means that the server process does not run.
func dialFailure(server *egretflow.Server, err error) *failure {
	f := &failure{kind: failureRefused, server: server.Name, unsent: true, err: err}
	if connector.IsConnRefused(err) {
		f.kind = failureCrashed
	}
	return f
}
