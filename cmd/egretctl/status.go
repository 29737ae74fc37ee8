package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/egretflow/egretflow"
)

// pollInterval is the time between two status requests to the instances that lack
// the revision.
const pollInterval = 200 * time.Millisecond

type statusCommand struct{}

// Run prints the status of all instances and returns an error if some didn't answer.
func (c *statusCommand) Run(ctx context.Context, a *app) error {
	i, err := a.instances(ctx)
	if err != nil {
		return err
	}
	statuses := i.statuses(ctx, i.urls)
	slices.SortStableFunc(statuses, func(x, y instanceStatus) int { return cmp.Compare(x.Name, y.Name) })
	if a.JSON {
		err = a.printJSON(statuses)
	} else {
		err = a.printStatuses(statuses)
	}
	if err != nil {
		return err
	}
	unanswered := 0
	for _, s := range statuses {
		if s.Error != "" {
			unanswered++
		}
	}
	if unanswered > 0 {
		return fmt.Errorf("%d of %d instances did not answer", unanswered, len(statuses))
	}
	return nil
}

// printStatuses prints a table of the instances and how many have each revision.
func (a *app) printStatuses(statuses []instanceStatus) error {
	var rows strings.Builder
	rows.WriteString("INSTANCE\tFAILURE DOMAIN\tREVISION\tCONFIRMED\tWATCHES\tREADY\tMEMBERS\n")
	revisions := map[egretflow.Revision]int{}
	for _, s := range statuses {
		if s.Error != "" {
			fmt.Fprintf(&rows, "%s\t%s\n", s.URL, s.Error)
			continue
		}
		revisions[s.Revision]++
		fmt.Fprintf(&rows, "%s\t%s\t%d\t%t\t%t\t%t\t%d\n", s.Name, s.FailureDomain, s.Revision,
			s.RevisionConfirmed, s.WatchesStore, s.Ready, len(s.Members))
	}
	if err := a.printTable(rows.String()); err != nil {
		return err
	}
	if err := a.printQuotas(statuses); err != nil {
		return err
	}
	for _, r := range slices.Backward(slices.Sorted(maps.Keys(revisions))) {
		fmt.Fprintf(&a.out, "revision %d is active on %d instances\n", r, revisions[r])
	}
	return nil
}

// printTable aligns and prints rows with columns that are separated by tabs.
func (a *app) printTable(rows string) error {
	w := tabwriter.NewWriter(&a.out, 0, 8, 2, ' ', 0)
	if _, err := w.Write([]byte(rows)); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

type waitCommand struct {
	Revision egretflow.Revision `help:"Revision to wait for; by default the one in the store."`
}

// Run waits until every instance has answered with the revision or a higher one. It
// returns an error if ctx ends before that.
func (c *waitCommand) Run(ctx context.Context, a *app) error {
	i, err := a.instances(ctx)
	if err != nil {
		return err
	}
	if c.Revision == 0 {
		ed, err := a.editor()
		if err != nil {
			return err
		}
		tables, err := ed.Tables(ctx)
		if err != nil {
			return err
		}
		c.Revision = tables.Revision
	}
	missing := i.urls
	for {
		missing = c.urlsWithoutRevision(i.statuses(ctx, missing))
		if len(missing) == 0 {
			fmt.Fprintf(&a.out, "revision %d is active on %d instances\n", c.Revision, len(i.urls))
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("revision %d is not active on %s", c.Revision, strings.Join(missing, ", "))
		}
	}
}

// urlsWithoutRevision returns the URLs of the instances that lack the revision or didn't answer.
func (c *waitCommand) urlsWithoutRevision(statuses []instanceStatus) []string {
	var missing []string
	for _, s := range statuses {
		if s.Error != "" || s.Revision < c.Revision {
			missing = append(missing, s.URL)
		}
	}
	return missing
}
