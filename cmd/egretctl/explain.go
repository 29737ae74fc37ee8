package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/egretflow/egretflow"
)

type explainCommand struct {
	ID string `arg:"" help:"Id of a request, attempt or decision."`
}

// Run implements the command. A request may have events on several instances,
// because a caller can resume elsewhere.
func (c *explainCommand) Run(ctx context.Context, a *app) error {
	i, err := a.instances(ctx)
	if err != nil {
		return err
	}
	found := false
	var failed error
	for _, ans := range i.askAll(ctx, i.urls, egretflow.ExplainPath+url.PathEscape(c.ID)) {
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
