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

// ConnContext is the http.Server.ConnContext of a stand-in. It lets a Silent
// fault reach connections that are idle when the fault is set.
func (s *Set) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, s.silenceSignal())
}

func (s *Set) silenceSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silence
}

// Handler serves /faults and applies Outage and Silent to everything else.
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
		// A handler that ends or aborts must not close a silenced connection.
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

// Wait sleeps for d, longer during Slow and Stall faults, and returns early
// with the error of ctx.
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

// silentWriter stops delivering when its connection is silenced.
type silentWriter struct {
	http.ResponseWriter
	request  *http.Request
	silenced <-chan struct{}
}

// hangIfSilenced returns at once on a working connection. On a silenced one it
// waits until the client closes the connection and then aborts the request.
func (w *silentWriter) hangIfSilenced() {
	select {
	case <-w.silenced:
	default:
		return
	}
	// The server notices a closed connection only after the body was read.
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
