package frontend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/recorder"
)

// OperatorServerConfig holds what an OperatorServer needs.
type OperatorServerConfig struct {
	Instance  egretflow.InstanceName
	Operators Authenticator
	Explainer *explainer.Explainer
	Metrics   *recorder.Metrics
	// Ready reports whether the instance takes new requests.
	Ready func() bool
	Clock egretflow.Clock
	// Handlers holds additional handlers by http.ServeMux pattern. They need a
	// credential too.
	Handlers map[string]http.Handler
}

// OperatorServer serves operators on a separate address. /healthz and /readyz
// need no credential; all other paths need an operator's key or a verified
// client certificate. API keys of callers are not accepted.
type OperatorServer struct {
	cfg OperatorServerConfig
	mux *http.ServeMux
}

// NewOperatorServer returns an OperatorServer.
func NewOperatorServer(cfg OperatorServerConfig) *OperatorServer {
	o := &OperatorServer{cfg: cfg, mux: http.NewServeMux()}
	o.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	o.mux.HandleFunc("GET /readyz", o.serveReady)
	o.mux.Handle("GET /metrics", o.authorized(cfg.Metrics.Handler()))
	o.mux.Handle("GET /explain/{id}", o.authorized(http.HandlerFunc(o.serveExplain)))
	for pattern, handler := range cfg.Handlers {
		o.mux.Handle(pattern, o.authorized(handler))
	}
	return o
}

// ServeHTTP implements http.Handler.
func (o *OperatorServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// Serve serves operators on ln until ctx ends.
func (o *OperatorServer) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler: o, ReadHeaderTimeout: DefaultHeaderTimeout, ReadTimeout: DefaultBodyTimeout,
		IdleTimeout: DefaultIdleTimeout, MaxHeaderBytes: DefaultMaxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve operators: %w", err)
	case <-ctx.Done():
		return shutdownServer(server)
	}
}

// authorized returns a handler that calls next for requests with a credential and
// answers others with status 401.
func (o *OperatorServer) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, known := o.cfg.Operators.Identify(authenticator.BearerToken(r))
		if known || r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			next.ServeHTTP(w, r)
			return
		}
		o.cfg.Metrics.AccessDenied("Operator")
		o.cfg.Explainer.Record(egretflow.Event{
			Name: egretflow.EventAccessDenied, At: o.cfg.Clock(), Instance: o.cfg.Instance,
			Fields: []egretflow.EventField{field("interface", "Operator"), field("remote", r.RemoteAddr)},
		})
		writeText(w, http.StatusUnauthorized, "the credential is missing or unknown")
	})
}

func (o *OperatorServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !o.cfg.Ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// serveExplain writes the recorded events of the request, attempt or decision
// with the id in the path, as JSON.
func (o *OperatorServer) serveExplain(w http.ResponseWriter, r *http.Request) {
	events := o.cfg.Explainer.EventsOf(r.PathValue("id"))
	if len(events) == 0 {
		writeText(w, http.StatusNotFound, "no event of this id is kept")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(events)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
