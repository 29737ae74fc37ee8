package frontend

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
)

// closeTimeout bounds the wait for open requests after the handover, and the wait
// of shutdownServer for open connections.
const closeTimeout = 5 * time.Second

// flushTimeout is how long the last responses of a drain may take to be written out.
const flushTimeout = 200 * time.Millisecond

// Serve serves callers on ln until ctx ends, and then shuts down in the order of
// (10.1): during Limits.LameDuck it is not ready but serves new requests; then it
// refuses new requests and waits up to Limits.DrainTimeout for open ones; after
// that it hands over the remaining streams, each after a complete event. With a
// Dialect, service calls that surely end before the drain does are still served
// during the drain, and connections that are open at its end are closed.
func (f *Frontend) Serve(ctx context.Context, ln net.Listener) error {
	server := f.newServer()
	failed := make(chan error, 1)
	ln = newTimeoutListener(ln, f.cfg.Limits.MaxConnections)
	if f.cfg.TLS != nil {
		ln = tls.NewListener(ln, f.cfg.TLS)
	}
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	f.announceShutdown()
	f.drain()
	if f.cfg.Dialect != nil {
		return f.closeConnections(server)
	}
	return shutdownServer(server)
}

// announceShutdown makes Ready report false and waits for Limits.LameDuck, during
// which requests are still served.
func (f *Frontend) announceShutdown() {
	f.open.announceDrain()
	f.record(egretflow.EventShutdownStarted, "", field("lame_duck", f.cfg.Limits.LameDuck.String()))
	<-time.After(f.cfg.Limits.LameDuck)
}

// closeConnections closes the listener and all connections. It is called when no
// request is open or the drain timeout has passed, so that requests which are still
// open are cut. The last response may not be written out when its handler returns.
func (f *Frontend) closeConnections(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	if err := server.Close(); err != nil {
		return fmt.Errorf("close callers' connections: %w", err)
	}
	return nil
}

func (f *Frontend) newServer() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: f.cfg.Limits.HeaderTimeout, IdleTimeout: f.cfg.Limits.IdleTimeout,
		MaxHeaderBytes: f.cfg.Limits.MaxHeaderBytes,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		// net/http logs errors of single connections here, which are discarded.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// shutdownServer closes the listener and waits up to closeTimeout for connections
// to become idle. Then it closes the rest.
func shutdownServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shut down server: %w", errors.Join(err, server.Close()))
	}
	return nil
}

// Ready reports whether the instance takes new requests: it has tables and is not
// shutting down.
func (f *Frontend) Ready() bool { return !f.open.stopping() && f.cfg.Tables() != nil }

// drain refuses new requests and waits for open ones. After the drain timeout it
// starts the handover.
func (f *Frontend) drain() {
	f.drainDeadlineNanos.Store(f.cfg.Clock().Add(f.cfg.Limits.DrainTimeout).UnixNano())
	done := f.open.drain()
	timer := time.NewTimer(f.cfg.Limits.DrainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		f.startHandover()
		if f.cfg.Dialect == nil {
			f.awaitHandover(done)
		}
	}
	f.record(egretflow.EventShutdownDone, "")
}

// drainDeadline returns the latest end of the drain. It is valid once the drain
// has begun.
func (f *Frontend) drainDeadline() time.Time { return time.Unix(0, f.drainDeadlineNanos.Load()) }

// awaitHandover waits up to closeTimeout until no request is open. Service calls
// cannot be handed over; those that take longer are cut, which the checker
// reports.
func (f *Frontend) awaitHandover(done <-chan struct{}) {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		f.cfg.Checker.Check(egretflow.InvariantNoCutOnShutdown, false, "", "requests were open after the handover")
	}
}

func (f *Frontend) record(name egretflow.EventName, request egretflow.RequestID, fields ...egretflow.EventField) {
	f.cfg.Recorder.Record(egretflow.Event{Name: name, At: f.cfg.Clock(), Instance: f.cfg.Instance, Request: request, Fields: fields})
}
