// Package service is a stub of an ordinary HTTP service. It counts how often each
// request ran, so that a test can detect duplicate and lost runs.
//
// # Usage
//
//	svc := service.New(service.Config{Name: "order-desk-1", Latency: 20 * time.Millisecond})
//	srv := &http.Server{Handler: svc, ConnContext: svc.Faults.ConnContext}
//	...
//	runs := svc.Stats().Executions["key-1"]
//
// # Rules
//
//  1. Every request is a call, with any path and method, except /faults and GET
//     /stats. A call runs when its body has been read, and the response is sent
//     Latency later. Once its body has been read, a call runs even if its caller
//     disconnects.
//  2. A call that arrives while Slots calls are in progress gets 503 with
//     Egretflow-Run-State NotRun.
//  3. Crash aborts the connection before the call runs, LostAnswer after it
//     ran. Stall delays the call before it runs, and Slow multiplies Latency.
//  4. A call whose body is not received completely does not run.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

const maxBodyBytes = 16 << 20

// Config holds the settings of a Service.
type Config struct {
	// Name is returned as Server in each Answer.
	Name string
	// Latency is the time from the run of a call to its response.
	Latency time.Duration
	// Slots is the number of calls that may be in progress; 0 for no limit.
	Slots int
	Clock egretflow.Clock
}

// Answer is the body of the response to a call.
type Answer struct {
	Server string
	// Execution is the number of this run, counted from 1 over all runs of the
	// service.
	Execution int
	Method    string
	// Path includes the query.
	Path string
	Key  string `json:",omitempty"`
	// BodyHash is the xxhash64 of the request body in hex.
	BodyHash string
}

// Stats holds counts for the checks of tests.
type Stats struct {
	// Executions counts the runs by Idempotency-Key; runs without a key are
	// counted under "".
	Executions map[string]int
	// Total counts all runs.
	Total      int
	SlotsInUse int
	Rejected   int
}

// Service is a stub of an HTTP service. It is an http.Handler and safe for concurrent
// use.
type Service struct {
	// Faults holds the faults that are active on the service.
	Faults *fault.Set

	cfg     Config
	handler http.Handler

	mu    sync.Mutex
	stats Stats
}

// New returns a service without any runs. A nil Clock selects
// egretflow.SystemClock.
func New(cfg Config) *Service {
	if cfg.Clock == nil {
		cfg.Clock = egretflow.SystemClock
	}
	s := &Service{cfg: cfg, Faults: fault.NewSet(cfg.Clock), stats: Stats{Executions: map[string]int{}}}
	// A ServeMux would redirect paths that are not in canonical form.
	s.handler = s.Faults.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/stats" {
			writeJSON(w, s.Stats())
			return
		}
		s.serveCall(w, r)
	}))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Stats returns the current counts.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Executions = maps.Clone(s.stats.Executions)
	return stats
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("read body: %v", err), http.StatusBadRequest)
		return
	}
	if !s.acquireSlot() {
		w.Header().Set("Egretflow-Run-State", string(egretflow.RunStateNotRun))
		http.Error(w, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	// A call that was received runs even if its caller disconnects, so this
	// wait ignores the cancellation of the request.
	_ = s.Faults.Wait(context.WithoutCancel(r.Context()), 0)
	if s.Faults.Take(fault.Crash) {
		panic(http.ErrAbortHandler)
	}
	answer := s.execute(r, body)
	if err := s.Faults.Wait(r.Context(), s.cfg.Latency); err != nil {
		return
	}
	if s.Faults.Take(fault.LostAnswer) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, answer)
}

func (s *Service) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Slots > 0 && s.stats.SlotsInUse >= s.cfg.Slots {
		s.stats.Rejected++
		return false
	}
	s.stats.SlotsInUse++
	return true
}

func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.SlotsInUse--
}

func (s *Service) execute(r *http.Request, body []byte) Answer {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executions[key]++
	s.stats.Total++
	return Answer{
		Server: s.cfg.Name, Execution: s.stats.Total, Method: r.Method, Path: r.URL.RequestURI(),
		Key: key, BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body)),
	}
}

func writeJSON(w io.Writer, v any) {
	// The client may have disconnected; there is nothing left to do then.
	_ = json.NewEncoder(w).Encode(v)
}
