package main

import (
	"context"
	"fmt"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
)

type drainCommand struct {
	editFlags
	Server egretflow.ServerName `arg:"" help:"Name of the backend server."`
}

// Run marks the backend server as drained in the tables.
func (c *drainCommand) Run(ctx context.Context, a *app) error {
	return c.setDrain(ctx, a, c.Server, "true")
}

type undrainCommand struct {
	editFlags
	Server egretflow.ServerName `arg:"" help:"Name of the backend server."`
}

// Run removes the drain mark of the backend server in the tables.
func (c *undrainCommand) Run(ctx context.Context, a *app) error {
	return c.setDrain(ctx, a, c.Server, "false")
}

// setDrain sets Drain of the backend server with the given name, which may be in any
// pool, to a JSON value.
func (f *editFlags) setDrain(ctx context.Context, a *app, server egretflow.ServerName, value string) error {
	ed, err := a.editor()
	if err != nil {
		return err
	}
	tables, err := ed.Tables(ctx)
	if err != nil {
		return err
	}
	for _, pool := range tables.Pools {
		for _, s := range pool.Servers {
			if s.Name == server {
				path := fmt.Sprintf("Pools/%s/Servers/%s/Drain", pool.Name, server)
				return f.edit(ctx, a, editor.Step{Operation: editor.OperationSet, Path: path, Value: []byte(value)})
			}
		}
	}
	return fmt.Errorf("drain: %w", &egretflow.FieldError{Field: "Server", Reason: fmt.Sprintf("server %q does not exist", server)})
}
