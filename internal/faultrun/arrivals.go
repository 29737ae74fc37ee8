package faultrun

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// markerPattern matches the marker of a request in its prompt or body.
var markerPattern = regexp.MustCompile(`request-[0-9]+-`)

// arrival is one new piece of work that reached a backend server.
type arrival struct {
	at      time.Time
	server  egretflow.ServerName
	from    netip.Addr
	request string
	attempt string
	// notRun reports whether the response of the server stated that the work did not
	// run.
	notRun bool
}

// arrivalLog records the new work that reaches the backend servers.
type arrivalLog struct {
	mu       sync.Mutex
	arrivals []*arrival
}

func newArrivalLog() *arrivalLog { return &arrivalLog{} }

// record returns a handler that records new work before it calls next, the
// handler of a backend server. Resuming a stream is not new work.
func (l *arrivalLog) record(b *backend, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newWork := strings.HasPrefix(r.URL.Path, "/v1/") && r.Method == http.MethodPost || b.service != nil && r.URL.Path != "/faults"
		if !newWork {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		a := &arrival{
			at: time.Now(), server: b.server.Name, from: remoteHost(r),
			request: markerPattern.FindString(string(body)), attempt: r.Header.Get("X-Request-Id"),
		}
		l.mu.Lock()
		l.arrivals = append(l.arrivals, a)
		l.mu.Unlock()
		next.ServeHTTP(&statusWriter{ResponseWriter: w, onStatus: func(status int) {
			l.mu.Lock()
			defer l.mu.Unlock()
			a.notRun = statesNotRun(b, status, w.Header())
		}}, r)
	})
}

// statesNotRun reports whether a response states that the work did not run. An
// engine states it with an error status.
func statesNotRun(b *backend, status int, h http.Header) bool {
	if b.service != nil {
		return h.Get("Egretflow-Run-State") == string(egretflow.RunStateNotRun)
	}
	return status >= http.StatusBadRequest
}

// possibleRuns returns how many arrivals of a request may have run.
func (l *arrivalLog) possibleRuns(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, a := range l.arrivals {
		if a.request == request && !a.notRun {
			count++
		}
	}
	return count
}

// arrivedBetween returns the arrivals at a server after from and before to.
func (l *arrivalLog) arrivedBetween(server egretflow.ServerName, from, to time.Time) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []arrival
	for _, a := range l.arrivals {
		if a.server == server && a.at.After(from) && a.at.Before(to) {
			found = append(found, *a)
		}
	}
	return found
}

func remoteHost(r *http.Request) netip.Addr {
	h, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	addr, _ := netip.ParseAddr(h)
	return addr
}

// statusWriter calls onStatus with the status of a response before it is
// written.
type statusWriter struct {
	http.ResponseWriter
	onStatus func(status int)
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.onStatus(status)
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *statusWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
