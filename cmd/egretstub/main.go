// Egretstub runs a stand-in for one outside system on a loopback address:
// an engine, a service, the key-value store or the instance list.
//
// # Usage
//
//	egretstub engine --listen 127.0.0.1:9001 --name prefill-1 --role Prefill
//	egretstub service --listen 127.0.0.1:9101 --name order-desk-1 --latency 20ms
//	egretstub store --listen 127.0.0.1:9201
//	egretstub lister --listen 127.0.0.1:9301 --entries entries.json
//
// Every flag can be given as an environment variable with the prefix
// EGRETFLOW_STUB_. SIGINT and SIGTERM stop the program.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow/internal/stub/fault"
)

// readHeaderTimeout bounds connections that never send a request.
const readHeaderTimeout = 10 * time.Second

// commandLine defines the command line. Names of fields are names of commands.
type commandLine struct {
	Engine  engineCommand  `cmd:"" help:"Run a model engine."`
	Service serviceCommand `cmd:"" help:"Run a plain service."`
	Store   storeCommand   `cmd:"" help:"Run the key-value store."`
	Lister  listerCommand  `cmd:"" help:"Run the instance list."`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("egretstub"), kong.DefaultEnvars("EGRETFLOW_STUB"),
		kong.Description("Runs a stand-in of an outside system on a loopback address."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// listenFlags holds the flags that all stand-ins have.
type listenFlags struct {
	Listen netip.AddrPort `required:"" help:"Loopback address and port."`
}

// serve serves h on the loopback address until ctx ends. A Silent fault in faults
// also reaches idle connections.
func (l listenFlags) serve(ctx context.Context, h http.Handler, faults *fault.Set) error {
	if !l.Listen.Addr().IsLoopback() {
		return fmt.Errorf("listen on %s: not a loopback address", l.Listen)
	}
	srv := &http.Server{
		Addr: l.Listen.String(), Handler: h, ConnContext: faults.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	stopped := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stopped()
	logrus.WithField("address", l.Listen).Info("serving")
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", l.Listen, err)
	}
	return nil
}
