package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
)

// scriptedScheduler assigns the first server of the script that has the required
// stage and is not in Work.Avoid.
type scriptedScheduler struct {
	script        *script
	mu            sync.Mutex
	nextID        int
	assignments   map[egretflow.AttemptID]bool
	failedServers []string
	// failureKinds holds the kinds of the observations in failedServers.
	failureKinds []string
	crashes      []string
	// completed counts the released attempts whose answer was received to its end.
	completed int
}

func (s *scriptedScheduler) openAssignments() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.assignments)
}

func (s *scriptedScheduler) pick(work *egretflow.Work, stage string) *egretflow.Server {
	for _, v := range s.script.servers {
		avoided := false
		for _, name := range work.Avoid {
			avoided = avoided || string(name) == v.name
		}
		if v.stage == stage && !avoided {
			return &egretflow.Server{Name: egretflow.ServerName(v.name), Address: v.address, Slots: 1}
		}
	}
	return nil
}

func (s *scriptedScheduler) Acquire(ctx context.Context, work *egretflow.Work) (*egretflow.Assignment, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	a := &egretflow.Assignment{Attempt: egretflow.AttemptID(strconv.Itoa(s.nextID)), Work: work, FirstTokenAt: time.Now(), PrefillBy: time.Now()}
	stage := "service"
	if (s.script.kind == "stream" || s.script.kind == "resumable") && !s.script.assignsService && !(s.script.assignsServiceLater && s.nextID > 1) {
		stage = "decode"
		a.Prefill = s.pick(work, "prefill")
	}
	a.Decode = s.pick(work, stage)
	late := s.script.refusesLate && time.Now().After(work.FirstTokenBy)
	if late || a.Decode == nil || stage == "decode" && a.Prefill == nil {
		return nil, &egretflow.Refusal{Status: 503, Reason: egretflow.RefusalNoServer, RunState: egretflow.RunStateNotRun, Message: "no server"}
	}
	if s.assignments == nil {
		s.assignments = map[egretflow.AttemptID]bool{}
	}
	s.assignments[a.Attempt] = true
	return a, nil
}

func (s *scriptedScheduler) Replace(_ context.Context, a *egretflow.Assignment) (*egretflow.Assignment, error) {
	next := *a
	if next.Prefill = s.pick(a.Work, "prefill"); next.Prefill == nil {
		return nil, &egretflow.Refusal{Status: 503, Reason: egretflow.RefusalNoServer, RunState: egretflow.RunStateNotRun, Message: "no server"}
	}
	return &next, nil
}

// Observe records the servers that are reported as failed, crashed or silent, or to state errors.
func (s *scriptedScheduler) Observe(o egretflow.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Kind == egretflow.ObservationCrashed && !o.Unsent {
		s.crashes = append(s.crashes, string(o.Server))
	}
	switch o.Kind {
	case egretflow.ObservationErrored, egretflow.ObservationFailed, egretflow.ObservationCrashed, egretflow.ObservationSilent:
		s.failedServers, s.failureKinds = append(s.failedServers, string(o.Server)), append(s.failureKinds, string(o.Kind))
	}
}

// reportedCrashes returns the names of the servers that crashed while they ran an
// attempt, separated by commas.
func (s *scriptedScheduler) reportedCrashes() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.crashes, ",")
}

// reportedKinds returns the kinds of the observations of failures, separated by commas.
func (s *scriptedScheduler) reportedKinds() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.failureKinds, ",")
}

// reportedFailures returns the names of the servers that Observe recorded, separated
// by commas.
func (s *scriptedScheduler) reportedFailures() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.failedServers, ",")
}

func (s *scriptedScheduler) Release(r egretflow.Release) {
	if r.PrefillOnly {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.assignments, r.Attempt)
	if r.Complete {
		s.completed++
	}
}

// completedAnswers returns the number of attempts whose answer was received to its end.
func (s *scriptedScheduler) completedAnswers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed
}

// scriptedGate closes the servers that the script names and those that state that they
// are leaving.
type scriptedGate struct {
	mu     sync.Mutex
	closed []egretflow.ServerName
	stated []string
	paused []string
}

func (g *scriptedGate) AcceptsWork(name egretflow.ServerName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !slices.Contains(g.closed, name)
}

