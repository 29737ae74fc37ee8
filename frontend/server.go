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
	f.announce()
	f.drain()
	if f.cfg.Dialect != nil {
		return f.cutServer(server)
	}
	return closeServer(server)
}

// announce makes the instance not ready and goes on serving for a while.
func (f *Frontend) announce() {
	f.open.announce()
	f.record(egretflow.EventShutdownStarted, "", field("lame_duck", f.cfg.Limits.LameDuck.String()))
	<-time.After(f.cfg.Limits.LameDuck)
}

// cutServer closes the listener and what is left of the connections; open
// requests have had the drain timeout.
func (f *Frontend) cutServer(server *http.Server) error {
	if err := server.Close(); err != nil {
		return fmt.Errorf("close callers' connections: %w", err)
	}
	return nil
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
	f.drainBy.Store(f.cfg.Clock().Add(f.cfg.Limits.DrainTimeout).UnixNano())
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

// drainEnds is when the drain that has begun ends at the latest.
func (f *Frontend) drainEnds() time.Time { return time.Unix(0, f.drainBy.Load()) }

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
