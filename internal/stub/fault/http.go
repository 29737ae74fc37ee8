package fault

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

const maxFaultBytes = 4096

type connKey struct{}

// ConnContext is the http.Server.ConnContext of a stub. It lets a Silent fault
// block connections that are idle when the fault is set.
func (s *Set) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, s.silenceSignal())
}

func (s *Set) silenceSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silence
}

// Handler returns a handler that serves /faults itself, and applies Outage and
// Silent to all other requests before it passes them to next.
func (s *Set) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			s.serveFaults(w, r)
			return
		}
		silenced, ok := r.Context().Value(connKey{}).(<-chan struct{})
		if !ok {
			silenced = s.silenceSignal()
		}
		sw := &silentWriter{ResponseWriter: w, request: r, silenced: silenced}
		sw.hangIfSilenced()
		// A silenced connection must stay open when the handler returns or
		// aborts.
		defer sw.hangIfSilenced()
		if s.Take(Outage) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(sw, r)
	})
}

func (s *Set) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodDelete:
		s.Clear()
	case http.MethodPost:
		var f Fault
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Add(f)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Wait blocks for work that takes d at full speed; Slow and Stall faults prolong
// it. With d of zero it returns as soon as no Stall is active. If ctx ends
// first, Wait returns its error.
func (s *Set) Wait(ctx context.Context, d time.Duration) error {
	work := d.Seconds()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		rate, until := s.Speed()
		if work <= 0 && rate > 0 {
			return nil
		}
		start := s.clock()
		var due <-chan time.Time
		if rate > 0 {
			due = time.After(time.Duration(work / rate * float64(time.Second)))
		}
		var ends <-chan time.Time
		if !until.IsZero() {
			ends = time.After(until.Sub(start))
		}
		select {
		case <-due:
			return nil
		case <-ends:
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		work -= s.clock().Sub(start).Seconds() * rate
	}
}

// silentWriter blocks all writes once a Silent fault has silenced its
// connection.
type silentWriter struct {
	http.ResponseWriter
	request  *http.Request
	silenced <-chan struct{}
}

// hangIfSilenced returns immediately if the connection is not silenced.
// Otherwise it waits until the client closes the connection and then aborts the
// request.
func (w *silentWriter) hangIfSilenced() {
	select {
	case <-w.silenced:
	default:
		return
	}
	// net/http detects a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, w.request.Body)
	<-w.request.Context().Done()
	panic(http.ErrAbortHandler)
}

func (w *silentWriter) Write(p []byte) (int, error) {
	w.hangIfSilenced()
	return w.ResponseWriter.Write(p)
}

func (w *silentWriter) WriteHeader(status int) {
	w.hangIfSilenced()
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *silentWriter) Flush() {
	w.hangIfSilenced()
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
