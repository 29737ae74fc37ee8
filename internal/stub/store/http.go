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

func result[T any](resp T, err *statusError) (any, *statusError) { return resp, err }

// handle decodes a call, waits for its turn, applies it and answers.
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
		if losesAnswer(call) && s.Faults.Take(fault.LostAnswer) {
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

// receive counts and decodes a call and waits until it takes effect. It
// reports false after it has answered with an error.
func (s *Store) receive(w http.ResponseWriter, r *http.Request, call Call, req any) bool {
	s.mu.Lock()
	s.calls[call]++
	s.mu.Unlock()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(req); err != nil {
		writeError(w, invalid("decode request: "+err.Error()))
		return false
	}
	// A closed connection is noticed only after the body was read to its end.
	_, _ = io.Copy(io.Discard, r.Body)
	wait, ok := s.queue(isWrite(call))
	if !ok {
		writeError(w, failure(http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests"))
		return false
	}
	_ = s.Faults.Wait(context.WithoutCancel(r.Context()), wait+s.cfg.Latency)
	if s.Faults.Active(fault.Outage) {
		panic(http.ErrAbortHandler)
	}
	return true
}

// queue returns the time until the next free turn.
func (s *Store) queue(write bool) (time.Duration, bool) {
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
	turn := s.lines[write]
	if turn.Before(now) {
		turn = now
	}
	wait := turn.Sub(now)
	if wait > longestWait {
		s.refused++
		return 0, false
	}
	s.lines[write] = turn.Add(time.Second / time.Duration(rate))
	return wait, true
}

func isWrite(call Call) bool { return call != CallRange && call != CallWatch }

func losesAnswer(call Call) bool {
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
	head, broken := s.header(), s.broken
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches--
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/json")
	send(w, watchResponse{Header: head, Created: true})
	if next <= compacted {
		send(w, watchResponse{Header: head, Canceled: true, CompactRevision: number(compacted + 1)})
		return
	}
	for {
		events, head, changed := s.eventsFrom(&req, next)
		if len(events) > 0 {
			if err := s.Faults.Wait(r.Context(), s.cfg.Latency); err != nil {
				return
			}
			send(w, watchResponse{Header: head, Events: events})
		}
		next = int64(head.Revision) + 1
		select {
		case <-changed:
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventsFrom returns the events of a watch from a revision on, the current
// revision, and a channel that is closed with the next event of any key.
func (s *Store) eventsFrom(r *watchRequest, next int64) ([]watchEvent, header, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []watchEvent
	first, _ := slices.BinarySearchFunc(s.events, next, func(ev event, revision int64) int {
		return cmp.Compare(ev.revision, revision)
	})
	for _, ev := range s.events[first:] {
		if !contains(r.Create.Key, r.Create.RangeEnd, string(ev.kv.Key)) {
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

func send(w http.ResponseWriter, resp watchResponse) {
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
	// The connection may be gone; the handler has nothing left to do then.
	_ = json.NewEncoder(w).Encode(v)
}
