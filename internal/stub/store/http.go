package store

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/egretflow/egretflow/internal/stub/fault"
)

const maxBodyBytes = 4 << 20

func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handle(s, CallRange, func(r *rangeRequest) (any, *statusError) {
		return s.readRange(r), nil
	}))
	mux.HandleFunc("POST /v3/kv/txn", handle(s, CallTxn, func(r *txnRequest) (any, *statusError) {
		return result(s.txn(r))
	}))
	mux.HandleFunc("POST /v3/lease/grant", handle(s, CallLeaseGrant, func(r *leaseRequest) (any, *statusError) {
		return result(s.grant(r))
	}))
	mux.HandleFunc("POST /v3/lease/keepalive", handle(s, CallLeaseKeepalive, func(r *leaseRequest) (any, *statusError) {
		return streamed{s.keepalive(r)}, nil
	}))
	mux.HandleFunc("POST /v3/lease/revoke", handle(s, CallLeaseRevoke, func(r *leaseRequest) (any, *statusError) {
		return result(s.revoke(r))
	}))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	return mux
}

// result converts the typed response of a call to the form that handle takes.
func result[T any](resp T, err *statusError) (any, *statusError) { return resp, err }

// handle returns a handler that decodes a call, waits until it takes effect,
// applies it with s.mu held and writes the response.
func handle[T any](s *Store, call Call, apply func(r *T) (any, *statusError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req T
		if !s.receive(w, r, call, &req) {
			return
		}
		s.mu.Lock()
		s.expireLeases()
		resp, failed := apply(&req)
		s.expireLeases()
		s.mu.Unlock()
		if canLoseAnswer(call) && s.Faults.Take(fault.LostAnswer) {
			panic(http.ErrAbortHandler)
		}
		if failed != nil {
			writeError(w, failed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		writeJSON(w, resp)
	}
}

// receive counts and decodes a call and waits until it takes effect. If it
// returns false, it has already written an error response.
func (s *Store) receive(w http.ResponseWriter, r *http.Request, call Call, req any) bool {
	s.mu.Lock()
	s.calls[call]++
	s.mu.Unlock()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(req); err != nil {
		writeError(w, invalidArgument("decode request: "+err.Error()))
		return false
	}
	// net/http detects a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	wait, ok := s.reserveTurn(isWrite(call))
	if !ok {
		writeError(w, newStatusError(http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests"))
		return false
	}
	_ = s.Faults.Wait(context.WithoutCancel(r.Context()), wait+s.cfg.Latency)
	if s.Faults.Active(fault.Outage) {
		panic(http.ErrAbortHandler)
	}
	return true
}

// reserveTurn reserves the next turn within the rate limit and returns the time
// until then. It returns false, and counts the call as throttled, if the wait
// would exceed maxQueueWait.
func (s *Store) reserveTurn(write bool) (time.Duration, bool) {
	rate := s.cfg.ReadsPerSecond
	if write {
		rate = s.cfg.WritesPerSecond
	}
	if rate <= 0 {
		return 0, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	turn := s.nextTurn[write]
	if turn.Before(now) {
		turn = now
	}
	wait := turn.Sub(now)
	if wait > maxQueueWait {
		s.throttled++
		return 0, false
	}
	s.nextTurn[write] = turn.Add(time.Second / time.Duration(rate))
	return wait, true
}

func isWrite(call Call) bool { return call != CallRange && call != CallWatch }

// canLoseAnswer reports whether LostAnswer faults apply to the call.
func canLoseAnswer(call Call) bool {
	return call == CallTxn || call == CallLeaseGrant || call == CallLeaseRevoke
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if !s.receive(w, r, CallWatch, &req) {
		return
	}
	s.mu.Lock()
	s.watches++
	next, compacted := int64(req.Create.StartRevision), s.compacted
	if next == 0 {
		next = s.revision + 1
	}
	head, aborted := s.header(), s.watchesAborted
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches--
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/json")
	sendWatchResponse(w, watchResponse{Header: head, Created: true})
	if next <= compacted {
		sendWatchResponse(w, watchResponse{Header: head, Canceled: true, CompactRevision: number(compacted + 1)})
		return
	}
	for {
		events, head, changed := s.eventsFrom(&req, next)
		if len(events) > 0 {
			if err := s.Faults.Wait(r.Context(), s.cfg.Latency); err != nil {
				return
			}
			sendWatchResponse(w, watchResponse{Header: head, Events: events})
		}
		next = int64(head.Revision) + 1
		select {
		case <-changed:
		case <-aborted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventsFrom returns the events of a watch from the revision next on, a header
// with the current revision, and a channel that is closed on the next commit.
func (s *Store) eventsFrom(r *watchRequest, next int64) ([]watchEvent, header, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []watchEvent
	first, _ := slices.BinarySearchFunc(s.events, next, func(ev event, revision int64) int {
		return cmp.Compare(ev.revision, revision)
	})
	for _, ev := range s.events[first:] {
		if !rangeContains(r.Create.Key, r.Create.RangeEnd, string(ev.kv.Key)) {
			continue
		}
		w := watchEvent{Kv: ev.kv}
		if ev.deleted {
			w.Type = "DELETE"
		}
		found = append(found, w)
	}
	return found, s.header(), s.changed
}

func sendWatchResponse(w http.ResponseWriter, resp watchResponse) {
	writeJSON(w, streamed{resp})
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func writeError(w http.ResponseWriter, err *statusError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.status)
	writeJSON(w, err)
}

func writeJSON(w io.Writer, v any) {
	// The client may have disconnected; there is nothing left to do then.
	_ = json.NewEncoder(w).Encode(v)
}
