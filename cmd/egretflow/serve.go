package main

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/supervisor"
)

type serveCommand struct {
	Name          string `help:"Name of the instance." default:"entry-1"`
	Region        string `help:"Region of the instance." default:"local"`
	FailureDomain string `help:"Failure domain of the instance." default:"local-a"`

	TablesFile string `help:"Tables as JSON, for a single instance without a store." type:"existingfile" xor:"tables"`
	StoreURL   string `help:"URL of the key-value store." xor:"tables"`
	ListURL    string `help:"URL of the platform's list of instances and backend servers."`

	EngineCommands bool `help:"Take part in commanding engines: roles that follow demand, models, adapters."`

	Listen       string        `help:"Address for callers." default:"127.0.0.1:8080"`
	KeysFile     string        `help:"Hashes of the keys of callers." type:"existingfile" required:""`
	DrainTimeout time.Duration `help:"Time for open requests at shutdown." default:"20s"`
	MaxBodyBytes int64         `help:"Largest request body." default:"4194304"`
	MaxStreams   int           `help:"Open requests of one caller, unless its route sets another limit." default:"1000"`
	TLS          tlsFlags      `embed:"" prefix:"tls-"`

	MemoryMegabytes int `help:"Memory of the instance, which bounds what it holds for callers and servers; 0 for no bound."`

	Operator operatorFlags `embed:"" prefix:"operator-"`
	Peer     peerFlags     `embed:"" prefix:"peer-"`
}

// operatorFlags holds the flags of the operator listener.
type operatorFlags struct {
	Listen   string   `help:"Address for operators; empty for none."`
	KeysFile string   `help:"Hashes of the keys of operators." type:"existingfile"`
	ClientCA string   `help:"Authorities of client certificates of operators." type:"existingfile"`
	TLS      tlsFlags `embed:"" prefix:"tls-"`
}

// peerFlags holds the flags for communication with other instances.
type peerFlags struct {
	Listen   string   `help:"Address for other instances; empty for a single instance."`
	Address  string   `help:"IP address and port at which other instances reach this one; by default the listen address."`
	KeysFile string   `help:"Hashes of the keys of instances." type:"existingfile"`
	KeyFile  string   `help:"Key of this instance towards others." type:"existingfile"`
	CA       string   `help:"Authorities of the certificates of other instances." type:"existingfile"`
	TLS      tlsFlags `embed:"" prefix:"tls-"`
}

// tlsFlags holds the certificate flags of one listener.
type tlsFlags struct {
	Cert string `help:"TLS certificate chain." type:"existingfile"`
	Key  string `help:"TLS key." type:"existingfile"`
}

// Run serves until ctx ends, then drains within --drain-timeout.
func (s *serveCommand) Run(ctx context.Context) error {
	logger := logrus.New()
	logger.SetFormatter(explainer.Formatter{})
	l := &settingsLoader{
		flags: s, clock: egretflow.SystemClock, events: explainer.New(explainer.DefaultMaxEvents, logger),
	}
	cfg, err := l.load()
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	inst, err := assembler.New(cfg)
	if err != nil {
		return fmt.Errorf("assemble instance: %w", err)
	}
	if err := supervisor.Run(ctx, append(l.tasks, inst.Tasks()...)); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}
