package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/supervisor"
	"github.com/sirupsen/logrus"
)

type serveCommand struct {
	Name         string        `help:"Name of the instance." default:"entry-1"`
	Listen       string        `help:"Address for callers." default:"127.0.0.1:8080"`
	TablesFile   string        `help:"Tables as JSON." type:"existingfile" required:""`
	KeysFile     string        `help:"Hashes of the keys of callers." type:"existingfile" required:""`
	DrainTimeout time.Duration `help:"Time for open requests at shutdown." default:"20s"`
	MaxBodyBytes int64         `help:"Largest request body." default:"4194304"`
	MaxStreams   int           `help:"Open requests of one caller, unless its route sets another limit." default:"1000"`
	TLS          tlsFlags      `embed:"" prefix:"tls-"`

	Operator operatorFlags `embed:"" prefix:"operator-"`
}

type operatorFlags struct {
	Listen   string   `help:"Address for operators; empty for none."`
	KeysFile string   `help:"Hashes of the keys of operators." type:"existingfile"`
	ClientCA string   `help:"Authorities of client certificates of operators." type:"existingfile"`
	TLS      tlsFlags `embed:"" prefix:"tls-"`
}

type tlsFlags struct {
	Cert string `help:"TLS certificate chain." type:"existingfile"`
	Key  string `help:"TLS key." type:"existingfile"`
}

// Run serves until ctx ends.
func (s *serveCommand) Run(ctx context.Context) error {
	tables, err := readTables(s.TablesFile)
	if err != nil {
		return err
	}
	logger := logrus.New()
	logger.SetFormatter(explainer.Formatter{})
	events := explainer.New(explainer.DefaultEvents, logger)
	keys, err := authenticator.Open(s.KeysFile, egretflow.SystemClock, events)
	if err != nil {
		return fmt.Errorf("keys of callers: %w", err)
	}
	b := &taskBuilder{events: events}
	b.add("keys", keys.Run)
	callerTLS, err := b.tls("callers", s.TLS, "")
	if err != nil {
		return err
	}
	inst, err := newInstance(instanceConfig{
		name: egretflow.InstanceName(s.Name), tables: func() *egretflow.Tables { return tables }, events: events, callers: keys,
		tls:    callerTLS,
		limits: frontend.Limits{DrainTimeout: s.DrainTimeout, MaxBodyBytes: s.MaxBodyBytes, MaxStreams: s.MaxStreams},
	})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := s.Operator.add(b, inst); err != nil {
		return err
	}
	inst.scheduler.Apply(tables)
	if err := supervisor.Run(ctx, append(b.tasks, inst.tasks(ln)...)); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

func readTables(path string) (*egretflow.Tables, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tables: %w", err)
	}
	tables := &egretflow.Tables{}
	if err := json.Unmarshal(data, tables); err != nil {
		return nil, fmt.Errorf("tables file %s: %w", path, err)
	}
	return tables, nil
}

// taskBuilder collects the tasks that follow files and serve listeners.
type taskBuilder struct {
	events *explainer.Explainer
	tasks  []supervisor.Task
}

func (b *taskBuilder) add(name string, run func(context.Context) error) {
	b.tasks = append(b.tasks, supervisor.Task{Name: name, Run: run})
}

// tls returns the TLS configuration of a listener, nil without a certificate.
func (b *taskBuilder) tls(name string, files tlsFlags, clientCA string) (*tls.Config, error) {
	if files.Cert == "" {
		return nil, nil
	}
	cert, err := authenticator.OpenCertificate(files.Cert, files.Key, egretflow.SystemClock, b.events)
	if err != nil {
		return nil, fmt.Errorf("certificate of %s: %w", name, err)
	}
	config, err := cert.ServerConfig(clientCA)
	if err != nil {
		return nil, fmt.Errorf("TLS of %s: %w", name, err)
	}
	b.add("certificate of "+name, cert.Run)
	return config, nil
}

// add builds the interface of operators.
func (o *operatorFlags) add(b *taskBuilder, inst *instance) error {
	if o.Listen == "" {
		return nil
	}
	operators := authenticator.Static(nil)
	if o.KeysFile != "" {
		var err error
		if operators, err = authenticator.Open(o.KeysFile, egretflow.SystemClock, b.events); err != nil {
			return fmt.Errorf("keys of operators: %w", err)
		}
		b.add("keys of operators", operators.Run)
	}
	config, err := b.tls("operators", o.TLS, o.ClientCA)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if config != nil {
		ln = tls.NewListener(ln, config)
	}
	operator := frontend.NewOperator(frontend.OperatorConfig{
		Instance: inst.name, Operators: operators, Explainer: inst.events, Metrics: inst.metrics,
		Ready: inst.frontend.Ready, Clock: egretflow.SystemClock,
	})
	b.add("operators", func(ctx context.Context) error { return operator.Serve(ctx, ln) })
	return nil
}
