// Egretctl is the operators' tool: it edits the tables, reads the audit trail,
// and shows what the instances do.
//
// # Usage
//
//	egretctl tables get Pools/letters
//	egretctl tables set Pools/letters/TokenGap '"31ms"' --reason "new engines"
//	egretctl tables apply tables.json --reason "weekly review" && egretctl wait
//	egretctl drain moshi-4 --reason "replace the power supply"
//	egretctl check tables.json --against in-force.json
//	egretctl status
//	egretctl explain 0197c1e2-...
//
// Every flag can be given as an environment variable with the prefix
// EGRETFLOW_, such as EGRETFLOW_STORE and EGRETFLOW_OPERATOR_KEY.
//
// # Exit status
//
//	0  done
//	1  failed; nothing was written
//	2  the change was refused; the message names the field
//	3  conflict with another edit; the message shows both
//	4  the outcome is unknown; repeat the command with the --edit-id shown
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/versioner"
	"github.com/pkg/errors"
)

// The exit statuses for errors, described in the package documentation.
const (
	exitFailed    = 1
	exitRefused   = 2
	exitConflict  = 3
	exitUncertain = 4
)

// commandLine defines the command line. Names of fields are names of flags,
// environment variables and commands.
type commandLine struct {
	Store        string        `help:"URL of the key-value store's gateway."`
	Instances    []string      `help:"URLs of the operator listeners."`
	List         string        `help:"URL of the platform's instance list, instead of --instances."`
	OperatorPort uint16        `default:"7002" help:"Port of the operator listeners, with --list."`
	OperatorKey  string        `help:"Operator key; better given by the environment or --operator-key-file."`
	KeyFile      string        `name:"operator-key-file" type:"existingfile" help:"File that holds the operator key."`
	CAFile       string        `name:"ca-file" type:"existingfile" help:"PEM file with the authorities to trust."`
	CertFile     string        `type:"existingfile" help:"PEM file with the client certificate."`
	CertKeyFile  string        `type:"existingfile" help:"PEM file with the key of the client certificate."`
	JSON         bool          `name:"json" help:"Print JSON."`
	Timeout      time.Duration `default:"30s" help:"Bound for the whole command."`

	Tables  tablesCommand  `cmd:"" help:"Read and edit the tables."`
	Check   checkCommand   `cmd:"" help:"Check a configuration before it is sent, without a store or instances."`
	Drain   drainCommand   `cmd:"" help:"Give a backend server no new work."`
	Undrain undrainCommand `cmd:"" help:"Give a backend server work again."`
	Audit   auditCommand   `cmd:"" help:"Show the newest accepted edits."`
	Status  statusCommand  `cmd:"" help:"Show which revision is active on which instance."`
	Wait    waitCommand    `cmd:"" help:"Wait until a revision is active on all instances."`
	Explain explainCommand `cmd:"" help:"Show what instances know of a request, attempt or decision."`

	Version kong.VersionFlag `env:"-" help:"Print the version and exit."`
}

// app holds the flags and the output that commands share.
type app struct {
	*commandLine
	// out is printed when the command ends, even after an error.
	out bytes.Buffer
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("egretctl"), kong.DefaultEnvars("EGRETFLOW"), kong.Vars{"version": versioner.Version()},
		kong.Description("Edits the tables of egretflow and shows what its instances do."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, cli.Timeout)
	defer cancel()
	k.BindTo(ctx, (*context.Context)(nil))
	a := &app{commandLine: &cli}
	err := k.Run(a)
	if _, printErr := a.out.WriteTo(os.Stdout); err == nil {
		err = printErr
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "egretctl: %v\n", err)
	}
	os.Exit(exitStatus(err))
}

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var field *egretflow.FieldError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, egretflow.ErrConflict):
		return exitConflict
	case errors.Is(err, egretflow.ErrUncertain):
		return exitUncertain
	case errors.As(err, &field):
		return exitRefused
	}
	return exitFailed
}