func (g *scriptedGate) MarkLeaving(name egretflow.ServerName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.stated = append(g.closed, name), append(g.stated, string(name))
}

func (g *scriptedGate) PauseUntil(name egretflow.ServerName, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.paused = append(g.closed, name), append(g.paused, string(name))
}

func (g *scriptedGate) Closed(egretflow.PoolName) egretflow.ClosedServers {
	g.mu.Lock()
	defer g.mu.Unlock()
	return egretflow.ClosedServers{Names: slices.Clone(g.closed)}
}

// scriptedDialect implements only the headers that the scripts check.
type scriptedDialect struct{}

func (scriptedDialect) ReadRequest(*http.Request, time.Time) (egretflow.RequestMetadata, error) {
	return egretflow.RequestMetadata{}, nil
}

func (scriptedDialect) WriteExchange(h http.Header, t egretflow.ExchangeMetadata, _ time.Time) {
	h.Set("After", t.ResumeAfter)
}

func (scriptedDialect) ReadResponse(resp *http.Response, now time.Time) egretflow.ResponseMetadata {
	return egretflow.ResponseMetadata{
		ID: resp.Header.Get("Request"), Signed: resp.Header.Get("Stamp") != "", Contradictory: len(resp.Header["Request"]) > 1 || len(resp.Header["Stamp"]) > 1 || resp.Header.Get("Not-Run") != "" && resp.StatusCode == http.StatusOK, NotRun: resp.Header.Get("Not-Run") != "", ReadAsNotRun: resp.StatusCode == http.StatusServiceUnavailable,
		Leaving: resp.Header.Get("Leaving") != "", RetryAt: connector.RetryAt(resp.StatusCode, resp.Header, now),
	}
}

func (scriptedDialect) WriteRefusal(http.Header, *egretflow.Refusal, time.Time) {}

// scriptedEngines grants every memory reservation unless the next action of the
// server is "full".
type scriptedEngines struct{ script *script }

func (e *scriptedEngines) TakeHold(_ context.Context, s *egretflow.Server, _ int, _ time.Time) (egretflow.HoldID, error) {
	v := e.script.server(string(s.Name))
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.actions) > 0 && v.actions[0][0] == "full" {
		v.actions = v.actions[1:]
		return "", egretflow.ErrFull
	}
	return "h1", nil
}

func (e *scriptedEngines) ReleaseHold(_ context.Context, s *egretflow.Server, _ egretflow.HoldID) error {
	v := e.script.server(string(s.Name))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropped++
	return nil
}

func (e *scriptedEngines) ReadPrefill(body io.Reader) (egretflow.PrefillResult, error) {
	data, err := io.ReadAll(body)
	return egretflow.PrefillResult{Handle: egretflow.KVHandle(data), Tokens: 100}, err
}

func (e *scriptedEngines) FreePrefill(_ context.Context, s *egretflow.Server, _ egretflow.KVHandle) error {
	v := e.script.server(string(s.Name))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.freed++
	return nil
}

// Load connects to the server, as the client of an engine does.
func (e *scriptedEngines) Load(ctx context.Context, s *egretflow.Server) (*egretflow.LoadReport, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", s.Address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", egretflow.ErrUnavailable, err)
	}
	return &egretflow.LoadReport{}, conn.Close()
}

// Progress responds like an engine that has preempted the request if the server
// preempts its stream, as the script says, and like an unreachable one otherwise.
func (e *scriptedEngines) Progress(_ context.Context, s *egretflow.Server, _ string) (egretflow.Progress, error) {
	v := e.script.server(string(s.Name))
	select {
	case v.checked <- struct{}{}:
	default:
	}
	if v.preempts {
		return egretflow.Progress{Waiting: 1}, nil
	}
	switch v.reports {
	case "Ahead":
		return egretflow.Progress{Running: true, Events: 1000}, nil
	case "Nothing":
		return egretflow.Progress{}, nil
	}
	return egretflow.Progress{}, egretflow.ErrUnavailable
}

func (e *scriptedEngines) SetRole(context.Context, *egretflow.Server, egretflow.Role, egretflow.Holder) error {
	return egretflow.ErrUnavailable
}

type discardRecorder struct{}

func (discardRecorder) Record(egretflow.Event) {}
