package main

import (
	"context"
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
}

// Run serves until ctx ends.
func (s *serveCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(s.TablesFile)
	if err != nil {
		return fmt.Errorf("read tables: %w", err)
	}
	tables := &egretflow.Tables{}
	if err := json.Unmarshal(data, tables); err != nil {
		return fmt.Errorf("tables file %s: %w", s.TablesFile, err)
	}
	logger := logrus.New()
	logger.SetFormatter(explainer.Formatter{})
	var keys *authenticator.Keys
	inst, err := newInstance(instanceConfig{
		name: egretflow.InstanceName(s.Name), tables: func() *egretflow.Tables { return tables }, logger: logger,
		callers: keys, limits: frontend.Limits{DrainTimeout: s.DrainTimeout},
	})
	if err != nil {
		return err
	}
	if keys, err = authenticator.Open(s.KeysFile, egretflow.SystemClock, inst.explainer); err != nil {
		return fmt.Errorf("keys of callers: %w", err)
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	tasks := append([]supervisor.Task{{Name: "keys", Run: keys.Run}}, inst.tasks(ln)...)
	go inst.scheduler.Apply(tables)
	if err := supervisor.Run(ctx, tasks); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}
