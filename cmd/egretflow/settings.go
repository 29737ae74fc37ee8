package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/reserver"
	"github.com/egretflow/egretflow/storeclient"
	"github.com/egretflow/egretflow/supervisor"
)

// settingsLoader converts the flags into the configuration of an instance and
// collects the tasks that reload key and certificate files.
type settingsLoader struct {
	flags  *serveCommand
	clock  egretflow.Clock
	events *explainer.Explainer
	tasks  []supervisor.Task
}

// load checks the flags, opens the files and listeners that they name and returns
// the configuration.
func (l *settingsLoader) load() (assembler.Config, error) {
	f := l.flags
	cfg := assembler.Config{
		Self: egretflow.Member{
			Name: egretflow.InstanceName(f.Name), Region: egretflow.Region(f.Region),
			FailureDomain: egretflow.FailureDomain(f.FailureDomain), State: egretflow.MemberStateLive,
		},
		// The start time is higher after each restart of the instance.
		Incarnation: uint64(l.clock().UnixNano()),
		Clock:       l.clock, Rand: newRand(), Dial: (&net.Dialer{}).DialContext, Explainer: l.events,
		ListURL: f.ListURL, EngineCommands: f.EngineCommands,
		Limits: frontend.Limits{DrainTimeout: f.DrainTimeout, MaxBodyBytes: f.MaxBodyBytes, MaxStreams: f.MaxStreams},
	}
	if f.MemoryMegabytes > 0 {
		l.limitMemory(&cfg)
	}
	for _, step := range []func(*assembler.Config) error{
		l.checkNames, l.loadTables, l.loadCallers, l.loadOperators, l.loadPeers,
	} {
		if err := step(&cfg); err != nil {
			return cfg, err
		}
	}
	return cfg, nil
}

// limitMemory bounds what the instance holds for callers and servers.
func (l *settingsLoader) limitMemory(cfg *assembler.Config) {
	memory := int64(l.flags.MemoryMegabytes) * megabyte
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	budget := reserver.NewBudget(memory)
	cfg.Dial, cfg.Responses = connector.NewDialer(budget.SocketBufferBytes).DialContext, budget.Responses
	cfg.Limits.SetBudget(budget)
}

// addTask adds a task that runs next to those of the instance.
func (l *settingsLoader) addTask(name string, run func(context.Context) error) {
	l.tasks = append(l.tasks, supervisor.Task{Name: name, Run: run})
}

func (l *settingsLoader) checkNames(*assembler.Config) error {
	f := l.flags
	for _, n := range [][2]string{{"--name", f.Name}, {"--region", f.Region}, {"--failure-domain", f.FailureDomain}} {
		if err := egretflow.CheckName(n[0], n[1]); err != nil {
			return err
		}
	}
	return nil
}

// loadTables opens the store or, without one, reads the tables file.
func (l *settingsLoader) loadTables(cfg *assembler.Config) error {
	f := l.flags
	if f.StoreURL != "" {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		client := &http.Client{Transport: connector.NewTransport(transport)}
		store, err := storeclient.New(storeclient.Config{BaseURL: f.StoreURL, Client: client, Clock: l.clock})
		if err != nil {
			return fmt.Errorf("open store: %w", err)
		}
		cfg.Store = store
		return nil
	}
	if f.TablesFile == "" {
		return requiredError("--tables-file", "--store-url is not set")
	}
	data, err := os.ReadFile(f.TablesFile)
	if err != nil {
		return fmt.Errorf("read tables: %w", err)
	}
	cfg.Tables = &egretflow.Tables{}
	if err := json.Unmarshal(data, cfg.Tables); err != nil {
		return fmt.Errorf("tables file %s: %w", f.TablesFile, err)
	}
	return nil
}

// requiredError returns the error for a missing flag that another flag requires.
func requiredError(flag, when string) error {
	return &egretflow.FieldError{Field: flag, Reason: "is required when " + when}
}

func (l *settingsLoader) loadCallers(cfg *assembler.Config) error {
	keys, err := l.openKeys("keys of callers", l.flags.KeysFile)
	if err != nil {
		return err
	}
	cfg.Callers = keys
	if cfg.CallerTLS, err = l.serverTLS("callers", l.flags.TLS, ""); err != nil {
		return err
	}
	cfg.CallerListener, err = listen("callers", l.flags.Listen)
	return err
}

func (l *settingsLoader) loadOperators(cfg *assembler.Config) error {
	f := l.flags.Operator
	if f.Listen == "" {
		return nil
	}
	if f.KeysFile == "" && f.ClientCA == "" {
		return requiredError("--operator-keys-file", "--operator-listen is set without --operator-client-ca")
	}
	cfg.Operators = authenticator.StaticKeys(nil)
	if f.KeysFile != "" {
		keys, err := l.openKeys("keys of operators", f.KeysFile)
		if err != nil {
			return err
		}
		cfg.Operators = keys
	}
	config, err := l.serverTLS("operators", f.TLS, f.ClientCA)
	if err != nil {
		return err
	}
	if cfg.OperatorListener, err = listen("operators", f.Listen); err != nil {
		return err
	}
	if config != nil {
		cfg.OperatorListener = tls.NewListener(cfg.OperatorListener, config)
	}
	return nil
}

// openKeys opens a file of key hashes and adds the task that reloads it. name
// describes the keys in errors.
func (l *settingsLoader) openKeys(name, path string) (*authenticator.Keys, error) {
	keys, err := authenticator.OpenKeys(path, l.clock, l.events)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	l.addTask(name, keys.Run)
	return keys, nil
}

// listen listens on a TCP address. name says in errors whom the listener serves.
func listen(name, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	return ln, nil
}

// serverTLS returns the TLS configuration of a listener, or nil if files names no
// certificate. With clientCA set, clients may present a certificate that it signed.
func (l *settingsLoader) serverTLS(name string, files tlsFlags, clientCA string) (*tls.Config, error) {
	if files.Cert == "" {
		return nil, nil
	}
	cert, err := authenticator.OpenCertificate(files.Cert, files.Key, l.clock, l.events)
	if err != nil {
		return nil, fmt.Errorf("open certificate of %s: %w", name, err)
	}
	config, err := cert.ServerConfig(clientCA)
	if err != nil {
		return nil, fmt.Errorf("configure TLS of %s: %w", name, err)
	}
	l.addTask("certificate of "+name, cert.Run)
	return config, nil
}
