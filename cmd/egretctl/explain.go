package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/explainer"
)

type explainCommand struct {
	ID  string   `arg:"" help:"Id of a request, attempt or decision."`
	Log []string `type:"existingfile" help:"Log files to read instead of asking the instances."`
}

// Run prints the events that the instances or log files hold of the ID. It asks all
// instances, because a caller can resume a request on another instance.
func (c *explainCommand) Run(ctx context.Context, a *app) error {
	if len(c.Log) > 0 {
		return c.readLogs(a)
	}
	i, err := a.instances(ctx)
	if err != nil {
		return err
	}
	found := false
	var failed error
	for _, ans := range i.getAll(ctx, i.urls, egretflow.ExplainPath+url.PathEscape(c.ID)) {
		switch {
		case ans.Err == nil:
			found = true
			fmt.Fprintf(&a.out, "%s:\n%s\n", ans.URL, ans.Body)
		case !errors.Is(ans.Err, egretflow.ErrNotFound):
			failed = errors.Join(failed, fmt.Errorf("%s: %w", ans.URL, ans.Err))
		}
	}
	if failed != nil {
		return fmt.Errorf("not all instances answered: %w", failed)
	}
	if !found {
		return fmt.Errorf("explain %s: %w on %d instances", c.ID, egretflow.ErrNotFound, len(i.urls))
	}
	return nil
}

// readLogs prints the events of the request and the cause of its outcome from log
// files, without calling an instance.
func (c *explainCommand) readLogs(a *app) error {
	var files []io.ReadSeeker
	for _, name := range c.Log {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = file.Close() }()
		files = append(files, file)
	}
	found, err := explainer.Investigate(c.ID, files)
	if err != nil {
		return fmt.Errorf("read logs: %w", err)
	}
	if a.JSON {
		return a.printJSON(found)
	}
	_, err = found.WriteTo(&a.out)
	return err
}
