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

// marker finds the number of a request in its prompt or body.
var marker = regexp.MustCompile(`request-[0-9]+-`)

// arrival is one piece of new work that reached a backend server.
type arrival struct {
	at      time.Time
	server  egretflow.ServerName
	from    netip.Addr
	request string
	attempt string
	// refused says that the server stated that the work did not run.
	refused bool
}

// ledger records the work that reaches the backend servers.
type ledger struct {
	mu       sync.Mutex
	arrivals []*arrival
}

func newLedger() *ledger { return &ledger{} }

// observe records new work in front of the handler of a backend server. A
// resumed stream is not new work.
func (l *ledger) observe(b *backend, next http.Handler) http.Handler {
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
			request: marker.FindString(string(body)), attempt: r.Header.Get("X-Request-Id"),
		}
		l.mu.Lock()
		l.arrivals = append(l.arrivals, a)
		l.mu.Unlock()
		next.ServeHTTP(&statusWriter{ResponseWriter: w, refused: func(status int) {
			l.mu.Lock()
			defer l.mu.Unlock()
			a.refused = statesNotRun(b, status, w.Header())
		}}, r)
	})
}

// statesNotRun reports whether a response says that the work did not run.
func statesNotRun(b *backend, status int, h http.Header) bool {
	if b.service != nil {
		return h.Get("Egretflow-Run-State") == string(egretflow.RunStateNotRun)
	}
	return status >= http.StatusBadRequest
}

// ran reports how often work of a request may have run.
func (l *ledger) ran(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, a := range l.arrivals {
		if a.request == request && !a.refused {
			count++
		}
	}
	return count
}

// after returns the work that reached a server after a time.
func (l *ledger) after(server egretflow.ServerName, from, to time.Time) []arrival {
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

// statusWriter reports the status of a response.
type statusWriter struct {
	http.ResponseWriter
	refused func(status int)
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.refused(status)
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *statusWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
