package main

import (
	"context"
	"fmt"
	"time"

	"github.com/egretflow/egretflow/editor"
)

type auditCommand struct {
	Limit int `short:"n" default:"20" help:"Number of entries, at most 1000."`
}

// Run prints the newest entries of the audit trail.
func (c *auditCommand) Run(ctx context.Context, a *app) error {
	ed, err := a.editor()
	if err != nil {
		return err
	}
	entries, err := ed.Audit(ctx, min(max(c.Limit, 1), editor.MaxAuditEntries))
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(entries)
	}
	for _, n := range entries {
		fmt.Fprintf(&a.out, "revision %d  %s  %s  edit %s  %q\n",
			n.Revision, n.At.UTC().Format(time.RFC3339), n.Who, n.EditID, n.Reason)
		for _, change := range n.Changes {
			fmt.Fprintf(&a.out, "  %s\n", change)
		}
	}
	return nil
}
