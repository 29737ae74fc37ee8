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
	"golang.org/x/net/netutil"
)

// closeTimeout bounds the wait for handlers after the handover.
const closeTimeout = 5 * time.Second

// Serve serves callers on ln until ctx ends, and then shuts down in the order of
// (10.1): new work is rejected, open requests have the drain timeout to finish,
// the rest is handed over after a complete event.
func (f *Frontend) Serve(ctx context.Context, ln net.Listener) error {
	server := f.newServer()
	failed := make(chan error, 1)
	ln = newListener(netutil.LimitListener(ln, f.cfg.Limits.MaxConnections))
	if f.cfg.TLS != nil {
		ln = tls.NewListener(ln, f.cfg.TLS)
	}
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	f.drain()
	return closeServer(server)
}

func (f *Frontend) newServer() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: f.cfg.Limits.HeaderTimeout, IdleTimeout: f.cfg.Limits.IdleTimeout,
		MaxHeaderBytes: f.cfg.Limits.MaxHeaderBytes,
		// What net/http logs concerns single connections of callers.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func closeServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("close listener: %w", errors.Join(err, server.Close()))
	}
	return nil
}

// Ready reports whether the instance takes new work.
func (f *Frontend) Ready() bool { return !f.open.draining() && f.cfg.Tables() != nil }

// drain rejects new work and waits for open requests.
func (f *Frontend) drain() {
	done := f.open.drain()
	f.record(egretflow.EventShutdownStarted, "")
	timer := time.NewTimer(f.cfg.Limits.DrainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		f.startHandover()
		f.awaitHandover(done)
	}
	f.record(egretflow.EventShutdownDone, "")
}

// awaitHandover waits for the end of open requests after the handover. Service
// calls cannot be handed over; those that take longer are cut.
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
