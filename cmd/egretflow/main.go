// Command egretflow runs an entry instance.
//
// # Usage
//
//	egretflow demo
//	egretflow serve --listen 127.0.0.1:8080 --tables-file tables.json --keys-file callers.json
//	egretflow hash < key
//
// Every flag can be set by an environment variable with the prefix EGRETFLOW_.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/internal/versioner"
)

// commands defines the command line. Names of fields are names of commands and
// flags.
type commands struct {
	Demo     demoCommand     `cmd:"" help:"Run stand-in engines and an entry instance on loopback and answer one chat request."`
	Serve    serveCommand    `cmd:"" help:"Run an entry instance."`
	Platform platformCommand `cmd:"" help:"Run an entry instance on the platform that the settings file describes."`
	Hash     hashCommand     `cmd:"" help:"Read a key from standard input and print its hash for a key file."`

	Version kong.VersionFlag `env:"-" help:"Print the version and exit."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var cli commands
	command := kong.Parse(&cli, kong.Name("egretflow"), kong.DefaultEnvars("EGRETFLOW"), kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Vars{"version": versioner.Version()})
	command.FatalIfErrorf(command.Run())
}

type hashCommand struct{}

// Run prints the hash of the key on standard input.
func (*hashCommand) Run() error {
	scanner := bufio.NewScanner(os.Stdin)
	if !scanner.Scan() {
		if err := scanner.Err(); err != nil {
			return fmt.Errorf("read key: %w", err)
		}
		return errors.New("read key: standard input is empty")
	}
	fmt.Println(authenticator.Hash(scanner.Text()))
	return nil
}
