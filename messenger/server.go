package messenger

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// Paths of the procedures. The version changes with the layout of a message (rule
// 2).
const (
	pathPrefix        = "/egretflow.v1.Peers/"
	procedureExchange = pathPrefix + "Exchange"
	procedurePull     = pathPrefix + "Pull"
	procedureCommit   = pathPrefix + "Commit"
)

// Limits of the peer listener.
const (
	maxHeaderBytes       = 8 << 10
	maxConcurrentStreams = 64
	readHeaderTimeout    = 2 * time.Second
	messageTimeout       = 10 * time.Second
	idleTimeout          = 2 * time.Minute
)

// HandlerConfig holds the settings and dependencies of NewHandler.
type HandlerConfig struct {
	// Handler processes the messages.
	Handler egretflow.PeerHandler
	// Names is shared with the client of this instance.
	Names    *ServerNameCodec
	Verifier Verifier
	// Recorder receives an AccessDenied event for each call that is refused.
	Recorder egretflow.Recorder
	Clock    egretflow.Clock
	// Instance is the name of this instance in recorded events.
	Instance egretflow.InstanceName
}

// NewHandler returns an HTTP handler that decodes the messages of peers and passes
// them to cfg.Handler.
func NewHandler(cfg HandlerConfig) (http.Handler, error) {
	c, err := newCodec(cfg.Names)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	handle(mux, c, procedureExchange, MaxExchangeBytes, cfg.Handler.HandleExchange)
	handle(mux, c, procedurePull, MaxMessageBytes, cfg.Handler.HandlePull)
	handle(mux, c, procedureCommit, MaxMessageBytes, cfg.Handler.HandleCommitClaims)
	return cfg.authorized(mux), nil
}

func handle[Req, Res any](mux *http.ServeMux, c *codec, procedure string, maxBytes int, f func(context.Context, *Req) (*Res, error)) {
	unary := func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		response, err := f(ctx, r.Msg)
		if err != nil {
			return nil, toConnectError(err)
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary,
		connect.WithCodec(c),
		connect.WithReadMaxBytes(maxBytes),
		// Messages of a few hundred bytes become larger when compressed.
		connect.WithCompression("gzip", nil, nil),
	))
}

// authorized refuses calls without a valid credential before their body is read
// (rule 6).
func (cfg HandlerConfig) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Omit the Date header: it changes every second and would add 25 bytes to
		// every response.
		w.Header()["Date"] = nil
		if err := cfg.Verifier.VerifyPeer(r); err != nil {
			cfg.Recorder.Record(egretflow.Event{
				Name:     egretflow.EventAccessDenied,
				At:       cfg.Clock(),
				Instance: cfg.Instance,
				Fields: []egretflow.EventField{
					{Key: "remote", Value: r.RemoteAddr},
					{Key: "path", Value: r.URL.Path},
					{Key: "cause", Value: err.Error()},
				},
			})
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func toConnectError(err error) error {
	code := connect.CodeInternal
	var field *egretflow.FieldError
	switch {
	case errors.As(err, &field):
		code = connect.CodeInvalidArgument
	case errors.Is(err, context.DeadlineExceeded):
		code = connect.CodeDeadlineExceeded
	case errors.Is(err, context.Canceled):
		code = connect.CodeCanceled
	case errors.Is(err, egretflow.ErrUnavailable):
		code = connect.CodeUnavailable
	case errors.Is(err, egretflow.ErrNotFound):
		code = connect.CodeNotFound
	}
	return connect.NewError(code, err)
}

// NewServer returns an HTTP/2 server. It uses TLS if tlsConfig is not nil, and
// otherwise HTTP/2 without TLS by prior knowledge (h2c).
func NewServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       messageTimeout,
		WriteTimeout:      messageTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}
}

// Serve serves a listener until the server is shut down, and then returns nil.
// Pass a listener from [Meter.Listener], so that the bytes are counted.
func Serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve peers: %w", err)
}
