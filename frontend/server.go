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
	"github.com/egretflow/egretflow/relayer"
)

// closeTimeout bounds the wait for open requests after the handover, and the wait
// of shutdownServer for open connections.
const closeTimeout = 5 * time.Second

const (
	// flushTimeout is how long the last responses of a drain may take to be written out.
	flushTimeout = 200 * time.Millisecond
	// answerTimeout is the part of the drain in which forwarded requests that are still
	// open are answered. Their handlers answer first, as they know what was sent on.
	answerTimeout = 200 * time.Millisecond
)

// Serve serves callers on ln until ctx ends, and then shuts down in the order of
// (10.1): during Limits.LameDuck it is not ready but serves new requests; then it
// refuses new requests and waits up to Limits.DrainTimeout for open ones; after
// that it hands over the remaining streams, each after a complete event. With a
// Dialect, service calls that surely end before the drain does are still served
// during the drain, requests that are open at its end are cancelled and answered, and
// their connections are closed.
func (f *Frontend) Serve(ctx context.Context, ln net.Listener) error {
	server := f.newServer()
	failed := make(chan error, 1)
	ln = newTimeoutListener(ln, f.cfg.Limits.MaxConnections, f.cfg.Limits.SocketBufferBytes)
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
	return f.shutdownAnswered(server)
}

// announceShutdown makes Ready report false and waits for Limits.LameDuck, during
// which requests are still served.
func (f *Frontend) announceShutdown() {
	f.drainEndNanos.Store(f.cfg.Clock().Add(f.cfg.Limits.LameDuck + f.drainTime()).UnixNano())
	f.open.announceDrain()
	f.record(egretflow.EventShutdownStarted, "", field("lame_duck", f.cfg.Limits.LameDuck.String()))
	<-time.After(f.cfg.Limits.LameDuck)
}

// closeConnections closes the listener and all connections. It is called when all
// requests are answered, except for streams that have begun, which are cut. The last
// response may not be written out when its handler returns.
func (f *Frontend) closeConnections(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return closeServer(server)
}

func closeServer(server *http.Server) error {
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

// shutdownAnswered is like shutdownServer, but answers the requests that are open when
// it closes the rest, so that this is no error.
func (f *Frontend) shutdownAnswered(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	f.answerPending()
	return closeServer(server)
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

// drain refuses new requests and waits for open ones until drainEnd. The rest are
// handed over or cancelled, and answered if their handlers do not answer.
func (f *Frontend) drain() {
	done := f.open.drain()
	if !isDoneBefore(done, f.drainTime()) {
		f.endOpen(done)
	}
	f.record(egretflow.EventShutdownDone, "")
}

// drainTime returns how long open requests may go on during the drain.
func (f *Frontend) drainTime() time.Duration {
	if f.cfg.Dialect == nil {
		return f.cfg.Limits.DrainTimeout
	}
	return max(0, f.cfg.Limits.DrainTimeout-answerTimeout)
}

// drainEnd returns when open requests are handed over or cancelled. It is valid once
// the shutdown was announced.
func (f *Frontend) drainEnd() time.Time { return time.Unix(0, f.drainEndNanos.Load()) }

// endOpen ends the requests that are open at the end of the drain.
func (f *Frontend) endOpen(done <-chan struct{}) {
	if f.cfg.Dialect == nil {
		f.awaitHandover(done)
		return
	}
	f.open.cancel(relayer.ErrHandedOver)
	if !isDoneBefore(done, answerTimeout) {
		f.answerPending()
	}
}

// awaitHandover hands over the open streams and waits up to closeTimeout until no
// request is open. Service calls cannot be handed over; that they take longer is
// reported by the checker, and shutdownAnswered answers them.
func (f *Frontend) awaitHandover(done <-chan struct{}) {
	f.startHandover()
	if !isDoneBefore(done, closeTimeout) {
		f.cfg.Checker.Check(egretflow.InvariantNoCutOnShutdown, false, "", "requests were open after the handover")
	}
}

// isDoneBefore waits until done is closed and returns true, or false after timeout.
func isDoneBefore(done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

func (f *Frontend) record(name egretflow.EventName, request egretflow.RequestID, fields ...egretflow.EventField) {
	f.cfg.Recorder.Record(egretflow.Event{Name: name, At: f.cfg.Clock(), Instance: f.cfg.Instance, Request: request, Fields: fields})
}
