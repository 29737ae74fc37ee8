package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
	"github.com/pkg/errors"
)

// failureKind says why an attempt failed.
type failureKind string

const (
	// failureRefused: the server stated that it did not run the work, or no
	// connection was made.
	failureRefused failureKind = "Refused"
	// failureBroken: the connection broke or the answer was malformed.
	failureBroken failureKind = "Broken"
	// failureCrashed: the server process is gone.
	failureCrashed failureKind = "Crashed"
	// failureStalled: nothing arrived in time.
	failureStalled failureKind = "Stalled"
	// failureMismatch: an answer of another attempt, or with a gap.
	failureMismatch failureKind = "Mismatch"
	// failureExpired: the prefill result was gone before its import.
	failureExpired failureKind = "KVExpired"
	// failureFull: the server has no room for the request.
	failureFull failureKind = "Full"
	// failureGone: another server has the address.
	failureGone failureKind = "Gone"
	// failureError: the server ran the request and answered with an error.
	failureError failureKind = "Error"
	// failureRejected: the server rejects the request itself; no other server
	// would take it.
	failureRejected failureKind = "Rejected"
)

// failure is the error of an attempt.
type failure struct {
	kind   failureKind
	server egretflow.ServerName
	// status, code and message are the answer of the server; status is 0 when
	// there was none.
	status  int
	code    string
	message string
	// answer is a whole answer of the server that may be passed on.
	answer *wholeAnswer
	// arrived says that the request reached the server, also if it was refused.
	arrived bool
	// unsent says that no connection to the server was made.
	unsent bool
	err    error
}

func (f *failure) Error() string {
	return fmt.Sprintf("%s at server %s: %v", f.kind, f.server, f.err)
}

func (f *failure) Unwrap() error { return f.err }

// ran reports whether the server may have done work.
func (f *failure) ran() bool {
	return f.kind != failureRefused && f.kind != failureExpired && f.kind != failureFull && f.kind != failureGone
}

var observationOf = map[failureKind]egretflow.ObservationKind{
	failureRefused:  egretflow.ObservationRefused,
	failureFull:     egretflow.ObservationRefused,
	failureGone:     egretflow.ObservationReplaced,
	failureBroken:   egretflow.ObservationFailed,
	failureCrashed:  egretflow.ObservationCrashed,
	failureStalled:  egretflow.ObservationSilent,
	failureMismatch: egretflow.ObservationFailed,
}

// Causes of the end of a connection.
var (
	errStalled = errors.New("no data within the stall timeout")
	// errComplete ends a complete answer. It is not io.EOF, because that is what
	// broken connections return.
	errComplete = errors.New("answer is complete")
	errLost     = errors.New("another attempt answered first")
)

// Error codes of engines.
const (
	codeExpired        = "kv_expired"
	codeOverloaded     = "engine_overloaded"
	codeLoading        = "model_loading"
	codeAborted        = "request_aborted"
	codeTransferFailed = "kv_transfer_failed"
)

// errorAnswer classifies an answer with an error status.
func errorAnswer(server egretflow.ServerName, resp *http.Response) *failure {
	var body struct {
		Error struct {
			Code    any    `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	// A body that is not the usual error object leaves the fields empty.
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	_ = json.Unmarshal(data, &body)
	code, _ := body.Error.Code.(string)
	return &failure{
		kind: answerKind(resp.StatusCode, code), server: server, status: resp.StatusCode, code: code,
		message: body.Error.Message, err: fmt.Errorf("status %d: %s %s", resp.StatusCode, code, body.Error.Message),
	}
}

func answerKind(status int, code string) failureKind {
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

// brokenConnection classifies the error of a connection that was used.
func brokenConnection(ctx context.Context, server *egretflow.Server, err error) *failure {
	kind := failureBroken
	if errors.Is(context.Cause(ctx), errStalled) {
		kind = failureStalled
	}
	return &failure{kind: kind, server: server.Name, err: err}
}

// unreachable is the failure of a connection that was not made.
func unreachable(server *egretflow.Server, err error) *failure {
	f := &failure{kind: failureRefused, server: server.Name, unsent: true, err: err}
	if connector.Refused(err) {
		f.kind = failureCrashed
	}
	return f
}
